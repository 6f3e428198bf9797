"""Event logs for unit tests."""

from chicorybridge.common.clocks import Clock
from chicorybridge.common.events import EventLog
from chicorybridge.common.identities import HostId, Incarnation


def event_log(clock: Clock, *, process: str = 'entry') -> EventLog:
    """Return the event log of a process on the host `host-1`."""
    return EventLog(
        clock=clock,
        host_id=HostId('host-1'),
        process=process,
        incarnation=Incarnation(1),
    )
