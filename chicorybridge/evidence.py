"""What a host reports to the judge of a target, and when.

A host compares a target with the other targets of its service as it sees
them itself: a network fault near the host, a slow service or a peak of
load shifts them all and is taken off before anything is reported.
"""

import dataclasses
import math

from chicorybridge.clocks import Millis
from chicorybridge.codecs import wire
from chicorybridge.declarations import Declaration
from chicorybridge.freshness import Stamp
from chicorybridge.identities import ServiceId, TargetId, ZoneId
from chicorybridge.observations import Tally

# Time over which the other targets of a service are averaged.
COMMON_MS = 3000.0
# Attempts without a failure that are taken for granted, and the share of
# failures that is normal.
PRIOR_ATTEMPTS = 20.0
NORMAL_FAILURES = 0.005
NORMAL_SHED = 0.03
# Weight of the assumption that latency is as expected.
PRIOR_WEIGHT = 10.0
# Weight of others in the same zone from which they are believed.
ZONE_WEIGHT = 12.0


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Evidence:
    """A tally and what the host would expect of any target.

    The shares are those of attempts that fail at other targets; `shift`
    is how much slower than expected they are, as a logarithm.
    """

    tally: Tally
    failed_share: float
    large_share: float
    shed_share: float
    shift: float


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class EvidenceReport:
    """Evidence of a host in `zone_id` to the judge of the targets."""

    stamp: Stamp
    zone_id: ZoneId
    evidence: tuple[Evidence, ...]


@dataclasses.dataclass(kw_only=True, slots=True)
class Recent:
    """What this host saw lately of some targets; fades with time."""

    tally: Tally
    faded_at: Millis = Millis(0)

    def add(self, tally: Tally, *, now: Millis) -> None:
        """Fade what is known to `now` and add `tally`."""
        self.fade(now=now)
        self.tally.add(tally)

    def fade(self, *, now: Millis) -> None:
        """Let what is known fade to `now`."""
        factor = math.exp((self.faded_at - now) / COMMON_MS)
        self.faded_at = now
        for field in COUNTS:
            setattr(self.tally, field, getattr(self.tally, field) * factor)


COUNTS = tuple(
    field.name
    for field in dataclasses.fields(Tally)
    if field.name != 'target_id'
)


class CommonView:
    """How the targets of each service fare as this host sees them."""

    def __init__(self) -> None:
        """Start without targets."""
        self._service_by_target: dict[TargetId, ServiceId] = {}
        self._zone_by_target: dict[TargetId, ZoneId] = {}
        self._recent_by_target: dict[TargetId, Recent] = {}
        self._recent_by_key: dict[tuple[ServiceId, ZoneId | None], Recent] = {}

    def configure(self, declaration: Declaration) -> None:
        """Take in the targets of a configuration."""
        targets = declaration.targets_by_id.values()
        self._service_by_target = {
            each.target_id: declaration.service_id_of(each) for each in targets
        }
        self._zone_by_target = {
            each.target_id: each.zone_id for each in targets
        }

    def knows(self, target_id: TargetId) -> bool:
        """Tell whether a target is declared."""
        return target_id in self._service_by_target

    def add(self, tally: Tally, *, now: Millis) -> None:
        """Take in what an entry process saw."""
        target_id = tally.target_id
        service_id = self._service_by_target[target_id]
        zone_id = self._zone_by_target[target_id]
        _recent(self._recent_by_target, target_id).add(tally, now=now)
        for key in ((service_id, None), (service_id, zone_id)):
            _recent(self._recent_by_key, key).add(tally, now=now)

    def judge(self, tally: Tally, *, now: Millis) -> Evidence:
        """Return `tally` with what is expected from the other targets."""
        target_id = tally.target_id
        service_id = self._service_by_target[target_id]
        zone_id = self._zone_by_target[target_id]
        own = _recent(self._recent_by_target, target_id)
        own.fade(now=now)
        everywhere = _others(self._recent_by_key[service_id, None], own, now)
        same_zone = _others(self._recent_by_key[service_id, zone_id], own, now)
        views = [_expect(tally, everywhere)]
        if same_zone.latency_weight >= ZONE_WEIGHT:
            views.append(_expect(tally, same_zone))
        return Evidence(
            tally=tally,
            failed_share=max(view.failed_share for view in views),
            large_share=max(view.large_share for view in views),
            shed_share=max(view.shed_share for view in views),
            shift=max(view.shift for view in views),
        )


def _recent(table: dict, key: object) -> Recent:
    recent = table.get(key)
    if recent is None:
        recent = Recent(tally=Tally(target_id=TargetId('')))
        table[key] = recent
    return recent


def _others(recent: Recent, own: Recent, now: Millis) -> Tally:
    recent.fade(now=now)
    others = Tally(target_id=TargetId(''))
    for field in COUNTS:
        known = getattr(recent.tally, field) - getattr(own.tally, field)
        setattr(others, field, known)
    return others


def _expect(tally: Tally, others: Tally) -> Evidence:
    failed = others.failed + others.broken
    large = others.large_answered + others.large_failed
    attempts = failed + others.answered
    return Evidence(
        tally=tally,
        failed_share=_share(failed, attempts, NORMAL_FAILURES),
        large_share=_share(others.large_failed, large, NORMAL_FAILURES),
        shed_share=_share(
            others.shed, others.shed + attempts + large, NORMAL_SHED
        ),
        shift=others.latency_shift / (others.latency_weight + PRIOR_WEIGHT),
    )


def _share(failures: float, attempts: float, normal: float) -> float:
    """Return the share of failures, drawn to the normal one."""
    prior = normal * PRIOR_ATTEMPTS
    share = (failures + prior) / (attempts + PRIOR_ATTEMPTS)
    return max(normal, share)
