"""Records of requests at callers and targets, and of the hosts' stops."""

import dataclasses
import time
from collections import defaultdict
from enum import Enum
from typing import NewType

from chicorybridge.tests.stops.plans import RequestKind

RequestId = NewType('RequestId', str)


class Outcome(Enum):
    """How a request ended for its caller."""

    pending = 'pending'
    answered = 'answered'
    # The connection was closed or reset before the answer's head.
    closed = 'closed'
    reset = 'reset'
    # The connection ended after the head and before the end of the answer.
    truncated = 'truncated'
    # The connection stayed open without a complete answer.
    timed_out = 'timed_out'


@dataclasses.dataclass(kw_only=True, slots=True)
class Exchange:
    """A request and its answer as the caller saw them; times are of `now`."""

    request_id: RequestId
    kind: RequestKind
    host: int
    caller: int
    reused: bool
    body_bytes: int
    answer_bytes: int
    started_at: float
    # Time of the last byte, `None` unless the whole request was sent.
    sent_at: float | None = None
    ended_at: float = 0
    outcome: Outcome = Outcome.pending
    status: int = 0
    # Whether the answer has the signature header of a target.
    from_target: bool = False
    answer_id: str = ''
    answer_crc: int = 0


@dataclasses.dataclass(kw_only=True, slots=True)
class TargetRun:
    """One execution of a request at a target; times are of `now`."""

    target_id: str
    started_at: float
    # `None` until the whole body has been received.
    body_crc: int | None = None
    ended_at: float | None = None
    # Whether the host closed the connection before the answer.
    aborted: bool = False


@dataclasses.dataclass(kw_only=True, slots=True)
class Stop:
    """The planned stop of a host; times are of `now`."""

    signalled_at: float
    exited_at: float | None = None
    exit_status: int | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Pause:
    """Time in which a process did not run; `host` is `None` for the test."""

    started_at: float
    ended_at: float
    host: int | None = None


@dataclasses.dataclass(kw_only=True)
class Record:
    """Everything that callers, targets and the test recorded in a run."""

    grace_s: float
    exchanges: list[Exchange] = dataclasses.field(default_factory=list)
    runs_by_request_id: dict[str, list[TargetRun]] = dataclasses.field(
        default_factory=lambda: defaultdict(list)
    )
    stops_by_host: dict[int, Stop] = dataclasses.field(default_factory=dict)
    pauses: list[Pause] = dataclasses.field(default_factory=list)


def now() -> float:
    """Return the time of a monotonic clock in seconds."""
    return time.monotonic()


def payload(request_id: str, size: int) -> bytes:
    """Return a body of `size` bytes that differs between requests."""
    word = f'{request_id} '.encode()
    return (word * (size // len(word) + 1))[:size]
