"""What callers and targets saw of each request, and hosts of signals."""

import dataclasses
import time
from collections import defaultdict
from enum import Enum
from typing import NewType

from chicorybridge.tests.stops.plans import Kind

RequestId = NewType('RequestId', str)


class Ending(Enum):
    """How a request ended for its caller."""

    open = 'open'
    answered = 'answered'
    # The connection ended before any byte of an answer, or within one.
    closed = 'closed'
    reset = 'reset'
    cut = 'cut'
    # The connection stayed open without an answer.
    silent = 'silent'


@dataclasses.dataclass(kw_only=True, slots=True)
class Story:
    """A request as its caller saw it; times are of `now`."""

    request_id: RequestId
    kind: Kind
    host: int
    caller: int
    reused: bool
    body_bytes: int
    answer_bytes: int
    began_at: float
    # When the last byte was sent, if it was.
    sent_at: float | None = None
    ended_at: float = 0
    ending: Ending = Ending.open
    status: int = 0
    signed: bool = False
    answered_id: str = ''
    answer_crc: int = 0


@dataclasses.dataclass(kw_only=True, slots=True)
class TargetRun:
    """A request as a target saw it."""

    target_id: str
    began_at: float
    # `None` until the whole body has come.
    body_crc: int | None = None
    ended_at: float | None = None
    # Whether the host closed the connection before the answer.
    cut: bool = False


@dataclasses.dataclass(kw_only=True, slots=True)
class Stop:
    """The planned stop of a host."""

    told_at: float
    exited_at: float | None = None
    status: int | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Span:
    """Time in which a process did not run; `host` is `None` for ours."""

    began_at: float
    ended_at: float
    host: int | None = None


@dataclasses.dataclass(kw_only=True)
class Record:
    """All that was seen in a run."""

    grace_s: float
    stories: list[Story] = dataclasses.field(default_factory=list)
    runs_by_id: dict[str, list[TargetRun]] = dataclasses.field(
        default_factory=lambda: defaultdict(list)
    )
    stops_by_host: dict[int, Stop] = dataclasses.field(default_factory=dict)
    pauses: list[Span] = dataclasses.field(default_factory=list)


def now() -> float:
    """Return the seconds of a clock that never goes back."""
    return time.monotonic()


def payload(request_id: str, size: int) -> bytes:
    """Return the body that belongs to a request."""
    word = f'{request_id} '.encode()
    return (word * (size // len(word) + 1))[:size]
