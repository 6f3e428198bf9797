"""Reports that targets ended under requests, by request and target."""

import dataclasses
from collections.abc import Callable, Iterator
from typing import Any, TypeAlias

from chicorybridge import settings
from chicorybridge.common.clocks import Millis
from chicorybridge.common.identities import Digest, TargetId
from chicorybridge.quarantine.crash_reports import (
    CrashPossible,
    CrashSuspected,
    Sighting,
    Victim,
)

EvidenceKey: TypeAlias = tuple[Digest, Victim]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CrashedRun:
    """A run of a request that a target didn't answer.

    `target_started_at_ms` tells the starts of a target apart, if known.
    """

    digest: Digest
    target_id: TargetId
    started_at: Millis
    target_started_at_ms: int = 0


@dataclasses.dataclass(kw_only=True, slots=True)
class Evidence:
    """A report on a crash; `is_proven` if the target surely ended.

    Late copies of a `cancelled` one have no effect: its request was
    answered, or its target turned out to be alive.
    """

    received_at: Millis
    is_proven: bool
    cancelled: bool = False


class EvidenceTable:
    """The evidence of one process, oldest first."""

    def __init__(self) -> None:
        """Start without evidence."""
        self._evidence_by_key: dict[EvidenceKey, Evidence] = {}
        # The last crash of each target under each request.
        self._last_by_target: dict[tuple[Digest, TargetId], Victim] = {}
        # Evidence that is neither proven nor cancelled.
        self._possible_by_key: dict[EvidenceKey, Evidence] = {}

    def __len__(self) -> int:
        """Return the number of reports, cancelled ones included."""
        return len(self._evidence_by_key)

    def __iter__(self) -> Iterator[EvidenceKey]:
        """Return the keys of the reports, oldest first."""
        return iter(self._evidence_by_key)

    def next_victim(self, run: CrashedRun) -> Victim:
        """Return the victim for a target that has just ended.

        A run that started before the last known crash of the target under
        this request ended with that one.
        """
        last = self._last_by_target.get((run.digest, run.target_id))
        if last is None:
            return Victim(
                target_id=run.target_id, crash_number=run.target_started_at_ms
            )
        crashed_at = self._evidence_by_key[run.digest, last].received_at
        if run.started_at <= crashed_at:
            return last
        return Victim(
            target_id=run.target_id,
            crash_number=max(last.crash_number + 1, run.target_started_at_ms),
        )

    def add(self, report: Sighting, *, now: Millis) -> Evidence | None:
        """Add a report; return its evidence if it shows anything new."""
        is_proven = isinstance(report, CrashSuspected)
        key = report.digest, report.victim
        known = self._evidence_by_key.get(key)
        if known is not None:
            is_news = is_proven and not known.is_proven
            if is_news:
                self._prove(key, known)
            return known if is_news and not known.cancelled else None
        evidence = Evidence(received_at=now, is_proven=is_proven)
        self._evidence_by_key[key] = evidence
        target = report.digest, report.victim.target_id
        last = self._last_by_target.get(target)
        if last is None or last.crash_number < report.victim.crash_number:
            self._last_by_target[target] = report.victim
        if not is_proven:
            self._possible_by_key[key] = evidence
        return evidence

    def cancel(self, key: EvidenceKey) -> None:
        """Let a report and its copies count for nothing."""
        self._possible_by_key.pop(key, None)
        self._evidence_by_key[key].cancelled = True

    def settle(
        self, has_ended: Callable[[Victim], bool], *, now: Millis
    ) -> Iterator[EvidenceKey]:
        """Decide on possible crashes by whether their target `has_ended`.

        Return the keys of those older than `POSSIBLE_CRASH_TTL_MS` whose
        target is still alive.
        """
        for key, evidence in tuple(self._possible_by_key.items()):
            if has_ended(key[1]):
                self._prove(key, evidence)
                continue
            if now - evidence.received_at >= settings.POSSIBLE_CRASH_TTL_MS:
                self.cancel(key)
                yield key

    def renew(self, key: EvidenceKey, *, now: Millis) -> None:
        """Make a report the newest one."""
        evidence = self._evidence_by_key.pop(key)
        evidence.received_at = now
        self._evidence_by_key[key] = evidence

    def drop(self, key: EvidenceKey) -> None:
        """Forget a report."""
        self._evidence_by_key.pop(key)
        self._possible_by_key.pop(key, None)
        digest, victim = key
        target = digest, victim.target_id
        if self._last_by_target.get(target) == victim:
            self._last_by_target.pop(target)

    def expired(self, *, now: Millis) -> tuple[EvidenceKey, ...]:
        """Return the keys of reports older than `SUSPECT_TTL_MS`."""
        keys = []
        for key, evidence in self._evidence_by_key.items():
            if now - evidence.received_at < settings.SUSPECT_TTL_MS:
                break
            keys.append(key)
        return tuple(keys)

    def _prove(self, key: EvidenceKey, evidence: Evidence) -> None:
        evidence.is_proven = True
        self._possible_by_key.pop(key, None)


def drop_older(times: dict[Any, Millis], oldest: float) -> None:
    """Remove the entries of which the time is not after `oldest`."""
    for key, at in tuple(times.items()):
        if at <= oldest:
            times.pop(key)


def report_of(key: EvidenceKey, evidence: Evidence) -> Sighting:
    """Return a report as it is sent to others."""
    digest, victim = key
    if evidence.is_proven:
        return CrashSuspected(digest=digest, victim=victim)
    return CrashPossible(digest=digest, victim=victim)
