"""State that hosts share: live hosts, targets and the configuration.

Start with `directories`, the targets that the platform lists, and
`host_tables`, the hosts that sent a message recently. `channels`
exchanges datagrams and `snapshots` transfers complete state between
hosts; `store_reads` decides when a host reads the platform's store.

There are two memberships: processes of package `hosts` use `host_tables`,
control processes use `members`, which is based on heartbeats.
"""
