"""What a host tells others of its requests and of how targets did."""

import dataclasses

from chicorybridge import settings
from chicorybridge.common.clocks import Clock, Millis
from chicorybridge.common.identities import TargetId
from chicorybridge.hosts.knowledge import HostKnowledge
from chicorybridge.hosts.voices import Voice
from chicorybridge.routing.reputations import Sign, TargetSeen

# Digits of a probability that are worth their bytes.
SOUNDNESS_DIGITS = 2


class Reporter:
    """Keep the own part of the workload and tell of its changes.

    Changes of one moment go out together when `flush` is called. What
    went wrong is told to the whole region, what went well to the zone.
    """

    def __init__(
        self, *, clock: Clock, knowledge: HostKnowledge, voice: Voice
    ) -> None:
        """Tell by `voice` what `knowledge` holds of this host."""
        self._clock = clock
        self._knowledge = knowledge
        self._voice = voice
        self._seen: list[TargetSeen] = []
        self._changed = False
        self._told_at = Millis(0)
        self._far_told_at = Millis(0)

    def started(self, target_id: TargetId) -> None:
        """Count an attempt that begins."""
        self._knowledge.workloads.started(target_id)
        self._changed = True

    def finished(self, target_id: TargetId) -> None:
        """Count off an attempt that ended or was not made."""
        self._knowledge.workloads.finished(target_id)
        self._changed = True

    def observe(self, seen: TargetSeen) -> None:
        """Take in what an attempt showed of its target."""
        self._knowledge.reputations.record_own(seen, now=self._clock.now())
        if seen.sign is Sign.answered:
            self._knowledge.workloads.record_answer(seen)
        self._seen.append(seen)
        self._changed = True

    def flush(self) -> None:
        """Tell what has changed since the last call."""
        if not self._changed:
            return
        seen = tuple(self._seen)
        self._seen.clear()
        self._changed = False
        self._told_at = self._clock.now()
        report = self._knowledge.workloads.host_report(
            now=self._told_at, seen=seen
        )
        self._voice.tell_zone(report)
        for one in seen:
            if one.sign is not Sign.answered:
                self._voice.tell_other_zones(one)

    def repeat(self) -> None:
        """Tell the zone again what is under way; run each tick.

        Others count the host as idle if they hear nothing of it.
        """
        if self._knowledge.workloads.is_idle:
            return
        if self._clock.now() - self._told_at >= settings.WORKLOAD_REPEAT_MS:
            self._changed = True
            self.flush()

    def sum_up(self) -> None:
        """Tell other zones what this one does, if this host is to.

        What other regions said is passed on by whoever heard it.
        """
        knowledge = self._knowledge
        while knowledge.to_pass_on:
            self._voice.tell_zone(knowledge.to_pass_on.pop())
        if knowledge.sightings.zone_rank():
            knowledge.workloads.discard_answers()
            return
        now = self._clock.now()
        workload = knowledge.workloads.zone_report(now=now)
        self._voice.tell_other_zones(workload)
        if now - self._far_told_at >= settings.FAR_SUM_MS:
            self._far_told_at = now
            far = dataclasses.replace(
                workload, seen=(), soundness_by_id=self._soundness_by_id(now)
            )
            self._voice.tell_far_zones(far)

    def _soundness_by_id(self, now: Millis) -> dict[TargetId, float]:
        reputations = self._knowledge.reputations
        return {
            entry.target_id: round(
                reputations.of(entry.target_id).soundness_at(now),
                SOUNDNESS_DIGITS,
            )
            for entry in self._knowledge.directory.entries_by_id.values()
            if entry.zone_id == self._knowledge.sightings.zone_id
        }
