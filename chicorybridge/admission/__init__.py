"""Admission over the fleet: which requests are placed, wait or are refused.

Start with `fleet_queues`, which decides; `queue_reports` has the messages by
which hosts know each other's queues. The package opens no socket and imports
`common` and `routing`.
"""
