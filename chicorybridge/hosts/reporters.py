"""Reports of a host to others: its workload and results of attempts."""

import dataclasses
from collections.abc import Sequence

import curio

from chicorybridge import settings
from chicorybridge.common.clocks import Clock, Millis
from chicorybridge.common.identities import TargetId
from chicorybridge.fleet.directories import TargetEntry
from chicorybridge.hosts.announcers import Announcer
from chicorybridge.hosts.fleet_views import FleetView
from chicorybridge.hosts.queue_reports import QueueReporter
from chicorybridge.routing.reputations import Sign, TargetSeen
from chicorybridge.routing.target_signs import TargetSign
from chicorybridge.routing.workloads import RelayedWorkload, ZoneWorkload

# Decimal places of a probability in a report; more would make it larger.
SOUNDNESS_DIGITS = 2


class Reporter:
    """Record the workload of this host and report its changes.

    Changes are batched until `flush` is called. In a small zone failures are
    reported to the whole region, successes to the zone; in a large one both
    go to its aggregator.
    """

    def __init__(
        self, *, clock: Clock, fleet_view: FleetView, announcer: Announcer
    ) -> None:
        """Update `fleet_view` and send the reports with `announcer`."""
        self.queue_reporter = QueueReporter(
            clock=clock, fleet_view=fleet_view, announcer=announcer
        )
        self._clock = clock
        self._fleet_view = fleet_view
        self._announcer = announcer
        self._observations: list[TargetSeen] = []
        self._changed = False
        self._sent_at = Millis(0)
        self._summary_sent_at = Millis(0)
        self._sent_to_regions_at = Millis(0)

    def attempt_started(self, target_id: TargetId) -> None:
        """Count an attempt as in flight."""
        self._fleet_view.workloads.started(target_id, now=self._clock.now())
        self._changed = True

    def attempt_finished(self, target_id: TargetId) -> None:
        """Stop counting an attempt that ended or was not made."""
        self._fleet_view.workloads.finished(target_id, now=self._clock.now())
        self._changed = True

    def record(self, observation: TargetSeen) -> None:
        """Record what an attempt showed about its target."""
        self._fleet_view.results.record_own(observation, now=self._clock.now())
        self._observations.append(observation)
        self._changed = True

    def record_sign(self, seen: TargetSign) -> None:
        """Record what a target said, and tell the fleet if it is news."""
        if self._fleet_view.signs.record(seen, now=self._clock.now()):
            self._announcer.send_to_region(seen)
            self._announcer.send_to_other_regions(seen)

    def record_pause(self, entry: TargetEntry, *, pause_ms: float) -> None:
        """Record that a target wants no requests of this host for a time."""
        self._fleet_view.signs.record_pause(
            entry, pause_ms=pause_ms, now=self._clock.now()
        )

    def flush(self) -> None:
        """Send what has changed since the last call."""
        if not self._changed:
            return
        observations = tuple(self._observations)
        self._observations.clear()
        self._changed = False
        self._sent_at = self._clock.now()
        report = self._fleet_view.workloads.host_report(
            now=self._sent_at, seen=observations
        )
        aggregator = self._fleet_view.zone_sums.aggregator
        if aggregator is None:
            self._announcer.send_to_zone(report)
            self._send_failures(observations)
        elif self._fleet_view.zone_sums.is_own:
            self._fleet_view.zone_sums.collect(aggregator, observations)
        else:
            self._announcer.send_to_host(report, aggregator)

    def repeat_if_due(self) -> None:
        """Resend the requests in flight to the zone; run at each tick.

        Other hosts count this one as idle if no report arrives in time. A
        new aggregator knows nothing of this host yet.
        """
        if self._fleet_view.zone_sums.update():
            self._changed = True
            self.flush()
        if self._fleet_view.workloads.is_idle:
            return
        if self._clock.now() - self._sent_at >= settings.WORKLOAD_INTERVAL_MS:
            self._changed = True
            self.flush()

    def send_summaries(self) -> None:
        """Send the workload of the zone to other zones; run at each tick.

        Each host of a small zone sends it to some of the others, so that no
        link carries all of it; in a large one the aggregator does. Messages
        of other zones that are to be forwarded go to this zone.
        """
        fleet_view = self._fleet_view
        for forwarded in fleet_view.to_forward.take():
            self._announcer.send_to_zone(forwarded)
        while fleet_view.to_hosts:
            host_id, message = fleet_view.to_hosts.pop()
            self._announcer.send_to_host(message, host_id)
        if fleet_view.zone_sums.aggregator is None:
            self._send_share_of_summaries()
        elif fleet_view.zone_sums.is_own:
            self._send_summaries_of_aggregator()
        else:
            fleet_view.workloads.zone_results.clear()

    async def send_totals_while_due(self) -> None:
        """Send the sums of the zone to it while this host is to do so."""
        while self._fleet_view.zone_sums.is_sending:
            self.send_totals()
            await curio.sleep(self._fleet_view.zone_sums.pause_s())

    def send_totals(self) -> None:
        """Send the sums of the zone to it, if they are due."""
        totals = self._fleet_view.zone_sums.take_due()
        if totals is not None:
            self._announcer.send_to_zone(totals)

    def _send_failures(self, observations: Sequence[TargetSeen]) -> None:
        for observation in observations:
            if observation.sign is not Sign.answered:
                self._announcer.send_to_other_zones(observation)

    def _send_share_of_summaries(self) -> None:
        now = self._clock.now()
        workload = self._fleet_view.workloads.zone_report(now=now)
        self._announcer.send_to_share_of_region(workload)
        region_workload = self._region_workload(workload, now)
        if region_workload is not None:
            self._announcer.send_to_share_of_far_zones(region_workload)

    def _send_summaries_of_aggregator(self) -> None:
        now = self._clock.now()
        if now - self._summary_sent_at < settings.ZONE_SUMMARY_INTERVAL_MS:
            return
        self._summary_sent_at = now
        workload = self._fleet_view.workloads.zone_report(now=now)
        self._announcer.send_to_relays(
            RelayedWorkload(workload=workload), far=False
        )
        region_workload = self._region_workload(workload, now)
        if region_workload is not None:
            self._announcer.send_to_relays(
                RelayedWorkload(workload=region_workload), far=True
            )

    def _region_workload(
        self, workload: ZoneWorkload, now: Millis
    ) -> ZoneWorkload | None:
        """Return the report to other regions, `None` if none is due."""
        elapsed_ms = now - self._sent_to_regions_at
        if elapsed_ms < settings.REGION_SUMMARY_INTERVAL_MS:
            return None
        self._sent_to_regions_at = now
        return dataclasses.replace(
            workload, seen=(), soundness_by_id=self._soundness_by_id(now)
        )

    def _soundness_by_id(self, now: Millis) -> dict[TargetId, float]:
        reputations = self._fleet_view.reputations
        return {
            entry.target_id: round(
                reputations.of(entry.target_id).soundness_at(now),
                SOUNDNESS_DIGITS,
            )
            for entry in self._fleet_view.directory.entries_by_id.values()
            if entry.zone_id == self._fleet_view.host_table.zone_id
        }
