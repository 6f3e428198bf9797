"""HTTP/1.1 messages, and a small server of h11 over curio.

Answers are whole messages in memory; use it where bodies are small or
the process is a stand-in.
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

# Numbers the connections of this process in the order of their opening.
_serials = itertools.count(1)

logger = logging.getLogger(__name__)

RECEIVE_BYTES = 65536
MAX_HEAD_BYTES = 32768

# What a closed or broken connection raises.
BROKEN = (OSError, h11.ProtocolError)


class CallerGoneError(Exception):
    """The caller closed its connection before its answer."""


class NotSentError(Exception):
    """No connection was opened: no byte of the request was sent."""


class AnswerLostError(Exception):
    """The request was sent at least in part; no whole answer came."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Request:
    """A request; header names come in lower case on the server side."""

    method: str
    path: str
    headers_by_name: Mapping[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b''


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Response:
    """A whole answer; header names come in lower case on the client side."""

    status: int
    headers_by_name: Mapping[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b''


class ServerConnection:
    """One caller's connection: requests in, answers out, in order."""

    def __init__(
        self, *, sock: curio.io.Socket, source: str = '', open_count: int = 1
    ) -> None:
        """Take over an accepted connection.

        `source` is the caller's IP number, `open_count` how many
        connections the server had with this one.
        """
        self.serial = next(_serials)
        self.source = source
        self.open_count = open_count
        self.received_at = CLOCK.now()
        self._sock = sock
        self._protocol = h11.Connection(
            h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES
        )
        self.closing = False
        self._idle = True

    @property
    def idle(self) -> bool:
        """Return whether a stop may close the connection.

        A task that has a request to read would be cancelled with it in hand.
        """
        return self._idle and sockets.is_idle(self._sock)

    async def next_request(self) -> Request | None:
        """Return the next head, or `None` at the end of the connection."""
        if not await self._finish_cycle():
            return None
        self._idle = True
        event = await self._next_event()
        self._idle = False
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
            going_on = h11.InformationalResponse(status_code=100, headers=[])
            await self.send(self._protocol.send(going_on) or b'')
        while True:
            event = await self._next_event()
            if isinstance(event, h11.EndOfMessage):
                return
            if not isinstance(event, h11.Data):
                raise CallerGoneError
            yield bytes(event.data)

    async def read_body(self) -> bytes:
        """Return the whole body of the current request."""
        return b''.join([chunk async for chunk in self.chunks()])

    async def caller_stays(self, *, for_ms: float) -> bool:
        """Wait, and tell whether the caller still holds the connection."""
        if for_ms <= 0:
            return True
        try:
            async with curio.timeout_after(clocks.as_seconds(for_ms)):
                await self._until_gone()
        except curio.TaskTimeout:
            return True
        return False

    async def respond(self, response: Response, *, to: str = 'GET') -> None:
        """Send a whole answer to a request of the method `to` at once."""
        await self.send(self.encode(response, to=to))

    def encode(self, response: Response, *, to: str = 'GET') -> bytes:
        """Return the bytes of a whole answer, framed by its length."""
        headers = list(response.headers_by_name.items())
        headers.append(('Content-Length', str(len(response.body))))
        if self.closing:
            headers.append(('Connection', 'close'))
        head = h11.Response(status_code=response.status, headers=headers)
        encoded = [self._protocol.send(head) or b'']
        if to != 'HEAD':
            data = h11.Data(data=response.body)
            encoded.append(self._protocol.send(data) or b'')
        encoded.append(self._protocol.send(h11.EndOfMessage()) or b'')
        return b''.join(encoded)

    async def send(self, encoded: bytes) -> None:
        """Send bytes as they are."""
        await self._sock.sendall(encoded)

    async def close(self) -> None:
        """Close the connection."""
        await self._sock.close()

    async def _until_gone(self) -> None:
        while True:
            received = await self._sock.recv(RECEIVE_BYTES)
            if not received:
                return
            self._protocol.receive_data(received)

    async def _finish_cycle(self) -> bool:
        # A body left unread would turn the close into a reset, and the
        # caller could lose its answer.
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


# What ends the serving of a connection.
GONE = (*BROKEN, CallerGoneError)

Handler = Callable[[ServerConnection, Request], Awaitable[None]]


class Server:
    """Accept connections and hand each request to a handler."""

    def __init__(self, *, listener: curio.io.Socket, handler: Handler) -> None:
        """Serve the connections of `listener`."""
        self._listener = listener
        self._handler = handler
        self._tasks_by_connection: dict[ServerConnection, curio.Task] = {}

    @property
    def connection_count(self) -> int:
        """Return the number of open connections."""
        return len(self._tasks_by_connection)

    async def run(self) -> None:
        """Accept until cancelled."""
        while True:
            sock, source = await sockets.accept(self._listener)
            connection = ServerConnection(
                sock=sock,
                source=source,
                open_count=self.connection_count + 1,
            )
            self._tasks_by_connection[connection] = await curio.spawn(
                self._serve, connection, daemon=True
            )

    async def stop(self, *, within_ms: float) -> None:
        """Finish what is in flight, then close every connection."""
        await self._listener.close()
        waiting = []
        for connection, task in self._tasks_by_connection.items():
            connection.closing = True
            if connection.idle:
                waiting.append(task)
        while waiting:
            await waiting.pop().cancel(blocking=False)
        async with curio.ignore_after(clocks.as_seconds(within_ms)):
            while self._tasks_by_connection:
                running = next(iter(self._tasks_by_connection.values()))
                await running.wait()

    async def _serve(self, connection: ServerConnection) -> None:
        try:
            await self._serve_requests(connection)
        except GONE as error:
            logger.debug('connection ended: %s', error)
        finally:
            self._tasks_by_connection.pop(connection, None)
            await connection.close()

    async def _serve_requests(self, connection: ServerConnection) -> None:
        while not connection.closing:
            request = await connection.next_request()
            if request is None:
                return
            await self._handler(connection, request)
