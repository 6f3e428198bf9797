"""Requests in flight when targets crashed, and which of them are blamed.

All requests that a target runs when it crashes are suspects. A request
that is answered later is cleared. One that was in flight at several
crashes is blamed, unless other requests were in flight at the same
crashes, or other targets crash without it.
"""

import dataclasses
from collections import defaultdict

from chicorybridge import settings
from chicorybridge.common.clocks import Millis
from chicorybridge.common.codecs import wire
from chicorybridge.common.identities import Digest, TargetId


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Victim:
    """A target that crashed; `crash_number` counts its crashes from 0."""

    target_id: TargetId
    crash_number: int = 0


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CrashSuspected:
    """Report that a target crashed while it ran a request."""

    digest: Digest
    victim: Victim


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SuspectCleared:
    """Report that a suspect got a complete answer from a target."""

    digest: Digest


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SuspectsKnown:
    """Tell a host that has started which reports were sent before."""

    reports: tuple[CrashSuspected, ...]


@dataclasses.dataclass(kw_only=True, slots=True)
class Suspect:
    """A request, and when the targets that ran it crashed."""

    digest: Digest
    victims: dict[Victim, Millis] = dataclasses.field(default_factory=dict)


class SuspectTable:
    """Suspects by digest; each host and entry process keeps one."""

    def __init__(self) -> None:
        """Start without suspects."""
        self._suspects_by_digest: dict[Digest, Suspect] = {}
        self._suspects_by_victim: defaultdict[Victim, set[Digest]] = (
            defaultdict(set)
        )
        self._crashed_at_by_target: dict[TargetId, Millis] = {}
        # Reports already received, so that late copies have no effect.
        self._received_at: dict[CrashSuspected, Millis] = {}

    def __len__(self) -> int:
        """Return the number of suspects."""
        return len(self._suspects_by_digest)

    def __contains__(self, digest: object) -> bool:
        """Return whether a request is suspect."""
        return digest in self._suspects_by_digest

    def next_victim(
        self, digest: Digest, target_id: TargetId, *, now: Millis
    ) -> Victim:
        """Return the victim for a target that has just crashed.

        Crashes of a target within `CRASH_DEDUPLICATION_MS` count as one.
        """
        suspect = self._suspects_by_digest.get(digest)
        victims = suspect.victims if suspect else {}
        crash_times_by_number = {
            victim.crash_number: crashed_at
            for victim, crashed_at in victims.items()
            if victim.target_id == target_id
        }
        if not crash_times_by_number:
            return Victim(target_id=target_id)
        last = max(crash_times_by_number)
        is_new_crash = (
            now - crash_times_by_number[last] > settings.CRASH_DEDUPLICATION_MS
        )
        return Victim(
            target_id=target_id, crash_number=last + int(is_new_crash)
        )

    def add(self, suspected: CrashSuspected, *, now: Millis) -> bool:
        """Add a report; return whether it is new."""
        if suspected in self._received_at:
            return False
        if len(self._received_at) >= settings.MAX_SUSPECT_REPORTS:
            self._drop(next(iter(self._received_at)))
        self._received_at[suspected] = now
        digest, victim = suspected.digest, suspected.victim
        suspect = self._suspects_by_digest.setdefault(
            digest, Suspect(digest=digest)
        )
        suspect.victims[victim] = now
        self._suspects_by_victim[victim].add(digest)
        self._crashed_at_by_target[victim.target_id] = now
        return True

    def clear(self, digest: Digest) -> bool:
        """Remove a request that was answered; return whether it was suspect."""
        suspect = self._suspects_by_digest.pop(digest, None)
        if suspect is None:
            return False
        for victim in suspect.victims:
            self._suspects_by_victim[victim].discard(digest)
        return True

    def reports(self, *, limit: int) -> tuple[CrashSuspected, ...]:
        """Return the last reports about requests that were not cleared."""
        current = [
            suspected
            for suspected in self._received_at
            if suspected.digest in self._suspects_by_digest
        ]
        return tuple(current[-limit:])

    def victims_of(self, digest: Digest) -> tuple[Victim, ...]:
        """Return the targets that crashed while they ran a request."""
        suspect = self._suspects_by_digest.get(digest)
        return tuple(suspect.victims) if suspect else ()

    def is_blamed(self, digest: Digest, *, now: Millis) -> bool:
        """Return whether a request is blamed for crashes and refused."""
        suspect = self._suspects_by_digest.get(digest)
        if suspect is None or len(suspect.victims) < settings.MIN_VICTIMS:
            return False
        elsewhere = self._crashed_elsewhere(suspect, now)
        own_crashes = len(suspect.victims)
        if elsewhere >= own_crashes * settings.OTHER_CRASHES_FACTOR:
            return False
        sharing = self._count_sharing(suspect, settings.MIN_VICTIMS)
        if not sharing and elsewhere < own_crashes:
            return True
        if own_crashes < settings.MIN_VICTIMS_IF_AMBIGUOUS:
            return False
        sharing = self._count_sharing(
            suspect, settings.MIN_VICTIMS_IF_AMBIGUOUS
        )
        return sharing < settings.MIN_SHARING_SUSPECTS

    def expire(self, *, now: Millis) -> None:
        """Drop reports older than `SUSPECT_TTL_MS`."""
        while self._received_at:
            oldest = next(iter(self._received_at))
            if now - self._received_at[oldest] < settings.SUSPECT_TTL_MS:
                return
            self._drop(oldest)

    def _drop(self, suspected: CrashSuspected) -> None:
        self._received_at.pop(suspected)
        victim = suspected.victim
        sharing = self._suspects_by_victim.get(victim, set())
        sharing.discard(suspected.digest)
        if not sharing:
            self._suspects_by_victim.pop(victim, None)
        suspect = self._suspects_by_digest.get(suspected.digest)
        if suspect is None:
            return
        suspect.victims.pop(victim, None)
        if not suspect.victims:
            self._suspects_by_digest.pop(suspected.digest)

    def _crashed_elsewhere(self, suspect: Suspect, now: Millis) -> int:
        """Count recently crashed targets that this request does not explain.

        Those that another request probably crashed say nothing about this
        one, so that several such requests don't excuse each other.
        """
        explained_ids = {victim.target_id for victim in suspect.victims}
        for other in self._suspects_by_digest.values():
            if len(other.victims) >= settings.MIN_VICTIMS_IF_AMBIGUOUS:
                explained_ids.update(
                    victim.target_id for victim in other.victims
                )
        return sum(
            now - crashed_at < settings.CRASH_WINDOW_MS
            for target_id, crashed_at in self._crashed_at_by_target.items()
            if target_id not in explained_ids
        )

    def _count_sharing(self, suspect: Suspect, min_common: int) -> int:
        """Count other suspects with `min_common` victims in common."""
        common: defaultdict[Digest, int] = defaultdict(int)
        for victim in suspect.victims:
            for digest in self._suspects_by_victim[victim]:
                common[digest] += 1
        common.pop(suspect.digest, None)
        return sum(count >= min_common for count in common.values())
