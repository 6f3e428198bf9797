"""Refusals of requests, and the last answer or error for the caller."""

from collections.abc import Mapping
from types import MappingProxyType
from typing import TYPE_CHECKING, Any

import dataclasses

from chicorybridge.common.attempts import Attempt, AttemptOutcome
from chicorybridge.common.errors import ErrorCode, RequestError
from chicorybridge.common.outcomes import COMPLETE_OUTCOMES, RequestOutcome
from chicorybridge.entry.answers import BufferedAnswer
from chicorybridge.http.exchanges import Head
from chicorybridge.routing.routes import IDEMPOTENCY_KEY_HEADER

if TYPE_CHECKING:
    # Hosts use no claims; importing them would delay their start.
    from chicorybridge.claims.claim_messages import ClaimDecided


NO_FACTS: Mapping[str, Any] = MappingProxyType({})


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class EarlyRefusal:
    """What decided that a request was refused before its time had run out.

    `work_ahead_ms` is the expected work that went before it, `slots` what the
    zone used of the service, `admitted` the least urgent rank that was
    admitted, `inputs_age_ms` the age of the oldest report of other hosts.
    """

    service: str
    rank: str
    admitted: str
    work_ahead_ms: int
    slots: float
    inputs_age_ms: int


class RefusalError(RequestError):
    """Report a refused request with its outcome and Retry-After time."""

    def __init__(
        self,
        *,
        code: ErrorCode,
        detail: str,
        outcome: RequestOutcome = RequestOutcome.not_run,
        retry_after_ms: float = 0,
        facts: Mapping[str, Any] = NO_FACTS,
        early: EarlyRefusal | None = None,
    ) -> None:
        """Keep what is sent to the caller; `facts` and `early` are logged.

        There is no Retry-After header if `retry_after_ms` is 0.
        """
        self.facts = facts
        super().__init__(code=code, detail=detail)
        self.outcome = outcome
        self.retry_after_ms = retry_after_ms
        self.early = early


def outcome_before_attempts(head: Head) -> RequestOutcome:
    """Return the outcome of a request refused before any attempt."""
    if head.header(IDEMPOTENCY_KEY_HEADER) is None:
        return RequestOutcome.not_run
    # An earlier request with the same key may have run.
    return RequestOutcome.unknown


def check_streamed(attempt: Attempt) -> None:
    """Raise `RequestError` if a streamed answer is incomplete."""
    if attempt.outcome not in COMPLETE_OUTCOMES:
        raise RequestError(
            code=ErrorCode.target_failed,
            detail='the streamed answer is incomplete',
        )


def last_answer(
    answer: BufferedAnswer | None, attempt: Attempt, outcome: RequestOutcome
) -> BufferedAnswer:
    """Return the target's last answer, or raise the error for the caller."""
    if answer is not None and not attempt.marked_not_run:
        # The answer itself gives the reason why the request was not served.
        return answer
    raise RefusalError(
        code=_error_code(attempt),
        detail='the last attempt ended with outcome {0}'.format(
            attempt.outcome.value
        ),
        outcome=outcome,
        retry_after_ms=attempt.retry_after_ms or 0,
    )


def _error_code(attempt: Attempt) -> ErrorCode:
    match attempt.outcome:
        case AttemptOutcome.timed_out:
            return ErrorCode.request_timeout
        case AttemptOutcome.shed:
            return ErrorCode.overloaded
        case _:
            return ErrorCode.target_failed


def replayed_answer(decision: 'ClaimDecided') -> BufferedAnswer:
    """Return the stored answer of the first request with the same key.

    Raise the refusal if there is no stored answer.
    """
    if decision.answer is not None:
        return BufferedAnswer(
            status=decision.answer.status,
            headers=list(decision.answer.headers),
            body=decision.answer.body,
        )
    refusal = decision.refusal
    if refusal is None:
        raise RequestError(
            code=ErrorCode.claim_unavailable,
            detail='the claim has neither an answer nor a refusal',
        )
    raise RefusalError(
        code=refusal.code, detail=refusal.value, outcome=refusal.outcome
    )
