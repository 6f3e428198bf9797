"""State that hosts share: live hosts, targets and the configuration.

Start with `directories`, the targets that the platform lists, and
`host_tables`, the hosts heard from recently. `channels` exchanges
datagrams and `snapshots` transfers complete state between hosts;
`store_reads` decides when a host reads the platform's store. `members`
is the heartbeat-based membership of control processes.
"""
