"""What hosts tell each other and their entries about ejected targets."""

import dataclasses

from chicorybridge.common.clocks import Millis
from chicorybridge.common.codecs import wire
from chicorybridge.common.identities import ServiceId, TargetId, ZoneId
from chicorybridge.fleet.freshness import Stamp

# Longest rest between two trials, and how long a rest is remembered.
MAX_BACKOFF_MS = 300_000.0
BACKOFF_MEMORY_MS = 600_000.0


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Ejection:
    """A target that is out for the hosts of `zones`, or for all if empty.

    `badness` ranks ejections when some must end; `on_trial` leaves the
    target a little real work.
    """

    target_id: TargetId
    service_id: ServiceId
    slots: int
    badness: float
    on_trial: bool = False
    zones: tuple[ZoneId, ...] = ()


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class EjectionNotice:
    """Announce all ejections that the sender holds permits for."""

    stamp: Stamp
    ejections: tuple[Ejection, ...]


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TargetLimits:
    """Tell entries which targets are limited, until `valid_until`.

    All processes of a host read the same monotonic clock.
    """

    limits_by_id: dict[TargetId, float]
    valid_until: Millis


@dataclasses.dataclass(kw_only=True, slots=True)
class OwnEjection:
    """An ejection that this host decided."""

    ejection: Ejection
    trial_delay_ms: float
    trial_at: Millis


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PeerAnnouncement:
    """What a peer announced at its `reading`, honoured until `until`."""

    ejections: tuple[Ejection, ...]
    stamp: Stamp
    valid_until: Millis

    def contains(self, target_id: TargetId) -> bool:
        """Tell whether the peer ejected a target."""
        return any(
            ejection.target_id == target_id for ejection in self.ejections
        )


class TrialDelays:
    """How long targets rest before a trial; doubled at each relapse."""

    def __init__(self) -> None:
        """Start without memory."""
        self._delays_by_id: dict[TargetId, tuple[float, Millis]] = {}

    def next_delay_ms(
        self, target_id: TargetId, *, first_ms: float, now: Millis
    ) -> float:
        """Return the rest of a target that is ejected now."""
        trial_delay_ms, since = self._delays_by_id.get(target_id, (0, now))
        trial_delay_ms = max(first_ms, min(2 * trial_delay_ms, MAX_BACKOFF_MS))
        if now - since > BACKOFF_MEMORY_MS:
            trial_delay_ms = first_ms
        self._delays_by_id[target_id] = (trial_delay_ms, now)
        return trial_delay_ms
