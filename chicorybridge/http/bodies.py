"""Bodies of requests: whole when small, else streamed."""

from chicorybridge import settings
from chicorybridge.common.clocks import Clock
from chicorybridge.common.errors import (
    ChicorybridgeError,
    ErrorCode,
    RequestError,
)
from chicorybridge.http.caller_exchanges import CallerExchange
from chicorybridge.http.exchanges import ExchangeError, Head


class CallerError(ChicorybridgeError):
    """Report that the caller went away or broke the protocol."""


class RequestBody:
    """The body of one request, read from its caller at most once.

    Up to `buffer_bytes` are read ahead; if that is all, the body is
    whole and can be sent again.
    """

    def __init__(
        self,
        *,
        exchange: CallerExchange,
        head: Head,
        limit: int,
        clock: Clock,
        buffer_bytes: int = settings.BODY_BUFFER_BYTES,
    ) -> None:
        """Read from `exchange`; `limit` bounds the body in bytes."""
        self._buffer_bytes = buffer_bytes
        self._exchange = exchange
        self._limit = limit
        self._clock = clock
        self._ahead: list[bytes] = []
        self._received = 0
        self.ended = head.length == 0
        # How long this process has waited for the caller so far.
        self.wait_ms: float = 0
        self.waiting = False
        if head.length is not None and head.length > limit:
            raise _too_large(limit)

    @property
    def whole(self) -> bytes | None:
        """Return the body if all of it was read ahead."""
        return b''.join(self._ahead) if self.ended else None

    async def read_ahead(self) -> None:
        """Read until the end or until the buffer is full."""
        while not self.ended and self._received < self._buffer_bytes:
            chunk = await self._read()
            if chunk:
                self._ahead.append(chunk)

    async def next_chunk(self) -> bytes:
        """Return the next chunk of a streamed body, empty at the end."""
        if self._ahead:
            return self._ahead.pop(0)
        if self.ended:
            return b''
        return await self._read()

    async def _read(self) -> bytes:
        began = self._clock.now()
        self.waiting = True
        try:
            chunk = await self._exchange.read_chunk()
        except ExchangeError as error:
            raise CallerError(code=error.code, detail=error.detail) from error
        self.waiting = False
        self.wait_ms += self._clock.now() - began
        self._received += len(chunk)
        self.ended = not chunk
        if self._received > self._limit:
            raise _too_large(self._limit)
        return chunk


def _too_large(limit: int) -> RequestError:
    return RequestError(
        code=ErrorCode.request_too_large,
        detail=f'the body has more than {limit} bytes',
    )
