"""Answers to refused requests: problem documents (RFC 9457)."""

import json
import math
from collections.abc import Mapping
from types import MappingProxyType

from chicorybridge.common.clocks import MILLIS_PER_SECOND
from chicorybridge.common.errors import ErrorCode
from chicorybridge.http.exchanges import Headers

STATUSES_BY_CODE: Mapping[ErrorCode, int] = MappingProxyType(
    {
        ErrorCode.request_malformed: 400,
        ErrorCode.request_too_large: 413,
        ErrorCode.request_timeout: 504,
        ErrorCode.route_unknown: 404,
        ErrorCode.workspace_unknown: 403,
        ErrorCode.no_target: 503,
        ErrorCode.target_failed: 502,
        ErrorCode.overloaded: 503,
        ErrorCode.no_configuration: 503,
        ErrorCode.workspace_limit: 429,
        ErrorCode.request_quarantined: 503,
        ErrorCode.key_conflict: 422,
        ErrorCode.claim_unavailable: 503,
        ErrorCode.host_leaving: 503,
        ErrorCode.body_timeout: 408,
        ErrorCode.host_cut_off: 503,
        ErrorCode.host_failed: 503,
        ErrorCode.key_rejected: 401,
        ErrorCode.quota_unknown: 503,
    }
)

FALLBACK_STATUS = 500

OUTCOME_HEADER = b'chicorybridge-outcome'
VERSION_HEADER = b'chicorybridge-version'
RETRY_AFTER_HEADER = b'retry-after'


def status_for(code: ErrorCode) -> int:
    """Return the HTTP status of the answer for an error code."""
    return STATUSES_BY_CODE.get(code, FALLBACK_STATUS)


def problem_body(*, code: ErrorCode, detail: str) -> bytes:
    """Return a problem document as JSON."""
    document = {
        'type': f'urn:chicorybridge:{code.name}',
        'title': code.name.replace('_', ' '),
        'status': status_for(code),
        'code': code.value,
        'detail': detail,
    }
    return json.dumps(document).encode()


def problem_headers(
    *, body: bytes, retry_after_ms: float = 0, fractional: bool = False
) -> Headers:
    """Return the headers of an answer whose body is a problem document.

    `Retry-After` is left out if `retry_after_ms` is 0. Its seconds are
    rounded up to an integer, as HTTP requires, unless `fractional`.
    """
    headers = [
        (b'content-type', b'application/problem+json'),
        (b'content-length', str(len(body)).encode()),
    ]
    if retry_after_ms:
        seconds = retry_after_ms / MILLIS_PER_SECOND
        if not fractional:
            seconds = math.ceil(seconds)
        retry_after = str(round(seconds, 3))
        headers.append((RETRY_AFTER_HEADER, retry_after.encode()))
    return headers
