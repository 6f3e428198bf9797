"""What targets say in their answers about how they want to be used."""

import dataclasses
import math

from chicorybridge import settings
from chicorybridge.common.clocks import Millis
from chicorybridge.common.codecs import wire
from chicorybridge.common.identities import TargetId
from chicorybridge.fleet.directories import TargetDirectory, TargetEntry

NO_PAUSE = Millis(-math.inf)


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LeavingSeen:
    """Report a target that said in an answer that it is leaving.

    `started_at_ms`, in milliseconds since 1970, tells its restarts apart.
    """

    target_id: TargetId
    started_at_ms: int


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

    def __init__(self, *, directory: TargetDirectory) -> None:
        """Start without signs of the targets in `directory`."""
        self._directory = directory
        self._leaving_by_id: dict[TargetId, LeavingSign] = {}
        self._pauses_by_id: dict[TargetId, Pause] = {}

    def record_leaving(self, seen: LeavingSeen, *, now: Millis) -> bool:
        """Record a target that is leaving; return whether that is new."""
        current = self._leaving_by_id.get(seen.target_id)
        if current is not None and current.started_at_ms >= seen.started_at_ms:
            return False
        self._leaving_by_id[seen.target_id] = LeavingSign(
            started_at_ms=seen.started_at_ms, seen_at=now
        )
        return True

    def is_leaving(self, entry: TargetEntry) -> bool:
        """Return whether a target is leaving, by its entry or an answer."""
        if entry.leaving:
            return True
        sign = self._leaving_by_id.get(entry.target_id)
        return sign is not None and sign.started_at_ms >= entry.started_at_ms

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
        for target_id, pause in tuple(self._pauses_by_id.items()):
            if now >= pause.ends_at:
                self._pauses_by_id.pop(target_id)
