"""Limits on the size and the time of requests from callers."""

import dataclasses

from chicorybridge import settings
from chicorybridge.common.codecs import wire


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CallerLimits:
    """Limits on requests and on connections from callers.

    `max_head_bytes` and `max_body_bytes` limit the size of a request. A
    request head must arrive within `head_timeout_ms` of its first byte; a
    connection may be idle for `idle_timeout_ms` between requests.
    """

    max_head_bytes: int = settings.MAX_HEAD_BYTES
    max_body_bytes: int = settings.MAX_BODY_BYTES
    head_timeout_ms: int = settings.CALLER_HEAD_TIMEOUT_MS
    idle_timeout_ms: int = settings.CALLER_IDLE_TIMEOUT_MS
