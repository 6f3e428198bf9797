"""The final answer to a caller: that of a target or a refusal."""

from chicorybridge import settings
from chicorybridge.common.attempts import Attempt, AttemptOutcome
from chicorybridge.common.errors import ErrorCode, RequestError
from chicorybridge.common.outcomes import RequestOutcome
from chicorybridge.entry.answers import NOT_RUN_STATUSES, BufferedAnswer
from chicorybridge.entry.attempt_runners import AttemptRunner
from chicorybridge.entry.calls import Call
from chicorybridge.entry.refusals import RefusalError
from chicorybridge.http.problems import status_for


def error_for_outcome(
    error: RequestError, outcome: RequestOutcome
) -> RequestError:
    """Replace an error whose status falsely says the request did not run."""
    denies_run = status_for(error.code) in NOT_RUN_STATUSES
    if not denies_run or outcome is RequestOutcome.not_run:
        return error
    return RequestError(code=ErrorCode.target_failed, detail=error.detail)


def is_final(runner: AttemptRunner, attempt: Attempt) -> bool:
    """Return whether the answer of a target makes a retry unnecessary.

    Its status is below 500 and does not say that the request was not run.
    """
    if attempt.outcome is not AttemptOutcome.answered:
        return False
    answer = runner.answer
    return answer is not None and answer.status not in NOT_RUN_STATUSES


def last_answer(call: Call, runner: AttemptRunner | None) -> BufferedAnswer:
    """Return the last target's answer, or raise the error for the caller."""
    attempt = call.attempts[-1]
    if call.outcome is RequestOutcome.not_run:
        raise RefusalError(
            code=ErrorCode.overloaded,
            detail='no target took the request',
            # Other targets may have room before the last one has.
            retry_after_ms=min(
                attempt.retry_after_ms or 0, settings.OVERLOADED_RETRY_AFTER_MS
            ),
        )
    answer = runner.answer if runner else None
    if answer is not None and answer.status not in NOT_RUN_STATUSES:
        return answer
    code = ErrorCode.target_failed
    if attempt.outcome is AttemptOutcome.timed_out:
        code = ErrorCode.request_timeout
    raise RefusalError(
        code=code,
        detail='the last attempt ended as {0}'.format(attempt.outcome.value),
        outcome=call.outcome,
    )
