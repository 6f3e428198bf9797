"""The case against one target: evidence added up to a verdict.

Each stream of evidence keeps a cumulative sum of log likelihood ratios
(CUSUM): how much likelier what was seen is for a gray target than for a
healthy one, in nats, never below 0.
"""

import dataclasses
import math
from enum import Enum

from chicorybridge.baselines import clip
from chicorybridge.clocks import Millis
from chicorybridge.evidence import Evidence
from chicorybridge.identities import HostId, ZoneId
from chicorybridge.observations import Tally
from chicorybridge.thresholds import Thresholds

# What a gray target fails beyond the expected, as a share of the rest.
GRAY_FAILURES = 0.2
GRAY_SHED = 0.5
# Slowdown that is told from normal, and its logarithm.
GRAY_SLOWDOWN = 2.25
GRAY_SHIFT = math.log(GRAY_SLOWDOWN)
# Weight of latencies that count in a second, and at most at once: samples
# that lie close together say the same.
WEIGHT_PER_SECOND = 60.0
WEIGHT_AT_ONCE = 24.0
# Broken connections that lie closer than this have one cause.
BROKEN_SPACING_MS = 100.0
# Time in which evidence loses most of its worth.
MEMORY_MS = 20_000.0
# Weight of latencies over which a target's own history is averaged, and
# how far it may differ from what its hardware promises.
HISTORY_WEIGHT = 4000.0
MOST_HISTORY = 0.5
# Good attempts from a zone, lately, that clear the target there.
CLEARED_ATTEMPTS = 12.0
# Share of the threshold below which a zone or a target is not in doubt.
DOUBT_SHARE = 0.25
# Share of the evidence that suffices against a target on trial.
TRIAL_SHARE = 0.5
# Good answers without a failure between them that end a trial.
TRIAL_ANSWERS = 16


class Stream(Enum):
    """Kinds of evidence that are added up apart."""

    failed = 'failed'
    large = 'large'
    shed = 'shed'
    latency = 'latency'


@dataclasses.dataclass(kw_only=True, slots=True)
class Score:
    """A cumulative sum, since when it is above 0, and by whom."""

    nats: float = 0
    since: Millis = Millis(0)
    at: Millis = Millis(0)
    hosts: set[HostId] = dataclasses.field(default_factory=set)

    def add(
        self, nats: float, *, host_id: HostId, now: Millis, most: float
    ) -> None:
        """Add evidence of a host; `most` bounds the sum."""
        faded = self.nats * math.exp((self.at - now) / MEMORY_MS)
        self.at = now
        self.nats = min(max(0, faded + nats), most)
        if self.nats == 0:
            self.hosts.clear()
            return
        if nats > 0:
            if not self.hosts:
                self.since = now
            self.hosts.add(host_id)

    def reset(self) -> None:
        """Forget all evidence."""
        self.nats = 0
        self.hosts.clear()


@dataclasses.dataclass(kw_only=True, slots=True)
class ZoneView:
    """What the hosts of one zone report: doubt and good attempts."""

    score: Score = dataclasses.field(default_factory=Score)
    good: float = 0
    at: Millis = Millis(0)
    history: float = 0

    def add_good(self, attempts: int, *, now: Millis) -> None:
        """Add good attempts; old ones fade."""
        faded = self.good * math.exp((self.at - now) / MEMORY_MS)
        self.good = faded + attempts
        self.at = now


class Case:
    """All evidence for and against one target."""

    def __init__(self, *, warm_up_ms: float, now: Millis) -> None:
        """Start with a target that may be warming up."""
        self.scores = {stream: Score() for stream in Stream}
        self.good_on_trial = 0
        self._views_by_zone: dict[ZoneId, ZoneView] = {}
        self._warm_up_ms = warm_up_ms
        self._warm_at = Millis(now + warm_up_ms)
        self._broken_at = Millis(-math.inf)
        self._allowance = WEIGHT_AT_ONCE
        self._allowed_at = now

    @property
    def badness(self) -> float:
        """Return the strongest evidence against the target, in nats."""
        return max(score.nats for score in self.scores.values())

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
        tally = evidence.tally
        view = self._views_by_zone.setdefault(zone_id, ZoneView())
        nats_by_stream = self._weigh(evidence, view, now=now)
        most = 2 * thresholds.evidence
        for stream, nats in nats_by_stream.items():
            self.scores[stream].add(nats, host_id=host_id, now=now, most=most)
        view.score.add(
            sum(nats_by_stream.values()), host_id=host_id, now=now, most=most
        )
        good = tally.answered + tally.large_answered
        view.add_good(good, now=now)
        self.good_on_trial += good
        if tally.failures:
            self.good_on_trial = 0

    def is_gray(self, *, thresholds: Thresholds, hosts: int) -> bool:
        """Tell whether the evidence suffices; `hosts` is how many live."""
        wanted = min(hosts, thresholds.hosts)
        return any(
            score.nats >= thresholds.evidence
            and score.at - score.since >= thresholds.span_ms
            and len(score.hosts) >= wanted
            for score in self.scores.values()
        )

    def fails_trial(self, *, thresholds: Thresholds) -> bool:
        """Tell whether a target on trial is still gray."""
        return self.badness >= thresholds.evidence * TRIAL_SHARE

    def passes_trial(self, *, thresholds: Thresholds) -> bool:
        """Tell whether a target on trial did enough good work."""
        if self.good_on_trial < TRIAL_ANSWERS:
            return False
        return self.badness < thresholds.evidence * DOUBT_SHARE

    def zones(self, *, thresholds: Thresholds) -> tuple[ZoneId, ...]:
        """Return the zones that see it gray, or none if all may do."""
        doubt = thresholds.evidence * DOUBT_SHARE
        cleared = {
            zone_id
            for zone_id, view in self._views_by_zone.items()
            if view.score.nats < doubt and view.good >= CLEARED_ATTEMPTS
        }
        doubted = self._views_by_zone.keys() - cleared
        return tuple(sorted(doubted)) if cleared else ()

    def reset(self) -> None:
        """Forget the evidence, as when a trial starts or ends."""
        self.good_on_trial = 0
        for score in self.scores.values():
            score.reset()
        for view in self._views_by_zone.values():
            view.score.reset()
            view.good = 0

    def _weigh(
        self, evidence: Evidence, view: ZoneView, *, now: Millis
    ) -> dict[Stream, float]:
        tally = evidence.tally
        good = tally.answered + tally.large_answered
        bad = tally.failed + self._count_broken(tally, now=now)
        return {
            Stream.failed: _ratio(
                bad, tally.answered, evidence.failed_share, GRAY_FAILURES
            ),
            Stream.large: _ratio(
                tally.large_failed,
                tally.large_answered,
                evidence.large_share,
                GRAY_FAILURES,
            ),
            Stream.shed: _ratio(
                tally.shed, good, evidence.shed_share, GRAY_SHED
            ),
            Stream.latency: self._weigh_latency(evidence, view, now=now),
        }

    def _count_broken(self, tally: Tally, *, now: Millis) -> int:
        if not tally.broken:
            return 0
        self._warm_at = Millis(now + self._warm_up_ms)
        if now - self._broken_at < BROKEN_SPACING_MS:
            return 0
        self._broken_at = now
        return 1

    def _weigh_latency(
        self, evidence: Evidence, view: ZoneView, *, now: Millis
    ) -> float:
        weight = evidence.tally.latency_weight
        if not weight or now < self._warm_at:
            return 0
        mean = evidence.tally.latency_shift / weight - evidence.shift
        self._learn_history(view, mean, weight)
        counted = self._allow(weight, now=now)
        shift = clip(mean - view.history)
        return counted * GRAY_SHIFT * (shift - GRAY_SHIFT / 2)

    def _learn_history(
        self, view: ZoneView, mean: float, weight: float
    ) -> None:
        if self.scores[Stream.latency].nats > 0:
            return
        share = min(1, weight / HISTORY_WEIGHT)
        history = view.history + share * (mean - view.history)
        view.history = min(max(history, -MOST_HISTORY), MOST_HISTORY)

    def _allow(self, weight: float, *, now: Millis) -> float:
        gained = (now - self._allowed_at) * WEIGHT_PER_SECOND / 1000
        self._allowance = min(WEIGHT_AT_ONCE, self._allowance + gained)
        self._allowed_at = now
        counted = min(weight, self._allowance)
        self._allowance -= counted
        return counted


def _ratio(bad: float, good: float, normal: float, gray: float) -> float:
    """Return the log likelihood ratio of gray against normal, in nats."""
    if not bad and not good:
        return 0
    expected = normal + (1 - normal) * gray
    ratio_bad = math.log(expected / normal)
    ratio_good = math.log((1 - expected) / (1 - normal))
    return bad * ratio_bad + good * ratio_good
