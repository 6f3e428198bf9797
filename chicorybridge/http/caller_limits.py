"""What callers may send and how long they may take."""

import dataclasses

from chicorybridge import settings
from chicorybridge.common.codecs import wire


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CallerLimits:
    """Bounds of the head and the body, in bytes, and of times.

    A head takes at most `head_ms`; a connection is idle for at most
    `idle_ms` between requests.
    """

    head_bytes: int = settings.MAX_HEAD_BYTES
    body_bytes: int = settings.MAX_BODY_BYTES
    head_ms: int = settings.CALLER_HEAD_TIMEOUT_MS
    idle_ms: int = settings.CALLER_IDLE_TIMEOUT_MS
