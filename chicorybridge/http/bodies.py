"""Request bodies: buffered if small, otherwise streamed."""

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
    """Report that the caller disconnected or violated HTTP."""


class RequestBody:
    """The body of one request, read from its caller at most once.

    `read_ahead` buffers about `buffer_bytes`; a body that ends within them
    is buffered completely and can be sent again.
    """

    def __init__(
        self,
        *,
        exchange: CallerExchange,
        head: Head,
        max_bytes: int,
        clock: Clock,
        buffer_bytes: int = settings.BODY_BUFFER_BYTES,
    ) -> None:
        """Read the body of `head` from `exchange`.

        Raise `RequestError` if its declared length exceeds `max_bytes`.
        """
        self._buffer_bytes = buffer_bytes
        self._exchange = exchange
        self._max_bytes = max_bytes
        self._clock = clock
        self._chunks: list[bytes] = []
        self._received = 0
        self.ended = head.length == 0
        self._is_streamed = False
        # Time spent so far on waiting for chunks from the caller.
        self.wait_ms: float = 0
        self.waiting_for_caller = False
        if head.length is not None and head.length > max_bytes:
            raise _too_large(max_bytes)

    @property
    def buffered(self) -> bytes | None:
        """Return the body if all of it was read ahead, else `None`.

        A body of which `next_chunk` has returned a part can't be sent again.
        """
        if self._is_streamed or not self.ended:
            return None
        return b''.join(self._chunks)

    async def read_ahead(self) -> None:
        """Read chunks until the body ends or the buffer is full."""
        while not self.ended and self._received < self._buffer_bytes:
            chunk = await self._read()
            if chunk:
                self._chunks.append(chunk)

    async def next_chunk(self) -> bytes:
        """Return the next chunk, buffered ones first; empty at the end."""
        self._is_streamed = True
        if self._chunks:
            return self._chunks.pop(0)
        if self.ended:
            return b''
        return await self._read()

    async def _read(self) -> bytes:
        started_at = self._clock.now()
        self.waiting_for_caller = True
        try:
            chunk = await self._exchange.read_chunk()
        except ExchangeError as error:
            raise CallerError(code=error.code, detail=error.detail) from error
        self.waiting_for_caller = False
        self.wait_ms += self._clock.now() - started_at
        self._received += len(chunk)
        self.ended = not chunk
        if self._received > self._max_bytes:
            raise _too_large(self._max_bytes)
        return chunk


def _too_large(max_bytes: int) -> RequestError:
    return RequestError(
        code=ErrorCode.request_too_large,
        detail=f'request body exceeds the limit of {max_bytes} bytes',
    )
