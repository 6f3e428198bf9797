"""Requests that were under way when targets died, and which are to blame.

Whatever a target runs when it dies is suspect. A request that is answered
later is cleared. One that was there again when another target died is to
blame, unless others were there both times too, or targets die without it.
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
    """A target that died under a request, the `turn`-th time from 0."""

    target_id: TargetId
    turn: int = 0


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CrashSuspected:
    """Say that a target died while it ran the request with `digest`."""

    digest: Digest
    victim: Victim


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SuspectCleared:
    """Say that a suspect was answered whole by some target."""

    digest: Digest


@dataclasses.dataclass(kw_only=True, slots=True)
class Suspect:
    """A request and the targets that died under it, with the times."""

    digest: Digest
    victims: dict[Victim, Millis] = dataclasses.field(default_factory=dict)


class SuspectTable:
    """Suspects by digest; every host and entry process keeps one."""

    def __init__(self) -> None:
        """Start with no suspect."""
        self._suspects_by_digest: dict[Digest, Suspect] = {}
        self._suspects_by_victim: defaultdict[Victim, set[Digest]] = (
            defaultdict(set)
        )
        self._crashed_at_by_target: dict[TargetId, Millis] = {}
        # What was heard already, so that late copies revive nothing.
        self._heard_at: dict[CrashSuspected, Millis] = {}

    def __len__(self) -> int:
        """Return how many suspects there are."""
        return len(self._suspects_by_digest)

    def __contains__(self, digest: object) -> bool:
        """Tell whether a request is suspect."""
        return digest in self._suspects_by_digest

    def next_victim(
        self, digest: Digest, target_id: TargetId, *, now: Millis
    ) -> Victim:
        """Return how to name a target that has just died."""
        suspect = self._suspects_by_digest.get(digest)
        victims = suspect.victims if suspect else {}
        turns = {
            victim.turn: died_at
            for victim, died_at in victims.items()
            if victim.target_id == target_id
        }
        if not turns:
            return Victim(target_id=target_id)
        last = max(turns)
        again = now - turns[last] > settings.CRASH_DEDUPLICATION_MS
        return Victim(target_id=target_id, turn=last + int(again))

    def add(self, suspected: CrashSuspected, *, now: Millis) -> bool:
        """Take in a report; return whether it is new."""
        if suspected in self._heard_at:
            return False
        if len(self._heard_at) >= settings.MAX_SUSPECT_REPORTS:
            self._drop(next(iter(self._heard_at)))
        self._heard_at[suspected] = now
        digest, victim = suspected.digest, suspected.victim
        suspect = self._suspects_by_digest.setdefault(
            digest, Suspect(digest=digest)
        )
        suspect.victims[victim] = now
        self._suspects_by_victim[victim].add(digest)
        self._crashed_at_by_target[victim.target_id] = now
        return True

    def clear(self, digest: Digest) -> bool:
        """Forget a suspect that was answered; return whether it was one."""
        suspect = self._suspects_by_digest.pop(digest, None)
        if suspect is None:
            return False
        for victim in suspect.victims:
            self._suspects_by_victim[victim].discard(digest)
        return True

    def victims_of(self, digest: Digest) -> tuple[Victim, ...]:
        """Return the targets that died under a request."""
        suspect = self._suspects_by_digest.get(digest)
        return tuple(suspect.victims) if suspect else ()

    def is_to_blame(self, digest: Digest, *, now: Millis) -> bool:
        """Tell whether a request is to be refused."""
        suspect = self._suspects_by_digest.get(digest)
        if suspect is None or len(suspect.victims) < settings.MIN_VICTIMS:
            return False
        elsewhere = self._crashed_elsewhere(suspect, now)
        own = len(suspect.victims)
        if elsewhere >= own * settings.OTHER_CRASHES_FACTOR:
            return False
        sharing = self._sharing(suspect, settings.MIN_VICTIMS)
        if not sharing and elsewhere < own:
            return True
        if own < settings.MIN_AMBIGUOUS_VICTIMS:
            return False
        sharing = self._sharing(suspect, settings.MIN_AMBIGUOUS_VICTIMS)
        return sharing < settings.MASS_CRASH_SUSPECTS

    def expire(self, *, now: Millis) -> None:
        """Forget what is older than `SUSPECT_TTL_MS`."""
        while self._heard_at:
            oldest = next(iter(self._heard_at))
            if now - self._heard_at[oldest] < settings.SUSPECT_TTL_MS:
                return
            self._drop(oldest)

    def _drop(self, suspected: CrashSuspected) -> None:
        self._heard_at.pop(suspected)
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
        """Count the targets that died lately without this request."""
        own = {victim.target_id for victim in suspect.victims}
        return sum(
            now - died_at < settings.CRASH_WINDOW_MS
            for target_id, died_at in self._crashed_at_by_target.items()
            if target_id not in own
        )

    def _sharing(self, suspect: Suspect, least: int) -> int:
        """Count the other suspects with `least` victims in common."""
        common: defaultdict[Digest, int] = defaultdict(int)
        for victim in suspect.victims:
            for digest in self._suspects_by_victim[victim]:
                common[digest] += 1
        common.pop(suspect.digest, None)
        return sum(count >= least for count in common.values())
