"""Messages and records about ejected targets."""

import dataclasses

from chicorybridge.common.clocks import Millis
from chicorybridge.common.codecs import wire
from chicorybridge.common.identities import ServiceId, TargetId, ZoneId
from chicorybridge.fleet.freshness import Stamp

# Longest delay until a trial, and time without an ejection after which the
# delay of a target starts at its shortest again.
MAX_BACKOFF_MS = 300_000.0
BACKOFF_MEMORY_MS = 600_000.0


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Ejection:
    """Ejection of a target for the hosts of `zones`, or for all if empty.

    `badness` is the score in nats, by which ejections are ranked when some
    must end. While `on_trial`, the target gets a small share of requests.
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
    """Announcement of all ejections that the sender holds permits for."""

    stamp: Stamp
    ejections: tuple[Ejection, ...]


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TargetLimits:
    """Weight limits of ejected targets for entries, until `valid_until`.

    All processes of a host use the same monotonic clock.
    """

    limits_by_id: dict[TargetId, float]
    valid_until: Millis


@dataclasses.dataclass(kw_only=True, slots=True)
class OwnEjection:
    """An ejection that this host decided, and its next trial."""

    ejection: Ejection
    trial_delay_ms: float
    trial_at: Millis


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PeerAnnouncement:
    """Ejections of a peer, which are valid here until `valid_until`."""

    ejections: tuple[Ejection, ...]
    stamp: Stamp
    valid_until: Millis

    def contains(self, target_id: TargetId) -> bool:
        """Return whether the peer ejected a target."""
        return any(
            ejection.target_id == target_id for ejection in self.ejections
        )


class TrialDelays:
    """Delays between ejection and trial, doubled at each new ejection."""

    def __init__(self) -> None:
        """Start without earlier ejections."""
        self._delays_by_id: dict[TargetId, tuple[float, Millis]] = {}

    def next_delay_ms(
        self, target_id: TargetId, *, first_ms: float, now: Millis
    ) -> float:
        """Return the delay in ms for a target that is ejected now.

        `first_ms` is the shortest delay.
        """
        trial_delay_ms, ejected_at = self._delays_by_id.get(target_id, (0, now))
        trial_delay_ms = max(first_ms, min(2 * trial_delay_ms, MAX_BACKOFF_MS))
        if now - ejected_at > BACKOFF_MEMORY_MS:
            trial_delay_ms = first_ms
        self._delays_by_id[target_id] = (trial_delay_ms, now)
        return trial_delay_ms
