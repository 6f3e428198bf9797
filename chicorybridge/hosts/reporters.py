"""What a host tells others of its requests and of how targets did."""

import dataclasses

from chicorybridge import settings
from chicorybridge.common.clocks import Clock, Millis
from chicorybridge.common.identities import TargetId
from chicorybridge.hosts.announcers import Announcer
from chicorybridge.hosts.fleet_views import FleetView
from chicorybridge.routing.reputations import Sign, TargetSeen

# Digits of a probability that are worth their bytes.
SOUNDNESS_DIGITS = 2


class Reporter:
    """Keep the own part of the workload and tell of its changes.

    Changes of one moment go out together when `flush` is called. What
    went wrong is told to the whole region, what went well to the zone.
    """

    def __init__(
        self, *, clock: Clock, fleet_view: FleetView, announcer: Announcer
    ) -> None:
        """Tell by `voice` what `knowledge` holds of this host."""
        self._clock = clock
        self._fleet_view = fleet_view
        self._announcer = announcer
        self._observations: list[TargetSeen] = []
        self._changed = False
        self._sent_at = Millis(0)
        self._sent_to_regions_at = Millis(0)

    def attempt_started(self, target_id: TargetId) -> None:
        """Count an attempt that begins."""
        self._fleet_view.workloads.started(target_id)
        self._changed = True

    def attempt_finished(self, target_id: TargetId) -> None:
        """Count off an attempt that ended or was not made."""
        self._fleet_view.workloads.finished(target_id)
        self._changed = True

    def record(self, observation: TargetSeen) -> None:
        """Take in what an attempt showed of its target."""
        self._fleet_view.reputations.see(observation, now=self._clock.now())
        if observation.sign is Sign.answered:
            self._fleet_view.workloads.answered(observation)
        self._observations.append(observation)
        self._changed = True

    def flush(self) -> None:
        """Tell what has changed since the last call."""
        if not self._changed:
            return
        observations = tuple(self._observations)
        self._observations.clear()
        self._changed = False
        self._sent_at = self._clock.now()
        report = self._fleet_view.workloads.report(
            now=self._sent_at, seen=observations
        )
        self._announcer.send_to_zone(report)
        for observation in observations:
            if observation.sign is not Sign.answered:
                self._announcer.send_to_other_zones(observation)

    def repeat_if_due(self) -> None:
        """Tell the zone again what is under way; run each tick.

        Others count the host as idle if they hear nothing of it.
        """
        if self._fleet_view.workloads.is_idle:
            return
        if self._clock.now() - self._sent_at >= settings.WORKLOAD_REPEAT_MS:
            self._changed = True
            self.flush()

    def send_summaries(self) -> None:
        """Tell other zones what this one does, if this host is to.

        What other regions said is passed on by whoever heard it.
        """
        fleet_view = self._fleet_view
        while fleet_view.to_forward:
            self._announcer.send_to_zone(fleet_view.to_forward.pop())
        if fleet_view.host_table.zone_rank():
            fleet_view.workloads.discard_answers()
            return
        now = self._clock.now()
        workload = fleet_view.workloads.sum_up(now=now)
        self._announcer.send_to_other_zones(workload)
        if now - self._sent_to_regions_at >= settings.FAR_SUM_MS:
            self._sent_to_regions_at = now
            regional = dataclasses.replace(
                workload, seen=(), soundness_by_id=self._soundness_by_id(now)
            )
            self._announcer.send_to_other_regions(regional)

    def _soundness_by_id(self, now: Millis) -> dict[TargetId, float]:
        reputations = self._fleet_view.reputations
        return {
            entry.target_id: round(
                reputations.of(entry.target_id).sound_at(now),
                SOUNDNESS_DIGITS,
            )
            for entry in self._fleet_view.directory.entries_by_id.values()
            if entry.zone_id == self._fleet_view.host_table.zone_id
        }
