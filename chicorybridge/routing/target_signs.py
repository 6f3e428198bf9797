"""What targets say in their answers about how they want to be used."""

import dataclasses

from chicorybridge import settings
from chicorybridge.common.clocks import Millis
from chicorybridge.common.codecs import wire
from chicorybridge.common.identities import TargetId
from chicorybridge.fleet.directories import TargetDirectory, TargetEntry


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


class TargetSigns:
    """Signs of targets that hold until the target restarts."""

    def __init__(self, *, directory: TargetDirectory) -> None:
        """Start without signs of the targets in `directory`."""
        self._directory = directory
        self._leaving_by_id: dict[TargetId, LeavingSign] = {}

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

    def expire(self, *, now: Millis) -> None:
        """Drop old signs of targets that are gone; run at each tick."""
        for target_id, sign in tuple(self._leaving_by_id.items()):
            is_old = now - sign.seen_at > settings.TARGET_SIGN_TTL_MS
            if is_old and target_id not in self._directory.entries_by_id:
                self._leaving_by_id.pop(target_id)
