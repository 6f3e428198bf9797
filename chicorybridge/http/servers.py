"""Buffered HTTP/1.1 messages and a small server, on h11 and curio.

Answers are held in memory completely, so the server is meant for small
bodies and for stand-ins.
"""

import dataclasses
import itertools
import logging
from collections.abc import AsyncIterator, Awaitable, Callable, Mapping
from typing import Any

import curio
import h11

from chicorybridge.common import clocks, sockets

CLOCK = clocks.Clock()

# Numbers the connections of this process in the order of acceptance.
_numbers = itertools.count(1)

logger = logging.getLogger(__name__)

RECEIVE_BYTES = 65536
MAX_HEAD_BYTES = 32768

# Errors of a closed or failed connection.
CONNECTION_ERRORS = (OSError, h11.ProtocolError)


class CallerDisconnectedError(Exception):
    """The caller closed its connection before it was answered."""


class NotSentError(Exception):
    """The connection could not be opened, so nothing was sent."""


class AnswerLostError(Exception):
    """A request may have been sent, but no complete answer arrived."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Request:
    """A request; the server side receives header names in lower case."""

    method: str
    path: str
    headers_by_name: Mapping[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b''


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Response:
    """An answer; the client side receives header names in lower case."""

    status: int
    headers_by_name: Mapping[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b''


class ServerConnection:
    """The server side of one connection."""

    def __init__(
        self, *, sock: curio.io.Socket, caller_ip: str = '', open_count: int = 1
    ) -> None:
        """Use the accepted connection `sock`.

        `caller_ip` is the IP address of the caller; `open_count` is the
        number of open connections of the server, including this one.
        """
        self.number = next(_numbers)
        self.caller_ip = caller_ip
        self.open_count = open_count
        self.received_at = CLOCK.now()
        self._sock = sock
        self._protocol = h11.Connection(
            h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES
        )
        self.closing = False
        self._awaits_request = True

    @property
    def is_idle(self) -> bool:
        """Return whether no request is in progress or waits to be read.

        Cancelling the task of any other connection would lose a request.
        """
        return self._awaits_request and sockets.is_idle(self._sock)

    async def next_request(self) -> Request | None:
        """Return the next request without its body, `None` at the end."""
        if not await self._finish_cycle():
            return None
        self._awaits_request = True
        event = await self._next_event()
        self._awaits_request = False
        self.received_at = CLOCK.now()
        if not isinstance(event, h11.Request):
            return None
        return Request(
            method=event.method.decode(),
            path=event.target.decode(),
            headers_by_name={
                name.decode(): value.decode('latin-1')
                for name, value in event.headers
            },
        )

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body of the current request as it arrives."""
        if self._protocol.they_are_waiting_for_100_continue:
            continuation = h11.InformationalResponse(
                status_code=100, headers=[]
            )
            await self.send(self._protocol.send(continuation) or b'')
        while True:
            event = await self._next_event()
            if isinstance(event, h11.EndOfMessage):
                return
            if not isinstance(event, h11.Data):
                raise CallerDisconnectedError
            yield bytes(event.data)

    async def read_body(self) -> bytes:
        """Return the complete body of the current request."""
        return b''.join([chunk async for chunk in self.chunks()])

    async def stays_connected(self, *, for_ms: float) -> bool:
        """Wait for `for_ms`; return early with `False` if the caller closes."""
        if for_ms <= 0:
            return True
        try:
            async with curio.timeout_after(clocks.as_seconds(for_ms)):
                await self._wait_closed()
        except curio.TaskTimeout:
            return True
        return False

    async def respond(self, response: Response, *, method: str = 'GET') -> None:
        """Send a complete answer to a request with `method`."""
        await self.send(self.encode(response, method=method))

    def encode(self, response: Response, *, method: str = 'GET') -> bytes:
        """Return the bytes of an answer with Content-Length."""
        headers = list(response.headers_by_name.items())
        headers.append(('Content-Length', str(len(response.body))))
        if self.closing:
            headers.append(('Connection', 'close'))
        head = h11.Response(status_code=response.status, headers=headers)
        encoded = [self._protocol.send(head) or b'']
        if method != 'HEAD':
            data = h11.Data(data=response.body)
            encoded.append(self._protocol.send(data) or b'')
        encoded.append(self._protocol.send(h11.EndOfMessage()) or b'')
        return b''.join(encoded)

    async def send(self, encoded: bytes) -> None:
        """Send raw bytes."""
        await self._sock.sendall(encoded)

    async def close(self) -> None:
        """Close the connection."""
        await self._sock.close()

    async def _wait_closed(self) -> None:
        while True:
            received = await self._sock.recv(RECEIVE_BYTES)
            if not received:
                return
            self._protocol.receive_data(received)

    async def _finish_cycle(self) -> bool:
        # Read the rest of the body: closing with unread bytes would reset
        # the connection, and the caller could lose its answer.
        protocol = self._protocol
        if protocol.our_state is h11.IDLE:
            return True
        if protocol.they_are_waiting_for_100_continue:
            return False
        while protocol.their_state is h11.SEND_BODY:
            await self._next_event()
        if protocol.our_state is not h11.DONE:
            return False
        protocol.start_next_cycle()
        return True

    async def _next_event(self) -> Any:
        while True:
            event = self._protocol.next_event()
            if event is not h11.NEED_DATA:
                return event
            received = await self._sock.recv(RECEIVE_BYTES)
            self._protocol.receive_data(received)


# Errors after which a connection is closed.
CONNECTION_END_ERRORS = (*CONNECTION_ERRORS, CallerDisconnectedError)

Handler = Callable[[ServerConnection, Request], Awaitable[None]]


class Server:
    """Accept connections and pass each request to a handler."""

    def __init__(self, *, listener: curio.io.Socket, handler: Handler) -> None:
        """Serve the connections that `listener` accepts."""
        self._listener = listener
        self._handler = handler
        self._tasks_by_connection: dict[ServerConnection, curio.Task] = {}

    @property
    def connection_count(self) -> int:
        """Return the number of open connections."""
        return len(self._tasks_by_connection)

    async def run(self) -> None:
        """Accept connections until cancelled."""
        while True:
            sock, caller_ip = await sockets.accept(self._listener)
            connection = ServerConnection(
                sock=sock,
                caller_ip=caller_ip,
                open_count=self.connection_count + 1,
            )
            self._tasks_by_connection[connection] = await curio.spawn(
                self._serve, connection, daemon=True
            )

    async def stop(self, *, timeout_ms: float) -> None:
        """Stop accepting, close idle connections and await the others.

        Return after `timeout_ms` at the latest.
        """
        await self._listener.close()
        idle_tasks = []
        for connection, task in self._tasks_by_connection.items():
            connection.closing = True
            if connection.is_idle:
                idle_tasks.append(task)
        while idle_tasks:
            await idle_tasks.pop().cancel(blocking=False)
        async with curio.ignore_after(clocks.as_seconds(timeout_ms)):
            while self._tasks_by_connection:
                running = next(iter(self._tasks_by_connection.values()))
                await running.wait()

    async def _serve(self, connection: ServerConnection) -> None:
        try:
            await self._serve_requests(connection)
        except CONNECTION_END_ERRORS as error:
            logger.debug('closing the connection: %s', error)
        finally:
            self._tasks_by_connection.pop(connection, None)
            await connection.close()

    async def _serve_requests(self, connection: ServerConnection) -> None:
        while not connection.closing:
            request = await connection.next_request()
            if request is None:
                return
            await self._handler(connection, request)
