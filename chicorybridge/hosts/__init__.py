"""The process that runs on each host of the platform.

It forwards requests of callers to targets and shares the state of hosts
and targets with the other hosts of the fleet. Start with `host_processes`,
which builds the parts, then `dispatchers`, which handles one request.
"""
