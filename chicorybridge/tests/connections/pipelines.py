"""Requests that a caller sends behind each other on one connection."""

import dataclasses

import curio
import h11

from chicorybridge.common import sockets
from chicorybridge.http.servers import Request, Response, ServerConnection
from chicorybridge.tests.hosts.deployments import Deployment, Origin

RECEIVE_BYTES = 65536
TIMEOUT_S = 8


@dataclasses.dataclass(kw_only=True)
class PacedOrigin(Origin):
    """A target that takes as long as a request says, by its path."""

    # Request ids in the order of start and of end.
    started: list[str] = dataclasses.field(default_factory=list)
    ended: list[str] = dataclasses.field(default_factory=list)
    bodies_by_id: dict[str, bytes] = dataclasses.field(default_factory=dict)

    async def answer(
        self, connection: ServerConnection, request: Request
    ) -> None:
        """Answer one request, after as many milliseconds as its path names."""
        body = await connection.read_body()
        request_id = request.headers_by_name['x-request-id']
        self.started.append(request_id)
        self.bodies_by_id[request_id] = body
        self.in_flight += 1
        self.max_in_flight = max(self.max_in_flight, self.in_flight)
        try:
            await curio.sleep(int(request.path.rpartition('/')[2]) / 1000)
        finally:
            self.in_flight -= 1
        self.ended.append(request_id)
        headers = {
            'X-Request-Id': request_id,
            'X-Server-Signature': self.target_id,
        }
        await connection.respond(
            Response(status=200, headers_by_name=headers, body=self.answer_body)
        )


def pipelined(
    request_id: str,
    *lines: bytes,
    method: str = 'GET',
    delay_ms: int = 0,
    body: bytes = b'',
) -> bytes:
    """Return a request that takes `delay_ms`; only GET is idempotent."""
    prefix = 'lookup' if method == 'GET' else 'accept'
    start = f'{method} /{prefix}/{delay_ms} HTTP/1.1\r\n'
    head = (
        b'Host: quotes.example\r\nX-Deadline-Ms: 4000\r\n'
        b'X-Request-Id: %b\r\n' % request_id.encode()
    )
    length = b'Content-Length: %d\r\n' % len(body) if body else b''
    return b''.join(
        (start.encode(), head, length, *lines, b'\r\n', body),
    )


@dataclasses.dataclass(frozen=True, kw_only=True)
class Received:
    """An answer; `closes` if it has `Connection: close`."""

    status: int
    request_id: str
    closes: bool
    body: bytes = b''


class Caller:
    """One connection, whose answers are read in order."""

    def __init__(self, sock: curio.io.Socket) -> None:
        """Use the open connection `sock`."""
        self.sock = sock
        self._received = b''

    async def send(self, *requests: bytes) -> None:
        """Send requests in one write."""
        await self.sock.sendall(b''.join(requests))

    async def receive(self) -> Received | None:
        """Return the next answer, `None` at the end of the connection."""
        protocol = h11.Connection(our_role=h11.CLIENT)
        request = h11.Request(method='GET', target='/', headers=[('host', '')])
        protocol.send(request)
        protocol.send(h11.EndOfMessage())
        if self._received:
            protocol.receive_data(self._received)
        body = b''
        head = h11.Response(status_code=599, headers=[])
        async with curio.timeout_after(TIMEOUT_S):
            event = await self._next(protocol)
            while not isinstance(event, h11.EndOfMessage):
                if isinstance(event, h11.ConnectionClosed):
                    return None
                if isinstance(event, h11.Response):
                    head = event
                if isinstance(event, h11.Data):
                    body += event.data
                event = await self._next(protocol)
        self._received = bytes(protocol.trailing_data[0])
        headers = dict(head.headers)
        return Received(
            status=head.status_code,
            request_id=headers.get(b'x-request-id', b'').decode(),
            closes=headers.get(b'connection', b'') == b'close',
            body=body,
        )

    async def receive_all(self, count: int) -> list[Received]:
        """Return the next `count` answers, fewer if the connection ends."""
        answers = []
        for _ in range(count):
            answer = await self.receive()
            if answer is None:
                break
            answers.append(answer)
        return answers

    async def _next(self, protocol):
        event = protocol.next_event()
        while event is h11.NEED_DATA:
            received = await self.sock.recv(RECEIVE_BYTES)
            if not received and not protocol.trailing_data[0]:
                return h11.ConnectionClosed()
            protocol.receive_data(received)
            event = protocol.next_event()
        return event


async def connect(deployment: Deployment) -> Caller:
    """Open a connection to the host."""
    return Caller(await sockets.connect(deployment.front))


def ids(received: list[Received]) -> list[str]:
    """Return the ids of the answered requests."""
    return [answer.request_id for answer in received]
