"""Outcomes of single attempts of a request at a target."""

import dataclasses
from enum import Enum

from chicorybridge.common.clocks import Millis
from chicorybridge.common.codecs import wire
from chicorybridge.common.identities import RouteId, ServiceId, TargetId


@wire
class AttemptOutcome(Enum):
    """How an attempt ended, as seen by the process that made it."""

    # A complete answer with a status below 500 that does not shed load.
    answered = 'answered'
    # A complete answer with a status from 500 that does not shed load.
    failed = 'failed'
    # The target shed the request: the answer has the header
    # `Chicorybridge-Outcome: not-run` or, for an idempotent request, is a
    # 503 or 429 with `Retry-After`.
    shed = 'shed'
    # No connection could be opened, so nothing was sent.
    unreachable = 'unreachable'
    # The connection ended, or violated the protocol, before the answer was
    # complete.
    cut = 'cut'
    # No complete answer before the deadline.
    timed_out = 'timed_out'
    # Nothing was sent, since the target must not get requests any more.
    withheld = 'withheld'
    # The caller disconnected first; this says nothing about the target.
    cancelled = 'cancelled'


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Attempt:
    """One finished attempt.

    `first_byte_ms` is the time from sending to the head of the answer,
    `None` without one; `elapsed_ms` is the time to the end.
    `retry_after_ms` is the wait that a shedding target requested. `leaving`
    means that the target announced its drain with the header
    `Chicorybridge-Draining: true`, `marked_not_run` that its answer had the
    header `Chicorybridge-Outcome: not-run`.
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
