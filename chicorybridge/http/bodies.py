"""Request bodies: buffered if small, otherwise streamed."""

import socket

from chicorybridge import settings
from chicorybridge.common import sockets
from chicorybridge.common.clocks import Clock
from chicorybridge.common.errors import (
    ChicorybridgeError,
    ErrorCode,
    RequestError,
)
from chicorybridge.http import settings as http_settings
from chicorybridge.http.byte_budgets import HeldKind
from chicorybridge.http.caller_exchanges import CallerExchange
from chicorybridge.http.chunk_buffers import ChunkBuffer
from chicorybridge.http.exchanges import ExchangeError, Head


class CallerError(ChicorybridgeError):
    """Report that the caller disconnected or violated HTTP."""


class RequestBody:
    """The body of one request, read from its caller at most once.

    `read_ahead` buffers about `buffer_bytes`; a body that ends within them
    is buffered completely and can be sent again. What is held for the request
    counts towards the budget of its connection until `close`.
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
        self._chunks = ChunkBuffer()
        self._received = 0
        self.ended = head.length == 0
        self._is_streamed = False
        # Time spent so far on waiting for chunks from the caller.
        self.wait_ms: float = 0
        self.waiting_for_caller = False
        # Whether the request was evicted, and whether its body had stopped.
        self.is_evicted = False
        self._has_stopped = False
        if head.length is not None and head.length > max_bytes:
            raise _too_large(max_bytes)
        self._fixed_bytes = _fixed_bytes(head)
        # What the parser of chunks, or a wait for the next one, may hold.
        self._unread_bytes = 0
        if head.length is None:
            self._unread_bytes = settings.RECEIVE_BYTES
        self._holding = exchange.budget.open(
            kind=HeldKind.body, evict=self._evict
        )
        self._holding.set_bytes(self._fixed_bytes)

    @property
    def buffered(self) -> bytes | None:
        """Return the body if all of it was read ahead, else `None`.

        A body of which `next_chunk` has returned a part can't be sent again.
        """
        if self._is_streamed or not self.ended:
            return None
        return self._chunks.joined()

    def check_held(self) -> None:
        """Raise `RequestError` if the body was dropped before it was sent."""
        if self.is_evicted:
            raise _evicted(is_stopped=self._has_stopped)

    def close(self) -> None:
        """Count nothing for this request any more."""
        self._holding.close()

    async def read_ahead(self) -> None:
        """Read chunks until the body ends or the buffer is full.

        Raise `RequestError` if the body is evicted meanwhile.
        """
        self.check_held()
        while not self.ended and self._received < self._buffer_bytes:
            chunk = await self._read()
            if chunk:
                self._chunks.append(chunk)
                self._count_held()
                self.check_held()
        self._holding.kind = HeldKind.waiting
        # The kernel and the task that sends the rest hold the next bytes.
        self._unread_bytes = (
            settings.RECEIVE_BYTES + http_settings.KERNEL_RECEIVE_BYTES
        )
        self._count_held()
        self.check_held()

    def start_sending(self) -> None:
        """Note that the request is sent to a target."""
        self._holding.kind = HeldKind.running if self.ended else HeldKind.upload
        self._holding.touch()

    async def next_chunk(self) -> bytes:
        """Return the next chunk, buffered ones first; empty at the end."""
        self._is_streamed = True
        if self._chunks.count:
            chunk = self._chunks.pop_first()
            self._count_held()
            return chunk
        if self.ended:
            return b''
        chunk = await self._read()
        if self.ended:
            self._holding.kind = HeldKind.running
        return chunk

    async def _read(self) -> bytes:
        started_at = self._clock.now()
        self.waiting_for_caller = True
        try:
            chunk = await self._exchange.read_chunk()
        except ExchangeError as error:
            self.check_held()
            raise CallerError(code=error.code, detail=error.detail) from error
        self.waiting_for_caller = False
        read_at = self._clock.now()
        self.wait_ms += read_at - started_at
        self._holding.progress_at = read_at
        self._received += len(chunk)
        self.ended = not chunk
        if self._received > self._max_bytes:
            raise _too_large(self._max_bytes)
        return chunk

    def _count_held(self) -> None:
        unread_bytes = 0 if self.ended else self._unread_bytes
        self._holding.set_bytes(
            self._fixed_bytes + unread_bytes + self._chunks.count
        )

    def _evict(self) -> bool:
        """Drop the body, or close the connection once a target has it."""
        if self._holding.kind in {HeldKind.running, HeldKind.upload}:
            sockets.shut_down(self._exchange.sock, socket.SHUT_RDWR)
            return True
        waited_ms = self._clock.now() - self._holding.progress_at
        is_stopped = waited_ms > http_settings.STOPPED_MS
        is_read = self._holding.kind is HeldKind.body
        self.is_evicted = True
        self._has_stopped = is_read and is_stopped
        self._chunks.clear()
        if is_read:
            # Ends the read that waits for the caller.
            sockets.shut_down(self._exchange.sock, socket.SHUT_RD)
        return True


def _fixed_bytes(head: Head) -> int:
    """Return about what a request takes beside its body."""
    text_bytes = sum(len(name) + len(text) for name, text in head.headers)
    return (
        http_settings.REQUEST_BYTES
        + len(head.headers) * http_settings.HEADER_BYTES
        + len(head.path)
        + text_bytes
    )


def _evicted(*, is_stopped: bool) -> RequestError:
    if is_stopped:
        return RequestError(
            code=ErrorCode.body_timeout,
            detail='the request body stopped while this host was short of '
            'memory',
        )
    return RequestError(
        code=ErrorCode.overloaded,
        detail='this host is short of memory',
    )


def _too_large(max_bytes: int) -> RequestError:
    return RequestError(
        code=ErrorCode.request_too_large,
        detail=f'request body exceeds the limit of {max_bytes} bytes',
    )
