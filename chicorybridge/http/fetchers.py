"""A pooled HTTP/1.1 client of h11 over curio, for whole messages."""

import logging
import math
import socket
from types import MappingProxyType
from typing import Any

import curio
import h11

from chicorybridge import settings
from chicorybridge.common import clocks
from chicorybridge.common.addresses import Address
from chicorybridge.http.services import (
    BROKEN,
    RECEIVE_BYTES,
    AnswerLostError,
    NotSentError,
    Request,
    Response,
)

logger = logging.getLogger(__name__)

# Both sides of a connection that can carry another request.
KEPT_ALIVE = MappingProxyType({h11.CLIENT: h11.DONE, h11.SERVER: h11.DONE})

BODY_METHODS = frozenset(('POST', 'PUT', 'PATCH'))


class ClientConnection:
    """One connection to a server, used for one request at a time."""

    def __init__(
        self, *, raw: socket.socket, answer_bytes: float = math.inf
    ) -> None:
        """Wrap a connected or connecting socket; bound bodies in bytes."""
        self._raw = raw
        self._answer_bytes = answer_bytes
        self.sock = curio.io.Socket(raw)
        self._protocol = h11.Connection(h11.CLIENT)
        self._steps = 0

    @property
    def reusable(self) -> bool:
        """Tell whether the last answer left the connection clean."""
        return self._protocol.our_state is h11.IDLE and self._is_quiet()

    async def exchange(self, request: Request, *, host: str) -> Response:
        """Send a request and return its whole answer."""
        encoded = self._encode(request, host=host)
        try:
            await self.sock.sendall(encoded)
        except OSError as error:
            # The server may have answered before it closed.
            logger.debug('request cut: %s', error)
        try:
            return await self._read_response()
        except BROKEN as error:
            raise AnswerLostError(str(error)) from error

    async def close(self) -> None:
        """Close the connection."""
        await self.sock.close()

    def _is_quiet(self) -> bool:
        # Bytes or an end before a request mean that the server is done.
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
            if len(body) > self._answer_bytes:
                raise AnswerLostError('the answer is too long')
            event = await self._next_event()
        if not isinstance(event, h11.EndOfMessage):
            raise AnswerLostError('the answer was cut')
        if self._protocol.states == KEPT_ALIVE:
            self._protocol.start_next_cycle()
        return Response(
            status=head.status_code,
            headers_by_name={
                name.decode(): content.decode('latin-1')
                for name, content in head.headers
            },
            body=bytes(body),
        )

    async def _read_head(self) -> h11.Response:
        event = await self._next_event()
        while isinstance(event, h11.InformationalResponse):
            event = await self._next_event()
        if not isinstance(event, h11.Response):
            raise AnswerLostError('closed before the answer')
        return event

    async def _next_event(self) -> Any:
        while True:
            self._steps += 1
            if self._steps % settings.EVENTS_PER_YIELD == 0:
                # A server may send faster than its answer is read.
                await curio.sleep(0)
            event = self._protocol.next_event()
            if event is not h11.NEED_DATA:
                return event
            self._protocol.receive_data(await self.sock.recv(RECEIVE_BYTES))


class Client:
    """Send requests over connections kept by address."""

    def __init__(
        self, *, idle_limit: int = 64, answer_bytes: float = math.inf
    ) -> None:
        """Keep at most `idle_limit` idle connections per address.

        Bodies of more than `answer_bytes` are not read to their end.
        """
        self._idle_limit = idle_limit
        self._answer_bytes = answer_bytes
        self._idle_by_address: dict[Address, list[ClientConnection]] = {}

    async def fetch(
        self, address: Address, request: Request, *, timeout_ms: float
    ) -> Response:
        """Return the answer; raise `NotSentError` or `AnswerLostError`."""
        connection: ClientConnection | None = None
        try:
            async with curio.timeout_after(clocks.as_seconds(timeout_ms)):
                connection = await self._connect(address)
                response = await connection.exchange(request, host=str(address))
        except curio.TaskTimeout as error:
            raise _timed_out(connection) from error
        finally:
            if connection:
                await self._give_back(address, connection)
        return response

    async def close(self) -> None:
        """Close all idle connections."""
        while self._idle_by_address:
            _, idle = self._idle_by_address.popitem()
            while idle:
                await idle.pop().close()

    async def _connect(self, address: Address) -> ClientConnection:
        idle = self._idle_by_address.get(address, [])
        while idle:
            connection = idle.pop()
            if connection.reusable:
                return connection
            await connection.close()
        return await open_connection(address, answer_bytes=self._answer_bytes)

    async def _give_back(
        self, address: Address, connection: ClientConnection
    ) -> None:
        idle = self._idle_by_address.setdefault(address, [])
        if connection.reusable and len(idle) < self._idle_limit:
            idle.append(connection)
            return
        await connection.close()


async def open_connection(
    address: Address, *, answer_bytes: float = math.inf
) -> ClientConnection:
    """Connect to `address`; raise `NotSentError`."""
    raw = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    connection = ClientConnection(raw=raw, answer_bytes=answer_bytes)
    try:
        await connection.sock.connect((address.host, address.port))
    except OSError as error:
        await connection.close()
        raise NotSentError(str(error)) from error
    except curio.CancelledError:
        await connection.close()
        raise
    return connection


def _timed_out(connection: ClientConnection | None) -> Exception:
    if connection is None:
        return NotSentError('no connection in time')
    return AnswerLostError('no answer in time')
