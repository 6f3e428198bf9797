"""Reports of what waits on this host, and the sums of its zone."""

from chicorybridge.common.clocks import Clock
from chicorybridge.hosts.announcers import Announcer
from chicorybridge.hosts.fleet_views import FleetView
from chicorybridge.admission.queue_reports import QueueReport


class QueueReporter:
    """Send the reports of a host, or the sums if it is the aggregator.

    Nothing is sent while nothing waits, nor has waited of late.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        fleet_view: FleetView,
        announcer: Announcer,
    ) -> None:
        """Report what waits in the queues of `fleet_view`."""
        self._clock = clock
        self._fleet_view = fleet_view
        self._announcer = announcer

    def send(self) -> None:
        """Send what is due; run at each tick, `QUEUE_REPORT_INTERVAL_MS`."""
        now = self._clock.now()
        zone_sums = self._fleet_view.zone_sums
        queues = zone_sums.inbox.queues
        report = queues.report(now=now)
        aggregator = zone_sums.aggregator
        if aggregator is None:
            if report is not None:
                self._announcer.send_to_zone(report)
            return
        if not zone_sums.is_own and report is not None:
            queues.book.record_own(report)
            self._announcer.send_to_host(report, aggregator)
        if not zone_sums.is_sending:
            return
        own = report or QueueReport(sent_at=now, loads=())
        totals = queues.book.totals(own, now=now)
        if totals is not None:
            self._announcer.send_to_zone(totals)
