"""What targets say in their answers about how they want to be used."""

import dataclasses
import functools
import math
from typing import TypeAlias

from chicorybridge import settings
from chicorybridge.common.clocks import Millis
from chicorybridge.common.codecs import wire
from chicorybridge.common.events import Event, EventKind, EventLog
from chicorybridge.common.identities import TargetId
from chicorybridge.fleet.directories import TargetDirectory, TargetEntry
from chicorybridge.routing.target_limits import LimitSeen, TargetLimits

NO_PAUSE = Millis(-math.inf)
NEVER = Millis(math.inf)


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LeavingSeen:
    """Report a target that said in an answer that it is leaving.

    `started_at_ms`, in milliseconds since 1970, tells its restarts apart.
    """

    target_id: TargetId
    started_at_ms: int


TargetSign: TypeAlias = LeavingSeen | LimitSeen


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LeavingSign:
    """The start of a target that is leaving, and when that was learnt."""

    started_at_ms: int
    seen_at: Millis


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Pause:
    """The start of a target that wants no requests until `ends_at`."""

    started_at_ms: int
    ends_at: Millis


class TargetSigns:
    """Signs of targets that hold until the target restarts.

    All hosts heed that a target is leaving. A pause binds only the host
    that the target asked for it.
    """

    def __init__(
        self, *, directory: TargetDirectory, limits: TargetLimits, log: EventLog
    ) -> None:
        """Start without signs of the targets in `directory`."""
        self._directory = directory
        self._limits = limits
        self._log = log
        self._leaving_by_id: dict[TargetId, LeavingSign] = {}
        self._pauses_by_id: dict[TargetId, Pause] = {}

    def record(self, seen: TargetSign, *, now: Millis) -> bool:
        """Record and log a sign; return whether it is news."""
        is_news = self._record(seen, now)
        if is_news:
            self._log.emit(
                Event(
                    kind=EventKind.target_sign_seen,
                    facts={'sign': dataclasses.asdict(seen)},
                )
            )
        return is_news

    def available_at(self, entry: TargetEntry, *, now: Millis) -> Millis:
        """Return when this host may send a target the next request.

        Infinite if it may not until other signs come.
        """
        target_id = entry.target_id
        if not (
            entry.leaving
            or target_id in self._leaving_by_id
            or target_id in self._pauses_by_id
            or self._limits.has_limit(target_id)
        ):
            # Most targets gave no sign; this runs for each of them.
            return now
        if self.is_leaving(entry):
            return NEVER
        paused_until = self.paused_until(entry)
        return max(paused_until, self._limits.available_at(entry, now=now))

    def is_leaving(self, entry: TargetEntry) -> bool:
        """Return whether a target is leaving, by its entry or an answer."""
        if entry.leaving:
            return True
        sign = self._leaving_by_id.get(entry.target_id)
        return sign is not None and sign.started_at_ms >= entry.started_at_ms

    def take(self, entry: TargetEntry, *, now: Millis) -> None:
        """Count a request that is sent to a target."""
        self._limits.take(entry, now=now)

    def record_pause(
        self, entry: TargetEntry, *, pause_ms: float, now: Millis
    ) -> None:
        """Record that a target wants no requests of this host for a time."""
        ends_at = Millis(now + min(pause_ms, settings.MAX_TARGET_PAUSE_MS))
        if ends_at > self.paused_until(entry):
            self._pauses_by_id[entry.target_id] = Pause(
                started_at_ms=entry.started_at_ms, ends_at=ends_at
            )

    def paused_until(self, entry: TargetEntry) -> Millis:
        """Return when a target wants requests again; the past if it does."""
        pause = self._pauses_by_id.get(entry.target_id)
        if pause is None or pause.started_at_ms < entry.started_at_ms:
            return NO_PAUSE
        return pause.ends_at

    def expire(self, *, now: Millis) -> None:
        """Drop pauses that ended, and old signs of targets that are gone.

        Run at each tick.
        """
        for target_id, sign in tuple(self._leaving_by_id.items()):
            is_old = now - sign.seen_at > settings.TARGET_SIGN_TTL_MS
            if is_old and target_id not in self._directory.entries_by_id:
                self._leaving_by_id.pop(target_id)
        self._limits.expire(self._directory.entries_by_id, now=now)
        for target_id, pause in tuple(self._pauses_by_id.items()):
            if now >= pause.ends_at:
                self._pauses_by_id.pop(target_id)

    @functools.singledispatchmethod
    def _record(self, seen: TargetSign, now: Millis) -> bool:
        raise TypeError(f'{type(seen).__name__} is no sign of a target')

    @_record.register
    def _record_limit(self, seen: LimitSeen, now: Millis) -> bool:
        return self._limits.record(seen, now=now)

    @_record.register
    def _record_leaving(self, seen: LeavingSeen, now: Millis) -> bool:
        current = self._leaving_by_id.get(seen.target_id)
        if current is not None and current.started_at_ms >= seen.started_at_ms:
            return False
        self._leaving_by_id[seen.target_id] = LeavingSign(
            started_at_ms=seen.started_at_ms, seen_at=now
        )
        return True
