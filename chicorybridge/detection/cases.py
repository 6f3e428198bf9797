"""The case against one target: evidence added up to a verdict.

A sum in nats says how much likelier what was seen is for a gray target
than for a healthy one. Outcomes and latency are added up apart.
"""

import math
from collections.abc import Collection

from chicorybridge.common.clocks import Millis
from chicorybridge.common.identities import HostId, ZoneId
from chicorybridge.detection.evidence import (
    Evidence,
    empty_recent,
    expect,
    worst,
)
from chicorybridge.detection.latency_verdicts import LatencyCase, WarmUp
from chicorybridge.detection.observations import Tally
from chicorybridge.detection.scores import Score, Stream, weigh_outcomes
from chicorybridge.detection.thresholds import LEAST_HOSTS, Thresholds

# Latency needs more evidence: samples of one target are not independent.
LATENCY_FACTOR = 1.5
# Evidence from a zone that clears the target there, in nats.
CLEARED_NATS = -3.0
# Bound on a sum, as a factor on the evidence that is needed.
MOST_FACTOR = 2
# Share of the threshold below which a target on trial is not in doubt,
# and share that suffices against it.
DOUBT_SHARE = 0.25
TRIAL_SHARE = 0.5
# Share of the evidence from which a target is checked with real work.
CHECK_SHARE = 0.2
# Good answers without a failure between them that end a trial.
TRIAL_ANSWERS = 12


class Case:
    """All evidence for and against one target."""

    def __init__(self, *, warm_up_ms: float, now: Millis) -> None:
        """Start with a target that may be warming up."""
        self.scores = {stream: Score() for stream in Stream}
        # Hosts that send work to the target.
        self.reporters: set[HostId] = set()
        self.checked_at = Millis(-math.inf)
        self._nats_by_zone: dict[ZoneId, dict[Stream, float]] = {}
        self._good_on_trial: float = 0
        self._others = empty_recent()
        self._latency = LatencyCase(now=now)
        self._warm_up = WarmUp(
            duration_ms=warm_up_ms, ends_at=Millis(now + warm_up_ms)
        )

    @property
    def badness(self) -> float:
        """Return the strongest evidence against the target, in nats."""
        return max(score.nats for score in self.scores.values())

    @property
    def is_down(self) -> bool:
        """Tell whether the target is refused connections above all."""
        return max(Stream, key=self._nats_of) is Stream.down

    @property
    def zones(self) -> tuple[ZoneId, ...]:
        """Return the zones that see it gray, or none if all may do."""
        stream = max(Stream, key=self._nats_of)
        doubted = [
            zone_id
            for zone_id, nats in self._nats_by_zone.items()
            if nats[stream] > CLEARED_NATS
        ]
        is_everywhere = len(doubted) == len(self._nats_by_zone)
        return () if is_everywhere else tuple(sorted(doubted))

    def add(
        self,
        evidence: Evidence,
        *,
        host_id: HostId,
        zone_id: ZoneId,
        now: Millis,
        thresholds: Thresholds,
    ) -> None:
        """Add up the evidence of one host."""
        self.reporters.add(host_id)
        if not self.badness:
            self._forget_zones()
        evidence = self._compare(evidence, now=now)
        nats_by_stream = self._weigh(
            evidence, zone_id=zone_id, now=now, thresholds=thresholds
        )
        zone_nats = self._nats_by_zone.setdefault(
            zone_id, dict.fromkeys(Stream, 0)
        )
        most = MOST_FACTOR * thresholds.evidence
        for stream, nats in nats_by_stream.items():
            zone_nats[stream] += nats
            self.scores[stream].add(nats, host_id=host_id, now=now, most=most)
        self._count_good(evidence.tally)

    def is_gray(
        self, *, thresholds: Thresholds, live: Collection[HostId], now: Millis
    ) -> bool:
        """Tell whether the evidence suffices; `live` are the live hosts.

        Hosts that use the target must agree, as many as the thresholds
        ask for, and two at least unless there is only one host.
        """
        users = max(LEAST_HOSTS, len(self.reporters.intersection(live)))
        wanted = min(len(live), thresholds.hosts, users)
        return any(
            score.nats >= thresholds.evidence * _factor(stream)
            and now - score.since >= _span_ms(stream, thresholds)
            and len(score.hosts) >= wanted
            for stream, score in self.scores.items()
        )

    def is_doubted(self, *, thresholds: Thresholds) -> bool:
        """Tell whether it is worth while to check with real work."""
        return any(
            self._nats_of(stream) >= thresholds.evidence * CHECK_SHARE
            for stream in Stream
        )

    def fails_trial(self, *, thresholds: Thresholds) -> bool:
        """Tell whether a target on trial is still gray.

        The word of one host needs all the evidence.
        """
        return any(
            score.nats >= thresholds.evidence * _trial_share(score)
            for score in self.scores.values()
        )

    def passes_trial(self, *, thresholds: Thresholds) -> bool:
        """Tell whether a target on trial did enough good work."""
        if self._good_on_trial < TRIAL_ANSWERS:
            return False
        return self.badness < thresholds.evidence * DOUBT_SHARE

    def reset(self) -> None:
        """Forget the evidence, as when a trial starts or ends."""
        self._good_on_trial = 0
        for score in self.scores.values():
            score.reset()
        self._forget_zones()

    def _forget_zones(self) -> None:
        for zone_id in self._nats_by_zone:
            self._nats_by_zone[zone_id] = dict.fromkeys(Stream, 0)

    def _nats_of(self, stream: Stream) -> float:
        return self.scores[stream].nats / _factor(stream)

    def _compare(self, evidence: Evidence, *, now: Millis) -> Evidence:
        """Add what all hosts see of the other targets to the evidence."""
        self._others.add(evidence.others, now=now)
        pooled = expect(evidence.tally, others=self._others.tally)
        return worst(evidence, pooled)

    def _weigh(
        self,
        evidence: Evidence,
        *,
        zone_id: ZoneId,
        now: Millis,
        thresholds: Thresholds,
    ) -> dict[Stream, float]:
        self._warm_up.observe(evidence.tally, now=now)
        cuts = self._warm_up.count_cuts(evidence.tally, now=now)
        nats_by_stream = weigh_outcomes(evidence, cuts=cuts)
        if now >= self._warm_up.ends_at:
            nats_by_stream[Stream.latency] = self._latency.weigh(
                evidence,
                zone_id=zone_id,
                learns=not self.scores[Stream.latency].nats,
                now=now,
                thresholds=thresholds,
            )
        return nats_by_stream

    def _count_good(self, tally: Tally) -> None:
        self._good_on_trial += tally.answered + tally.large_answered
        if tally.failures:
            self._good_on_trial = 0


def _trial_share(score: Score) -> float:
    return TRIAL_SHARE if len(score.hosts) > 1 else 1


def _factor(stream: Stream) -> float:
    return LATENCY_FACTOR if stream is Stream.latency else 1


def _span_ms(stream: Stream, thresholds: Thresholds) -> float:
    if stream is Stream.latency:
        return thresholds.latency_span_ms
    return thresholds.span_ms
