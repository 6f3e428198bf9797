"""Requests in flight when targets crashed, and which of them are blamed.

All requests that a target runs when it crashes are suspects. A request
that is answered later is cleared. One that was in flight at
`MAX_VICTIMS` crashes, or at `MAX_POSSIBLE_VICTIMS` that may be crashes, is
blamed whatever else crashes or is in flight there; one with fewer only if
nothing else explains its crashes.
"""

import dataclasses
from collections import defaultdict
from collections.abc import Callable, Collection, Iterable, Mapping

from chicorybridge import settings
from chicorybridge.common.clocks import Millis
from chicorybridge.common.identities import Digest, TargetId
from chicorybridge.quarantine.crash_evidence import (
    CrashedRun,
    Evidence,
    EvidenceKey,
    EvidenceTable,
    drop_older,
    report_of,
)
from chicorybridge.quarantine.crash_reports import Sighting, Victim


@dataclasses.dataclass(kw_only=True, slots=True)
class Suspect:
    """A request, and the targets that ended while they ran it."""

    digest: Digest
    evidence_by_victim: dict[Victim, Evidence] = dataclasses.field(
        default_factory=dict
    )

    @property
    def victim_count(self) -> int:
        """Return how many targets ended, or may have ended."""
        return len(self.evidence_by_victim)

    @property
    def proven_count(self) -> int:
        """Return how many targets surely ended."""
        return sum(one.is_proven for one in self.evidence_by_victim.values())

    @property
    def is_surely_blamed(self) -> bool:
        """Return whether nothing else can explain the crashes away."""
        if self.victim_count >= settings.MAX_POSSIBLE_VICTIMS:
            return True
        return self.proven_count >= settings.MAX_VICTIMS

    @property
    def target_ids(self) -> set[TargetId]:
        """Return the targets that ended, or may have ended."""
        return {victim.target_id for victim in self.evidence_by_victim}


class SuspectTable:
    """Suspects by digest; each host and entry process keeps one."""

    def __init__(self) -> None:
        """Start without suspects."""
        self._suspects_by_digest: dict[Digest, Suspect] = {}
        self._suspects_by_victim: defaultdict[Victim, set[Digest]] = (
            defaultdict(set)
        )
        self._crashed_at_by_target: dict[TargetId, Millis] = {}
        self._evidence = EvidenceTable()
        # Blamed requests that an answer has cleared.
        self._pardoned_at_by_digest: dict[Digest, Millis] = {}

    def __len__(self) -> int:
        """Return the number of suspects."""
        return len(self._suspects_by_digest)

    def __contains__(self, digest: object) -> bool:
        """Return whether a request is suspect."""
        return digest in self._suspects_by_digest

    def next_victim(self, run: CrashedRun) -> Victim:
        """Return the victim for a target that has just ended."""
        return self._evidence.next_victim(run)

    def add(self, report: Sighting, *, now: Millis) -> bool:
        """Add a report; return whether it shows anything new."""
        digest, victim = report.digest, report.victim
        if len(self._evidence) >= settings.MAX_SUSPECT_REPORTS:
            self._drop(_least_telling(self._evidence, self._suspects_by_digest))
        evidence = self._evidence.add(report, now=now)
        if evidence is None:
            return False
        suspect = self._suspects_by_digest.setdefault(
            digest, Suspect(digest=digest)
        )
        suspect.evidence_by_victim[victim] = evidence
        self._suspects_by_victim[victim].add(digest)
        if evidence.is_proven:
            self._crashed_at_by_target[victim.target_id] = now
        return True

    def clear(self, digest: Digest, *, now: Millis) -> bool:
        """Remove a request that was answered; return whether it was suspect.

        A blamed one is cleared once only: it would otherwise be sent on for
        as long as answers and crashes take turns.
        """
        suspect = self._suspects_by_digest.get(digest)
        if suspect is None:
            return False
        if suspect.is_surely_blamed:
            if digest in self._pardoned_at_by_digest:
                return False
            self._pardoned_at_by_digest[digest] = now
        for victim in tuple(suspect.evidence_by_victim):
            self._evidence.cancel((digest, victim))
            self._remove(digest, victim)
        return True

    def settle(
        self, has_ended: Callable[[Victim], bool], *, now: Millis
    ) -> None:
        """Decide on older possible crashes, by whether the target ended."""
        for digest, victim in self._evidence.settle(has_ended, now=now):
            self._remove(digest, victim)

    def renew(self, digest: Digest, *, now: Millis) -> bool:
        """Keep a suspect for longer; return whether that was due."""
        suspect = self._suspects_by_digest.get(digest)
        if suspect is None:
            return False
        newest_at = max(
            one.received_at for one in suspect.evidence_by_victim.values()
        )
        if now - newest_at < settings.SUSPECT_TTL_MS / 2:
            return False
        for victim in suspect.evidence_by_victim:
            self._evidence.renew((digest, victim), now=now)
        return True

    def reports(
        self, *, limit: int, min_victims: int = 1
    ) -> tuple[Sighting, ...]:
        """Return the last reports about requests that were not cleared.

        Only those about requests with `min_victims` or more.
        """
        current = [
            report_of((digest, victim), suspect.evidence_by_victim[victim])
            for digest, victim in self._evidence
            if (suspect := self._suspects_by_digest.get(digest))
            and victim in suspect.evidence_by_victim
            and suspect.victim_count >= min_victims
        ]
        return tuple(current[-limit:])

    def reports_on(self, digest: Digest) -> tuple[Sighting, ...]:
        """Return the reports about a request."""
        suspect = self._suspects_by_digest.get(digest)
        if suspect is None:
            return ()
        return tuple(
            report_of((digest, victim), evidence)
            for victim, evidence in suspect.evidence_by_victim.items()
        )

    def victims_of(self, digest: Digest) -> tuple[Victim, ...]:
        """Return the targets that ended while they ran a request."""
        suspect = self._suspects_by_digest.get(digest)
        return tuple(suspect.evidence_by_victim) if suspect else ()

    def is_blamed(self, digest: Digest, *, now: Millis) -> bool:
        """Return whether a request is blamed for crashes and refused."""
        suspect = self._suspects_by_digest.get(digest)
        if suspect is None:
            return False
        if suspect.is_surely_blamed:
            return True
        if suspect.proven_count < settings.MIN_VICTIMS:
            return False
        if self._crashed_elsewhere(suspect, now) >= suspect.proven_count:
            return False
        return not _is_shared(suspect, self._suspects_by_victim)

    def expire(self, *, now: Millis) -> None:
        """Drop reports older than `SUSPECT_TTL_MS`."""
        drop_older(self._pardoned_at_by_digest, now - settings.SUSPECT_TTL_MS)
        drop_older(self._crashed_at_by_target, now - settings.CRASH_WINDOW_MS)
        for key in self._evidence.expired(now=now):
            self._drop(key)

    def _drop(self, key: EvidenceKey) -> None:
        self._evidence.drop(key)
        self._remove(*key)

    def _remove(self, digest: Digest, victim: Victim) -> None:
        """Let a victim count no longer."""
        sharing = self._suspects_by_victim.get(victim, set())
        sharing.discard(digest)
        if not sharing:
            self._suspects_by_victim.pop(victim, None)
        suspect = self._suspects_by_digest.get(digest)
        if suspect is None:
            return
        suspect.evidence_by_victim.pop(victim, None)
        if not suspect.evidence_by_victim:
            self._suspects_by_digest.pop(digest)

    def _crashed_elsewhere(self, suspect: Suspect, now: Millis) -> int:
        """Count recently crashed targets that this request does not explain.

        Those that another request probably crashed say nothing about this
        one, so that several such requests don't excuse each other.
        """
        explained_ids = suspect.target_ids
        for other in self._suspects_by_digest.values():
            if other.is_surely_blamed:
                explained_ids |= other.target_ids
        return sum(
            now - crashed_at < settings.CRASH_WINDOW_MS
            for target_id, crashed_at in self._crashed_at_by_target.items()
            if target_id not in explained_ids
        )


def _is_shared(
    suspect: Suspect, suspects_by_victim: Mapping[Victim, Collection[Digest]]
) -> bool:
    """Return whether another suspect shares `MIN_VICTIMS` victims."""
    common: defaultdict[Digest, int] = defaultdict(int)
    for victim in suspect.evidence_by_victim:
        for digest in suspects_by_victim[victim]:
            common[digest] += 1
    common.pop(suspect.digest, None)
    return any(count >= settings.MIN_VICTIMS for count in common.values())


def _least_telling(
    keys: Iterable[EvidenceKey],
    suspects_by_digest: Mapping[Digest, Suspect],
) -> EvidenceKey:
    """Return the oldest report about a request with a single victim.

    The oldest of all if there is none: a wave of crashes does not push out
    what is known of a request that crashes targets.
    """
    oldest, *others = keys
    for key in (oldest, *others):
        suspect = suspects_by_digest.get(key[0])
        if suspect is None or suspect.victim_count == 1:
            return key
    return oldest
