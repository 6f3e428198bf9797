"""Log events of the periodic work of a host."""

from collections.abc import Sequence

from chicorybridge import settings
from chicorybridge.common.clocks import Clock, Millis
from chicorybridge.common.events import Event, EventKind, EventLog
from chicorybridge.common.identities import HostId
from chicorybridge.common.log_streams import BoundedHandler
from chicorybridge.fleet.host_tables import HostRecord
from chicorybridge.hosts.metrics import HostMetrics


class TickReports:
    """Log stalls of the process, peers lost and heard, dropped lines."""

    def __init__(
        self,
        *,
        clock: Clock,
        log: EventLog,
        logs: BoundedHandler,
        metrics: HostMetrics,
    ) -> None:
        """Log to `log`; `logs` is the handler that may drop lines."""
        self._ticked_at = clock.now()
        self._log = log
        self._logs = logs
        self._metrics = metrics

    def report_stall(self, *, now: Millis) -> None:
        """Log if the last tick was long before the one `now`."""
        stalled_ms = now - self._ticked_at - settings.TICK_MS
        self._ticked_at = now
        if stalled_ms >= settings.MIN_LOGGED_STALL_MS:
            facts = {'stalled_ms': round(stalled_ms)}
            self._log.emit(Event(kind=EventKind.process_stalled, facts=facts))

    # Peers are named in one line: hosts of a large fleet start together.

    def report_lost(self, lost: Sequence[HostRecord], *, now: Millis) -> None:
        """Log the peers that have timed out, if there are any."""
        if not lost:
            return
        facts = {
            'peers': tuple(record.profile.host_id for record in lost),
            'silent_ms': round(max(now - record.message_at for record in lost)),
        }
        self._log.emit(Event(kind=EventKind.peer_lost, facts=facts))

    def report_heard(self, peers: Sequence[HostId]) -> None:
        """Log the peers that were heard for the first time, if any."""
        if peers:
            facts = {'peers': tuple(peers)}
            self._log.emit(Event(kind=EventKind.peer_heard, facts=facts))

    def report_dropped_lines(self) -> None:
        """Log and count the lines that were dropped since the last call."""
        counts_by_kind = self._logs.take_dropped()
        if not counts_by_kind:
            return
        for kind, count in counts_by_kind.items():
            self._metrics.count('log_lines_dropped', kind, by=count)
        event = Event(kind=EventKind.log_lines_dropped, facts=counts_by_kind)
        self._log.emit(event)
