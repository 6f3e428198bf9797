"""What the hosts of the fleet know together: hosts, targets, configuration.

Start with `directories`, the targets that the platform lists, and
`sightings`, the hosts that were heard. `channels` carries datagrams and
`snapshots` whole states between hosts; `watches` reads the platform's
store on the hosts whose turn it is.
"""
