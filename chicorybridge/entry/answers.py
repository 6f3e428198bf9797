"""Headers of forwarded requests and answers; classification of answers."""

import dataclasses
import math

from chicorybridge.common.attempts import Attempt, AttemptOutcome
from chicorybridge.common.clocks import MILLIS_PER_SECOND, Millis
from chicorybridge.common.identities import TargetId
from chicorybridge.entry.calls import Call
from chicorybridge.http.dialects import SHED_STATUSES, Dialect
from chicorybridge.http.exchanges import (
    CHUNKED_HEADER,
    CONTENT_LENGTH,
    Head,
    Headers,
    end_to_end_headers,
    parse_decimal,
)
from chicorybridge.http.problems import (
    OUTCOME_HEADER,
    RETRY_AFTER_HEADER,
    VERSION_HEADER,
)

COMPLETE_MARK = b'complete'
MIN_REDIRECT_STATUS = 300
MIN_ERROR_STATUS = 400
MIN_SERVER_ERROR_STATUS = 500
CONTENT_ENCODING = b'content-encoding'

# Statuses that callers take to mean that the request was not run.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))

# Headers that the proxy sets itself; dropped from answers of targets.
PROXY_ANSWER_HEADERS = frozenset((OUTCOME_HEADER, VERSION_HEADER))


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class BufferedAnswer:
    """A complete answer held in memory until it is sent to the caller."""

    status: int
    headers: Headers
    body: bytes


def request_headers(
    call: Call, body: bytes | None, *, target_id: TargetId, now: Millis
) -> Headers:
    """Return the headers of the request to the target.

    `body` is the complete body, or `None` if the body is streamed.
    """
    dialect = call.dialect
    replaced: tuple[bytes | None, ...] = (
        dialect.deadline,
        dialect.target,
        CONTENT_LENGTH,
    )
    if call.is_keyed:
        replaced = (*replaced, dialect.key, dialect.workspace)
    headers = [
        pair
        for pair in end_to_end_headers(call.head.headers)
        if pair[0] not in replaced
    ]
    remaining_ms = max(0, round(call.deadline_at - now))
    headers.append((dialect.deadline, str(remaining_ms).encode()))
    if dialect.target is not None:
        headers.append((dialect.target, target_id.encode()))
    if call.caller_workspace is not None and dialect.workspace is not None:
        workspace_id = call.caller_workspace.workspace_id
        headers.append((dialect.workspace, workspace_id.encode()))
    length = call.head.length if body is None else len(body)
    if length is None:
        headers.append(CHUNKED_HEADER)
    elif length or call.head.header(CONTENT_LENGTH):
        headers.append((CONTENT_LENGTH, str(length).encode()))
    return headers


def answer_headers(call: Call, head: Head) -> Headers:
    """Return the headers of a target's answer as sent to the caller."""
    dropped = set(PROXY_ANSWER_HEADERS)
    if call.dialect.sends_outcome:
        dropped.add(call.dialect.draining or b'')
    headers = [
        pair
        for pair in end_to_end_headers(head.headers)
        if pair[0] not in dropped
    ]
    if not call.dialect.sends_outcome:
        return headers
    version = str(call.configuration.version).encode()
    headers.append((OUTCOME_HEADER, COMPLETE_MARK))
    headers.append((VERSION_HEADER, version))
    return headers


def buffered_answer(call: Call, head: Head, body: bytes) -> BufferedAnswer:
    """Return a complete answer for the caller; add a missing length."""
    headers = answer_headers(call, head)
    if head.length is None:
        headers.append((CONTENT_LENGTH, str(len(body)).encode()))
    return BufferedAnswer(status=head.status, headers=headers, body=body)


def classify_answer(call: Call, head: Head) -> AttemptOutcome:
    """Return whether the target answered, failed or shed the request."""
    if call.dialect.is_not_run(head):
        return AttemptOutcome.shed
    retry_after = head.header(RETRY_AFTER_HEADER)
    if head.status in SHED_STATUSES and retry_after and call.idempotent:
        return AttemptOutcome.shed
    if head.status >= MIN_SERVER_ERROR_STATUS:
        return AttemptOutcome.failed
    return AttemptOutcome.answered


def may_be_streamed(call: Call, head: Head) -> bool:
    """Return whether an answer may be streamed before it is complete.

    Other answers may be replaced by a retry or by an error answer, so
    nothing of them may be sent to the caller early.
    """
    if classify_answer(call, head) is not AttemptOutcome.answered:
        return False
    return head.status not in NOT_RUN_STATUSES


def is_from_target(dialect: Dialect, head: Head) -> bool:
    """Return whether a successful answer was made by the target itself.

    It must carry the signature header of the dialect, if there is one, and
    no Content-Encoding: requests are expected to ask for unencoded bodies,
    so an encoded one was made by an intermediary. Answers with a status of
    300 or above are not checked.
    """
    if dialect.signature is None or head.status >= MIN_REDIRECT_STATUS:
        return True
    if head.header(CONTENT_ENCODING) is not None:
        return False
    return head.header(dialect.signature) is not None


def proves_survival(call: Call, attempt: Attempt, head: Head | None) -> bool:
    """Return whether an answer proves that a target survives a request.

    It is surely the target's own success to this very request; of one whose
    body was not held in memory only the length is known.
    """
    if attempt.outcome is not AttemptOutcome.answered or head is None:
        return False
    if head.status >= MIN_ERROR_STATUS or call.body.buffered is None:
        return False
    return call.dialect.is_surely_own(head, call.head)


def says_leaving(call: Call, head: Head | None) -> bool:
    """Return whether the target of a call surely says that it is leaving."""
    dialect = call.dialect
    is_own = dialect.is_surely_own(head, call.head)
    return is_own and dialect.is_draining(head)


def named_rate(call: Call, head: Head | None) -> float | None:
    """Return the requests a second that the target of a call surely takes.

    From all hosts together; infinite if a success names no limit, `None`
    if the answer doesn't tell.
    """
    dialect = call.dialect
    if head is None or dialect.limit is None:
        return None
    if not dialect.is_surely_own(head, call.head):
        return None
    limits = head.values_of(dialect.limit)
    if not limits:
        is_success = head.status < MIN_REDIRECT_STATUS
        return math.inf if is_success else None
    return parse_decimal(limits[0]) if len(limits) == 1 else None


def retry_after_ms(call: Call, head: Head | None) -> float | None:
    """Return how long the target of a call surely asks to be left alone.

    In milliseconds; `None` if it does not.
    """
    if head is None or head.status not in SHED_STATUSES:
        return None
    if not call.dialect.is_surely_own(head, call.head):
        return None
    seconds = parse_decimal(head.header(RETRY_AFTER_HEADER))
    return None if seconds is None else seconds * MILLIS_PER_SECOND
