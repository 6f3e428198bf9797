"""Refusals of requests, and what callers are told by them."""

from chicorybridge.claims.claim_messages import ClaimDecided
from chicorybridge.common.attempts import Attempt, AttemptOutcome
from chicorybridge.common.errors import ErrorCode, RequestError
from chicorybridge.common.outcomes import COMPLETE_OUTCOMES, RequestOutcome
from chicorybridge.entry.answers import WholeAnswer
from chicorybridge.http.exchanges import Head
from chicorybridge.routing.routes import IDEMPOTENCY_KEY_HEADER


class RefusalError(RequestError):
    """Carry the outcome and the wait besides the code."""

    def __init__(
        self,
        *,
        code: ErrorCode,
        detail: str,
        outcome: RequestOutcome = RequestOutcome.not_run,
        retry_after_ms: float = 0,
    ) -> None:
        """Keep what the caller is told."""
        super().__init__(code=code, detail=detail)
        self.outcome = outcome
        self.retry_after_ms = retry_after_ms


def outcome_unsent(head: Head) -> RequestOutcome:
    """Return the outcome of a request that was refused by its head."""
    if head.header(IDEMPOTENCY_KEY_HEADER) is None:
        return RequestOutcome.not_run
    # An earlier request with the same key may have run.
    return RequestOutcome.unknown


def check_relayed(attempt: Attempt) -> None:
    """Raise `RequestError` if a relayed answer was cut."""
    if attempt.outcome not in COMPLETE_OUTCOMES:
        raise RequestError(
            code=ErrorCode.target_failed, detail='the answer was cut'
        )


def last_answer(
    answer: WholeAnswer | None, attempt: Attempt, outcome: RequestOutcome
) -> WholeAnswer:
    """Return the target's own answer, or raise what the caller is told."""
    if answer is not None and not attempt.marked_not_run:
        # The target's own words on why it did not serve the request.
        return answer
    raise RefusalError(
        code=_code_of(attempt),
        detail='the last attempt ended as {0}'.format(attempt.outcome.value),
        outcome=outcome,
        retry_after_ms=attempt.retry_after_ms or 0,
    )


def _code_of(attempt: Attempt) -> ErrorCode:
    match attempt.outcome:
        case AttemptOutcome.timed_out:
            return ErrorCode.request_timeout
        case AttemptOutcome.shed:
            return ErrorCode.overloaded
        case _:
            return ErrorCode.target_failed


def repeated_answer(decision: ClaimDecided) -> WholeAnswer:
    """Return the answer of the first request, or raise the refusal."""
    if decision.answer is not None:
        return WholeAnswer(
            status=decision.answer.status,
            headers=list(decision.answer.headers),
            body=decision.answer.body,
        )
    refusal = decision.refusal
    if refusal is None:
        raise RequestError(
            code=ErrorCode.claim_unavailable, detail='no decision'
        )
    raise RefusalError(
        code=refusal.code, detail=refusal.value, outcome=refusal.outcome
    )
