"""Evidence on a target, as reported to the host that evaluates it.

A host compares a target with the other targets of its service as it sees
them itself. A network fault near the host, a slow service or a load peak
affects all of them, so it is part of what is expected of the target.
"""

import dataclasses
import math

from chicorybridge.common.clocks import Millis
from chicorybridge.common.codecs import wire
from chicorybridge.common.identities import ServiceId, TargetId, ZoneId
from chicorybridge.configuration.declarations import Declaration
from chicorybridge.detection.observations import Tally
from chicorybridge.fleet.freshness import Stamp

# Time constant of the exponential decay of recent counts.
DECAY_MS = 400.0
# Weight, in attempts, of the prior assumption that failures and shed requests
# have their normal shares. The normal shares follow.
PRIOR_ATTEMPTS = 20.0
NORMAL_FAILED_SHARE = 0.005
NORMAL_SHED_SHARE = 0.03
# Latency weight of the prior assumption that latency is as expected.
PRIOR_LATENCY_WEIGHT = 10.0
# Latency weight of the other targets in the same zone from which a target is
# also compared with these alone.
MIN_ZONE_WEIGHT = 12.0


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Evidence:
    """Counts of one target, and the expectation from the other targets.

    The shares are those of attempts that fail at other targets; `shift`
    is how much slower than their baseline these are, as a difference of
    natural logarithms. `others` holds the counts behind these figures, so
    that the evaluating host can add them up over hosts.
    """

    tally: Tally
    failed_share: float
    large_failed_share: float
    shed_share: float
    shift: float
    others: Tally


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class EvidenceReport:
    """Evidence from a host in `zone_id` for the evaluating host."""

    stamp: Stamp
    zone_id: ZoneId
    evidence: tuple[Evidence, ...]


@dataclasses.dataclass(kw_only=True, slots=True)
class DecayingTally:
    """Recent counts of one or more targets, with exponential decay."""

    tally: Tally
    decayed_at: Millis = Millis(0)

    def add(self, tally: Tally, *, now: Millis) -> None:
        """Decay the counts to `now`, then add `tally`."""
        self.decay(now=now)
        self.tally.add(tally)

    def decay(self, *, now: Millis) -> None:
        """Decay the counts to `now`."""
        if now == self.decayed_at:
            return
        factor = math.exp((self.decayed_at - now) / DECAY_MS)
        self.decayed_at = now
        self.tally.scale(factor)


class ServiceTallies:
    """Recent counts of this host by target, service and zone."""

    def __init__(self) -> None:
        """Start without targets or counts."""
        self._service_by_target: dict[TargetId, ServiceId] = {}
        self._zone_by_target: dict[TargetId, ZoneId] = {}
        self._tallies_by_target: dict[TargetId, DecayingTally] = {}
        self._tallies_by_key: dict[
            tuple[ServiceId, ZoneId | None], DecayingTally
        ] = {}

    def configure(self, declaration: Declaration) -> None:
        """Set the targets of a configuration."""
        targets = declaration.targets_by_id.values()
        self._service_by_target = {
            each.target_id: declaration.service_id_of(each) for each in targets
        }
        self._zone_by_target = {
            each.target_id: each.zone_id for each in targets
        }

    def is_declared(self, target_id: TargetId) -> bool:
        """Return whether a target is declared."""
        return target_id in self._service_by_target

    def add(self, tally: Tally, *, now: Millis) -> None:
        """Add the counts of an entry process for one target."""
        target_id = tally.target_id
        service_id = self._service_by_target[target_id]
        zone_id = self._zone_by_target[target_id]
        _tally_of(self._tallies_by_target, target_id).add(tally, now=now)
        for key in ((service_id, None), (service_id, zone_id)):
            _tally_of(self._tallies_by_key, key).add(tally, now=now)

    def compare(self, tally: Tally, *, now: Millis) -> Evidence:
        """Return `tally` with the expectation from the other targets."""
        target_id = tally.target_id
        service_id = self._service_by_target[target_id]
        zone_id = self._zone_by_target[target_id]
        own = _tally_of(self._tallies_by_target, target_id)
        own.decay(now=now)
        everywhere = _subtract(self._tallies_by_key[service_id, None], own, now)
        same_zone = _subtract(
            self._tallies_by_key[service_id, zone_id], own, now
        )
        evidence = with_expectation(tally, others=everywhere)
        if same_zone.latency_weight >= MIN_ZONE_WEIGHT:
            evidence = with_worse_expectation(
                evidence, with_expectation(tally, others=same_zone)
            )
        return evidence


def empty_decaying_tally() -> DecayingTally:
    """Return a decaying tally without counts or a target."""
    return DecayingTally(tally=Tally(target_id=TargetId('')))


def _tally_of(table: dict, key: object) -> DecayingTally:
    decaying = table.get(key)
    if decaying is None:
        decaying = empty_decaying_tally()
        table[key] = decaying
    return decaying


def _subtract(
    decaying: DecayingTally, own: DecayingTally, now: Millis
) -> Tally:
    decaying.decay(now=now)
    others = dataclasses.replace(own.tally)
    others.scale(-1)
    others.add(decaying.tally)
    return others


def with_expectation(tally: Tally, *, others: Tally) -> Evidence:
    """Return `tally` with the expectation that follows from `others`."""
    failed = others.failed + others.cut + others.unreachable
    large = others.large_answered + others.large_failed
    attempts = failed + others.answered
    return Evidence(
        tally=tally,
        failed_share=_smoothed_share(failed, attempts, NORMAL_FAILED_SHARE),
        large_failed_share=_smoothed_share(
            others.large_failed, large, NORMAL_FAILED_SHARE
        ),
        shed_share=_smoothed_share(
            others.shed, others.shed + attempts + large, NORMAL_SHED_SHARE
        ),
        shift=others.latency_shift
        / (others.latency_weight + PRIOR_LATENCY_WEIGHT),
        others=others,
    )


def with_worse_expectation(one: Evidence, other: Evidence) -> Evidence:
    """Return `one` with the higher of both expectations for each figure."""
    return Evidence(
        tally=one.tally,
        failed_share=max(one.failed_share, other.failed_share),
        large_failed_share=max(
            one.large_failed_share, other.large_failed_share
        ),
        shed_share=max(one.shed_share, other.shed_share),
        shift=max(one.shift, other.shift),
        others=one.others,
    )


def _smoothed_share(failures: float, attempts: float, normal: float) -> float:
    """Return the share of failures: smoothed, and at least `normal`."""
    prior = normal * PRIOR_ATTEMPTS
    share = (failures + prior) / (attempts + PRIOR_ATTEMPTS)
    return max(normal, share)
