"""An HTTP/1.1 client for buffered messages with a connection pool."""

import logging
import math
import socket
from collections.abc import Callable
from types import MappingProxyType
from typing import Any

import curio
import h11

from chicorybridge import settings
from chicorybridge.common import clocks
from chicorybridge.common.addresses import Address
from chicorybridge.http.servers import (
    CONNECTION_ERRORS,
    RECEIVE_BYTES,
    AnswerLostError,
    NotSentError,
    Request,
    Response,
)

logger = logging.getLogger(__name__)

# States of both sides after which a connection can be reused.
REUSABLE_STATES = MappingProxyType({h11.CLIENT: h11.DONE, h11.SERVER: h11.DONE})

BODY_METHODS = frozenset(('POST', 'PUT', 'PATCH'))


class ClientConnection:
    """The client side of one connection; one request at a time."""

    def __init__(
        self, *, raw: socket.socket, max_answer_bytes: float = math.inf
    ) -> None:
        """Use the socket `raw`; `max_answer_bytes` limits answer bodies."""
        self._raw = raw
        self._max_answer_bytes = max_answer_bytes
        self.sock = curio.io.Socket(raw)
        self._protocol = h11.Connection(h11.CLIENT)
        self._event_count = 0
        self._idle_timeout_ms = math.inf
        self._on_bytes: Callable[[int], None] | None = None

    @property
    def reusable(self) -> bool:
        """Return whether the connection can carry another request."""
        return (
            self._protocol.our_state is h11.IDLE and self._has_nothing_to_read()
        )

    async def exchange(
        self,
        request: Request,
        *,
        host: str,
        idle_timeout_ms: float = math.inf,
        on_bytes: Callable[[int], None] | None = None,
    ) -> Response:
        """Send a request and return its answer; raise `AnswerLostError`.

        Raise `curio.TaskTimeout` if nothing is received for
        `idle_timeout_ms`. `on_bytes` is told of what is received.
        """
        self._idle_timeout_ms = idle_timeout_ms
        self._on_bytes = on_bytes
        encoded = self._encode(request, host=host)
        try:
            await self.sock.sendall(encoded)
        except OSError as error:
            # The server may have answered before it closed.
            logger.debug(
                'request not sent completely, reading the answer: %s', error
            )
        try:
            return await self._read_response()
        except CONNECTION_ERRORS as error:
            raise AnswerLostError(str(error)) from error

    async def close(self) -> None:
        """Close the connection."""
        await self.sock.close()

    def _has_nothing_to_read(self) -> bool:
        # Unread bytes or a close mean that the connection is not usable.
        try:
            self._raw.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def _encode(self, request: Request, *, host: str) -> bytes:
        headers = list(request.headers_by_name.items())
        if 'Host' not in request.headers_by_name:
            headers.insert(0, ('Host', host))
        if request.body or request.method in BODY_METHODS:
            headers.append(('Content-Length', str(len(request.body))))
        head = h11.Request(
            method=request.method, target=request.path, headers=headers
        )
        encoded = [
            self._protocol.send(head),
            self._protocol.send(h11.Data(data=request.body)),
            self._protocol.send(h11.EndOfMessage()),
        ]
        return b''.join(part or b'' for part in encoded)

    async def _read_response(self) -> Response:
        head = await self._read_head()
        body = bytearray()
        event = await self._next_event()
        while isinstance(event, h11.Data):
            body += event.data
            if len(body) > self._max_answer_bytes:
                raise AnswerLostError('answer body exceeds the size limit')
            event = await self._next_event()
        if not isinstance(event, h11.EndOfMessage):
            raise AnswerLostError('connection ended within the answer')
        if self._protocol.states == REUSABLE_STATES:
            self._protocol.start_next_cycle()
        return Response(
            status=head.status_code,
            headers_by_name={
                name.decode(): header_value.decode('latin-1')
                for name, header_value in head.headers
            },
            body=bytes(body),
        )

    async def _read_head(self) -> h11.Response:
        event = await self._next_event()
        while isinstance(event, h11.InformationalResponse):
            event = await self._next_event()
        if not isinstance(event, h11.Response):
            raise AnswerLostError('connection ended before an answer')
        return event

    async def _next_event(self) -> Any:
        while True:
            self._event_count += 1
            if self._event_count % settings.EVENTS_PER_YIELD == 0:
                # Reading does not block while the server keeps sending.
                await curio.sleep(0)
            event = self._protocol.next_event()
            if event is not h11.NEED_DATA:
                return event
            self._protocol.receive_data(await self._receive())

    async def _receive(self) -> bytes:
        if math.isinf(self._idle_timeout_ms):
            return await self.sock.recv(RECEIVE_BYTES)
        idle_timeout_s = clocks.as_seconds(self._idle_timeout_ms)
        async with curio.timeout_after(idle_timeout_s):
            received = await self.sock.recv(RECEIVE_BYTES)
        if self._on_bytes is not None:
            self._on_bytes(len(received))
        return received


class Client:
    """Send requests over pooled connections."""

    def __init__(
        self, *, max_idle_count: int = 64, max_answer_bytes: float = math.inf
    ) -> None:
        """Keep at most `max_idle_count` idle connections per address.

        An answer with a body of more than `max_answer_bytes` is an error.
        """
        self._max_idle_count = max_idle_count
        self._max_answer_bytes = max_answer_bytes
        # Bytes of answers that `fetch_large` received.
        self.received_bytes = 0
        self._idle_by_address: dict[Address, list[ClientConnection]] = {}

    async def fetch(
        self, address: Address, request: Request, *, timeout_ms: float
    ) -> Response:
        """Send a request and return its answer.

        Raise `NotSentError` if it was not sent, or `AnswerLostError` if it
        may have been sent and no complete answer arrived in time.
        """
        connection: ClientConnection | None = None
        try:
            async with curio.timeout_after(clocks.as_seconds(timeout_ms)):
                connection = await self._connect(address)
                response = await connection.exchange(request, host=str(address))
        except curio.TaskTimeout as error:
            raise _timeout_error(connection) from error
        finally:
            if connection:
                await self._release(address, connection)
        return response

    async def fetch_large(
        self, address: Address, request: Request, *, idle_timeout_ms: float
    ) -> Response:
        """Send a request and return its answer, however long that takes.

        Raise as `fetch` does, but only if nothing is received for
        `idle_timeout_ms`. The size of answers should be limited.

        Idle connections to an address that fell silent are closed: whatever
        silenced one connection may have silenced all, and each would cost
        another timeout.
        """
        connection: ClientConnection | None = None
        try:
            async with curio.timeout_after(clocks.as_seconds(idle_timeout_ms)):
                connection = await self._connect(address)
            # A timeout around this one would hide it if both expired at once.
            response = await connection.exchange(
                request,
                host=str(address),
                idle_timeout_ms=idle_timeout_ms,
                on_bytes=self._count_received,
            )
        except curio.TaskTimeout as error:
            await self._close_idle(address)
            raise _timeout_error(connection) from error
        finally:
            if connection:
                await self._release(address, connection)
        return response

    async def close(self) -> None:
        """Close all idle connections."""
        for address in tuple(self._idle_by_address):
            await self._close_idle(address)

    async def _close_idle(self, address: Address) -> None:
        idle = self._idle_by_address.pop(address, [])
        while idle:
            await idle.pop().close()

    async def _connect(self, address: Address) -> ClientConnection:
        idle = self._idle_by_address.get(address, [])
        while idle:
            connection = idle.pop()
            if connection.reusable:
                return connection
            await connection.close()
        return await open_connection(
            address, max_answer_bytes=self._max_answer_bytes
        )

    def _count_received(self, count: int) -> None:
        self.received_bytes += count

    async def _release(
        self, address: Address, connection: ClientConnection
    ) -> None:
        idle = self._idle_by_address.setdefault(address, [])
        if connection.reusable and len(idle) < self._max_idle_count:
            idle.append(connection)
            return
        await connection.close()


async def open_connection(
    address: Address, *, max_answer_bytes: float = math.inf
) -> ClientConnection:
    """Connect to `address`; raise `NotSentError` if that fails."""
    raw = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    connection = ClientConnection(raw=raw, max_answer_bytes=max_answer_bytes)
    try:
        await connection.sock.connect((address.host, address.port))
    except OSError as error:
        await connection.close()
        raise NotSentError(str(error)) from error
    except curio.CancelledError:
        await connection.close()
        raise
    return connection


def _timeout_error(connection: ClientConnection | None) -> Exception:
    if connection is None:
        return NotSentError('connecting timed out')
    return AnswerLostError('timed out before a complete answer')
