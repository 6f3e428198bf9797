"""The parts of an HTTP/1.1 exchange that both sides share, on h11."""

import dataclasses
import re
import socket
from typing import Any, TypeAlias

import curio
import h11

from chicorybridge import settings
from chicorybridge.common import sockets
from chicorybridge.common.clocks import Clock, Millis
from chicorybridge.common.errors import ChicorybridgeError, ErrorCode
from chicorybridge.http import settings as http_settings
from chicorybridge.http.byte_budgets import UNLIMITED, ByteBudget, HeldKind

# Pairs of name and value; h11 returns names in lower case.
Headers: TypeAlias = list[tuple[bytes, bytes]]

# Answers to this method have no body, whatever their headers say.
HEAD_METHOD = b'HEAD'

# Longer numbers are not plausible times, and Python does not convert
# thousands of digits.
MAX_NUMBER_DIGITS = 15
DECIMAL_PATTERN = re.compile(
    rb'[0-9]{1,%(digits)d}([.][0-9]{1,%(digits)d})?'
    % {b'digits': MAX_NUMBER_DIGITS}
)

QUOTED_BYTES = re.compile(r":? (bytearray\(|b['\"]).*", re.DOTALL)

CONTENT_LENGTH = b'content-length'
TRANSFER_ENCODING = b'transfer-encoding'
CHUNKED_HEADER = (TRANSFER_ENCODING, b'chunked')

HOP_BY_HOP_HEADERS = frozenset(
    (
        b'connection',
        b'keep-alive',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'proxy-connection',
        b'te',
        b'trailer',
        TRANSFER_ENCODING,
        b'upgrade',
        b'expect',
    )
)

# Headers that are forwarded even if `Connection` lists them.
ALWAYS_FORWARDED = frozenset((b'host', CONTENT_LENGTH))


class ExchangeError(ChicorybridgeError):
    """Report a connection that closed early or violated HTTP."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Head:
    """The head of a request or, if `status` is not 0, of an answer.

    `length` is the length of the body in bytes, `None` if the body is
    chunked or ends with the connection.
    """

    method: bytes
    path: bytes
    headers: Headers
    length: int | None
    status: int = 0
    keep_alive: bool = True

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header, or `None` if it is absent."""
        for header_name, header_value in self.headers:
            if header_name == name:
                return header_value
        return None

    def values_of(self, name: bytes) -> tuple[bytes, ...]:
        """Return all values of a header."""
        return tuple(
            header_value
            for header_name, header_value in self.headers
            if header_name == name
        )


class Exchange:
    """Read and write HTTP/1.1 events on one connection."""

    def __init__(
        self, *, sock: curio.io.Socket, role: Any, clock: Clock
    ) -> None:
        """Use the open connection `sock` in the h11 role `role`."""
        self.sock = sock
        # When the current read or write began to wait, if there is one.
        self.waiting_since: Millis | None = None
        self.received_bytes = 0
        self._event_count = 0
        # Whether the parts of an incomplete event are counted.
        self._has_parts = False
        # Set by a failed write: the kernel reports a reset to one task only.
        # The error itself would keep its traceback, and with it the message.
        self._write_error: str | None = None
        self._clock = clock
        self.budget = UNLIMITED
        self.holding = UNLIMITED.open(kind=HeldKind.connection, evict=None)
        self._conn = h11.Connection(
            our_role=role, max_incomplete_event_size=settings.MAX_HEAD_BYTES
        )

    def count_towards(self, budget: ByteBudget, kind: HeldKind) -> None:
        """Count the bytes held for this connection towards `budget`."""
        self.budget = budget
        is_target = kind is HeldKind.target
        self.holding = budget.open(
            kind=kind, evict=None if is_target else self._evict
        )
        self.holding.set_bytes(http_settings.CONNECTION_BYTES)

    async def read_chunk(self) -> bytes:
        """Return the next chunk of the body, empty at its end."""
        event = await self._next_event()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            return b''
        raise ExchangeError(
            code=ErrorCode.stream_closed,
            detail='connection ended within a body',
        )

    async def send_chunk(self, chunk: bytes) -> None:
        """Send a chunk of the body."""
        await self.send(h11.Data(data=chunk))

    async def finish(self) -> None:
        """Send the end of the body."""
        await self.send(h11.EndOfMessage())

    async def send(self, *events: Any) -> None:
        """Send events in one write."""
        await self._write(self._encode(*events))

    async def close(self) -> None:
        """Close the connection; bytes already written are still sent."""
        self.holding.close()
        await self.sock.close()

    async def abort(self) -> None:
        """Reset the connection."""
        self.holding.close()
        await sockets.abort(self.sock)

    def _encode(self, *events: Any) -> bytes:
        try:
            parts = [self._conn.send(event) for event in events]
        except h11.LocalProtocolError as error:
            raise _malformed_error(error) from error
        return b''.join(part for part in parts if part)

    async def _write(self, data: bytes) -> None:
        if not data:
            return
        self.waiting_since = self._clock.now()
        try:
            if len(data) <= http_settings.COUNTED_WRITE_BYTES:
                await self.sock.sendall(data)
            else:
                await self._write_counted(data)
        except OSError as error:
            self._write_error = str(error)
            raise _closed_error(self._write_error) from error
        finally:
            self.waiting_since = None

    async def _write_counted(self, data: bytes) -> None:
        """Send a large message in pieces; count it until all is sent."""
        holding = self.holding
        kind = holding.kind
        if kind is HeldKind.connection:
            holding.kind = HeldKind.answer
        holding.touch()
        # The message and its parts, of which it is a copy; a write that blocks
        # has filled the buffer of the kernel.
        holding.set_bytes(
            http_settings.CONNECTION_BYTES
            + 2 * len(data)
            + http_settings.KERNEL_SEND_BYTES
        )
        view = memoryview(data)
        try:
            for start in range(0, len(data), http_settings.WRITE_PIECE_BYTES):
                end = start + http_settings.WRITE_PIECE_BYTES
                await self.sock.sendall(view[start:end])
                holding.touch()
        finally:
            holding.kind = kind
            holding.set_bytes(http_settings.CONNECTION_BYTES)

    def _evict(self) -> bool:
        """Close the connection to release what is held for it."""
        sockets.shut_down(self.sock, socket.SHUT_RDWR)
        return True

    async def _receive(self) -> bytes:
        self.waiting_since = self._clock.now()
        try:
            data = await self.sock.recv(settings.RECEIVE_BYTES)
        except OSError as error:
            raise _closed_error(str(error)) from error
        finally:
            self.waiting_since = None
        if not data and self._write_error is not None:
            # Not the end of what the peer sent, but of the connection.
            raise _closed_error(self._write_error)
        self.received_bytes += len(data)
        self._conn.receive_data(data)
        return data

    async def _next_event(self) -> Any:
        parts_bytes = 0
        while True:
            await self._yield_periodically()
            try:
                event = self._conn.next_event()
            except h11.RemoteProtocolError as error:
                raise _malformed_error(error) from error
            if event is not h11.NEED_DATA:
                if self._has_parts:
                    self._has_parts = False
                    self.holding.set_bytes(http_settings.CONNECTION_BYTES)
                return event
            is_first = not parts_bytes
            parts_bytes += len(await self._receive())
            if not is_first:
                self._count_parts(parts_bytes)

    def _count_parts(self, count: int) -> None:
        """Count a head that arrives in parts, which are kept to check it."""
        self._has_parts = True
        self.holding.touch()
        self.holding.set_bytes(http_settings.CONNECTION_BYTES + 2 * count)

    async def _yield_periodically(self) -> None:
        """Let other tasks run after every `EVENTS_PER_YIELD` events.

        Reading does not block while bytes are available, and a timeout takes
        effect only where a task blocks.
        """
        self._event_count += 1
        if self._event_count % settings.EVENTS_PER_YIELD == 0:
            await curio.sleep(0)


def end_to_end_headers(headers: Headers) -> Headers:
    """Return the headers without the hop-by-hop ones."""
    listed = {
        token.strip().lower()
        for name, header_value in headers
        if name == b'connection'
        for token in header_value.split(b',')
    }
    dropped = HOP_BY_HOP_HEADERS | (listed - ALWAYS_FORWARDED)
    return [pair for pair in headers if pair[0] not in dropped]


def content_length(headers: Headers) -> int | None:
    """Return the value of Content-Length in bytes, `None` if absent."""
    for name, header_value in headers:
        if name == CONTENT_LENGTH:
            return int(header_value)
    return None


def parse_integer(digits: bytes | None) -> int | None:
    """Return the integer in a header value.

    `None` if there is no value, or not one of up to `MAX_NUMBER_DIGITS` digits.
    """
    if (
        digits is None
        or not digits.isdigit()
        or len(digits) > MAX_NUMBER_DIGITS
    ):
        return None
    return int(digits)


def parse_decimal(text: bytes | None) -> float | None:
    """Return the number in a header value, which may have decimals.

    `None` if there is no value, or not one of up to `MAX_NUMBER_DIGITS`
    digits on each side of the point, without a sign or an exponent.
    """
    if text is None or not DECIMAL_PATTERN.fullmatch(text):
        return None
    return float(text)


def _malformed_error(error: h11.ProtocolError) -> ExchangeError:
    code = ErrorCode.request_malformed
    if error.error_status_hint == settings.HEAD_TOO_LARGE_STATUS:
        code = ErrorCode.request_too_large
    # h11 appends the line that it rejects, which may contain a secret.
    detail = QUOTED_BYTES.sub('', str(error))
    return ExchangeError(code=code, detail=detail)


def protocol_error(detail: str) -> ExchangeError:
    """Return an `ExchangeError` for a message that violates HTTP."""
    return ExchangeError(code=ErrorCode.request_malformed, detail=detail)


def _closed_error(detail: str) -> ExchangeError:
    return ExchangeError(code=ErrorCode.stream_closed, detail=detail)
