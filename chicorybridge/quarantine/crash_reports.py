"""Messages between processes about requests that may crash targets."""

import dataclasses
from collections.abc import Iterable, Iterator
from typing import TypeAlias

from chicorybridge.common.codecs import wire
from chicorybridge.common.identities import Digest, TargetId


class CrashMessage:
    """A message between processes about requests that may crash targets."""

    __slots__ = ()


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Victim:
    """A target that crashed; a later crash has a higher `crash_number`.

    The number is at least the time at which the target started, if known.
    """

    target_id: TargetId
    crash_number: int = 0


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CrashSuspected(CrashMessage):
    """Report that a target crashed while it ran a request."""

    digest: Digest
    victim: Victim


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CrashPossible(CrashMessage):
    """Report that a target broke off a request, and accepts connections.

    It may have restarted, or another one may have its address.
    """

    digest: Digest
    victim: Victim


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SuspectCleared(CrashMessage):
    """Report that a suspect got a complete answer from a target."""

    digest: Digest


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SuspectRenewed(CrashMessage):
    """Report that a blamed request came again."""

    digest: Digest


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SuspectsKnown(CrashMessage):
    """Tell a host that has started which reports were sent before."""

    reports: tuple[CrashSuspected, ...]


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SuspectsShared(CrashMessage):
    """Tell a host the reports on requests with several victims."""

    suspected: tuple[CrashSuspected, ...]
    possible: tuple[CrashPossible, ...]


# A report that a target ended, or may have ended, under a request.
Sighting: TypeAlias = CrashSuspected | CrashPossible
CrashReport: TypeAlias = Sighting | SuspectCleared | SuspectRenewed


def split_reports(reports: Iterable[Sighting]) -> SuspectsShared:
    """Return reports as one message."""
    known = tuple(reports)
    return SuspectsShared(
        suspected=tuple(_of_kind(known, CrashSuspected)),
        possible=tuple(_of_kind(known, CrashPossible)),
    )


def _of_kind(reports: Iterable[Sighting], kind: type) -> Iterator:
    return (report for report in reports if isinstance(report, kind))
