"""What one attempt of a request at a target came to."""

import dataclasses
from enum import Enum

from chicorybridge.common.clocks import Millis
from chicorybridge.common.codecs import wire
from chicorybridge.common.identities import RouteId, ServiceId, TargetId


@wire
class AttemptOutcome(Enum):
    """How an attempt ended, seen from the entry process."""

    # A whole answer with a status below 500 that is not shedding.
    answered = 'answered'
    # A whole answer with a status of 500 or more that is not shedding.
    failed = 'failed'
    # The target sheds load: the answer has `Chicorybridge-Outcome: not-run`
    # or, to an idempotent request, is a 503 or 429 with `Retry-After`.
    shed = 'shed'
    # No connection was opened: nothing was sent.
    unreachable = 'unreachable'
    # The connection ended, or broke the protocol, before the whole answer.
    cut = 'cut'
    # No whole answer within the deadline.
    timed_out = 'timed_out'
    # The caller went away first; says nothing about the target.
    cancelled = 'cancelled'


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Attempt:
    """One finished attempt.

    `first_byte_ms` runs from sending to the head of the answer, `None`
    without one; `elapsed_ms` to the end. `retry_after_ms` is what a
    shedding target asked for. `leaving` is set when the target signalled
    that it drains (`Chicorybridge-Draining: true`).
    """

    service_id: ServiceId
    target_id: TargetId
    route_id: RouteId
    outcome: AttemptOutcome
    started_at: Millis
    elapsed_ms: float
    first_byte_ms: float | None = None
    retry_after_ms: float | None = None
    sent_bytes: int = 0
    received_bytes: int = 0
    new_connection: bool = False
    leaving: bool = False
    marked_not_run: bool = False
