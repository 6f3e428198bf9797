"""Heads of requests to targets and of answers to callers."""

import dataclasses

from chicorybridge.attempts import AttemptOutcome
from chicorybridge.calls import DEADLINE_HEADER, Call
from chicorybridge.clocks import MILLIS_PER_SECOND, Millis
from chicorybridge.exchanges import (
    CHUNKED,
    CONTENT_LENGTH,
    Head,
    Headers,
    forwarded,
)
from chicorybridge.problems import OUTCOME, RETRY_AFTER, VERSION

DRAINING = b'chicorybridge-draining'
NOT_RUN = b'not-run'
COMPLETE = b'complete'
SHED_STATUSES = frozenset((429, 503))
SERVER_ERROR_STATUS = 500

OWN_ANSWER_HEADERS = frozenset((OUTCOME, VERSION, DRAINING))
OWN_REQUEST_HEADERS = frozenset((DEADLINE_HEADER, CONTENT_LENGTH))


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class WholeAnswer:
    """An answer read to its end and not yet sent to the caller."""

    status: int
    headers: Headers
    body: bytes


def request_headers(call: Call, body: bytes | None, *, now: Millis) -> Headers:
    """Return the headers for the target; `body` if it is sent whole."""
    headers = [
        pair
        for pair in forwarded(call.head.headers)
        if pair[0] not in OWN_REQUEST_HEADERS
    ]
    left_ms = max(0, round(call.deadline_at - now))
    headers.append((DEADLINE_HEADER, str(left_ms).encode()))
    length = call.head.length if body is None else len(body)
    if length is None:
        headers.append(CHUNKED)
    elif length or call.head.header(CONTENT_LENGTH):
        headers.append((CONTENT_LENGTH, str(length).encode()))
    return headers


def answer_headers(call: Call, head: Head) -> Headers:
    """Return the headers of a target's answer for the caller."""
    headers = [
        pair
        for pair in forwarded(head.headers)
        if pair[0] not in OWN_ANSWER_HEADERS
    ]
    version = str(call.configuration.version).encode()
    headers.append((OUTCOME, COMPLETE))
    headers.append((VERSION, version))
    return headers


def whole_answer(call: Call, head: Head, body: bytes) -> WholeAnswer:
    """Return an answer with its length told."""
    headers = answer_headers(call, head)
    if head.length is None:
        headers.append((CONTENT_LENGTH, str(len(body)).encode()))
    return WholeAnswer(status=head.status, headers=headers, body=body)


def outcome_of_answer(head: Head, *, idempotent: bool) -> AttemptOutcome:
    """Tell shedding from failing from answering."""
    if is_not_run(head):
        return AttemptOutcome.shed
    retry_after = head.header(RETRY_AFTER)
    if head.status in SHED_STATUSES and retry_after and idempotent:
        return AttemptOutcome.shed
    if head.status >= SERVER_ERROR_STATUS:
        return AttemptOutcome.failed
    return AttemptOutcome.answered


def is_not_run(head: Head | None) -> bool:
    """Return whether the target says that it ran nothing."""
    return head is not None and head.header(OUTCOME) == NOT_RUN


def is_draining(head: Head | None) -> bool:
    """Return whether the target says that it is leaving."""
    return head is not None and head.header(DRAINING) == b'true'


def retry_after_ms(head: Head | None) -> float | None:
    """Return what Retry-After asks for, in milliseconds."""
    text = head.header(RETRY_AFTER) if head else None
    if text is None or not text.isdigit():
        return None
    return int(text) * MILLIS_PER_SECOND
