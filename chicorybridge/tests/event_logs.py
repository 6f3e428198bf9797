"""An event log for parts that are tested alone."""

from chicorybridge.common.clocks import Clock
from chicorybridge.common.events import EventLog
from chicorybridge.common.identities import HostId, Incarnation


def event_log(clock: Clock, *, process: str = 'entry') -> EventLog:
    """Return the log of a process that nobody reads."""
    return EventLog(
        clock=clock,
        host_id=HostId('host-1'),
        process=process,
        incarnation=Incarnation(1),
    )
