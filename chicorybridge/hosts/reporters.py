"""Reports of a host to others: its workload and results of attempts."""

import dataclasses

from chicorybridge import settings
from chicorybridge.common.clocks import Clock, Millis
from chicorybridge.common.identities import TargetId
from chicorybridge.fleet.directories import TargetEntry
from chicorybridge.hosts.announcers import Announcer
from chicorybridge.hosts.fleet_views import FleetView
from chicorybridge.routing.reputations import Sign, TargetSeen
from chicorybridge.routing.target_signs import TargetSign

# Decimal places of a probability in a report; more would make it larger.
SOUNDNESS_DIGITS = 2


class Reporter:
    """Record the workload of this host and report its changes.

    Changes are batched until `flush` is called. Failures are reported to
    the whole region, successes to the zone.
    """

    def __init__(
        self, *, clock: Clock, fleet_view: FleetView, announcer: Announcer
    ) -> None:
        """Update `fleet_view` and send the reports with `announcer`."""
        self._clock = clock
        self._fleet_view = fleet_view
        self._announcer = announcer
        self._observations: list[TargetSeen] = []
        self._changed = False
        self._sent_at = Millis(0)
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
        self._announcer.send_to_zone(report)
        for observation in observations:
            if observation.sign is not Sign.answered:
                self._announcer.send_to_other_zones(observation)

    def repeat_if_due(self) -> None:
        """Resend the requests in flight to the zone; run at each tick.

        Other hosts count this one as idle if no report arrives in time.
        """
        if self._fleet_view.workloads.is_idle:
            return
        if self._clock.now() - self._sent_at >= settings.WORKLOAD_INTERVAL_MS:
            self._changed = True
            self.flush()

    def send_summaries(self) -> None:
        """Send the workload of the zone to other zones; run at each tick.

        Each host of the zone sends it to some of the others, so that no
        link carries all of it. Each host forwards the messages that it
        received of other regions to its zone.
        """
        fleet_view = self._fleet_view
        while fleet_view.to_forward:
            self._announcer.send_to_zone(fleet_view.to_forward.pop())
        now = self._clock.now()
        workload = fleet_view.workloads.zone_report(now=now)
        self._announcer.send_to_share_of_region(workload)
        if (
            now - self._sent_to_regions_at
            >= settings.REGION_SUMMARY_INTERVAL_MS
        ):
            self._sent_to_regions_at = now
            region_workload = dataclasses.replace(
                workload, seen=(), soundness_by_id=self._soundness_by_id(now)
            )
            self._announcer.send_to_share_of_far_zones(region_workload)

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
