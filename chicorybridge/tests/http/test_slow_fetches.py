"""Answers that take long to arrive, or that stop arriving."""

import curio
import pytest

from chicorybridge.common import sockets
from chicorybridge.common.addresses import Address, parse_address
from chicorybridge.http.clients import Client
from chicorybridge.http.servers import (
    AnswerLostError,
    Request,
    Response,
    Server,
    ServerConnection,
)
from chicorybridge.tests.hosts.deployments import on_curio

IDLE_TIMEOUT_MS = 200
PARTS = 8


class SlowAnswer:
    """Answers in parts with a pause after each."""

    def __init__(self, pause_s: float) -> None:
        """Pause for `pause_s`."""
        self._pause_s = pause_s

    async def send(
        self, connection: ServerConnection, _request: Request
    ) -> None:
        """Answer one request."""
        await connection.read_body()
        head = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n'
        await connection.send(head % PARTS)
        for _ in range(PARTS):
            await connection.send(b'x')
            await curio.sleep(self._pause_s)


async def _fetch(pause_s: float) -> bytes:
    listener = sockets.listen('127.0.0.1:0')
    address = parse_address(sockets.bound_address(listener))
    server = Server(listener=listener, handler=SlowAnswer(pause_s).send)
    serving = await curio.spawn(server.run)
    request = Request(method='GET', path='/')
    try:
        response = await Client().fetch_large(
            address, request, idle_timeout_ms=IDLE_TIMEOUT_MS
        )
    finally:
        await serving.cancel()
    return response.body


@on_curio
async def test_answer_may_take_long_while_it_arrives():
    assert await _fetch(pause_s=IDLE_TIMEOUT_MS / 4000) == b'x' * PARTS


@on_curio
async def test_answer_that_stops_arriving_is_lost():
    with pytest.raises(AnswerLostError, match='timed out'):
        await _fetch(pause_s=1)


class SeveredConnections:
    """Answers, until all connections that are open fall silent for good."""

    def __init__(self) -> None:
        """Start with connections that work."""
        self.open: set[int] = set()
        self.severed: set[int] = set()

    async def answer(
        self, connection: ServerConnection, _request: Request
    ) -> None:
        """Answer one request, unless its connection is severed."""
        await connection.read_body()
        self.open.add(id(connection))
        if id(connection) in self.severed:
            await curio.Event().wait()
        # Lets another request be in flight, on a connection of its own.
        await curio.sleep(IDLE_TIMEOUT_MS / 4000)
        await connection.respond(Response(status=200))


@on_curio
async def test_only_one_request_times_out_when_all_connections_fall_silent():
    """Guards against one timeout for each idle connection of the pool."""
    listener = sockets.listen('127.0.0.1:0')
    address = parse_address(sockets.bound_address(listener))
    severed = SeveredConnections()
    server = Server(listener=listener, handler=severed.answer)
    serving = await curio.spawn(server.run)
    client = Client()
    async with curio.TaskGroup() as tasks:
        for _ in range(3):
            await tasks.spawn(_fetch_status, client, address)
    assert len(severed.open) == 3
    severed.severed = set(severed.open)
    with pytest.raises(AnswerLostError):
        await _fetch_status(client, address)
    assert await _fetch_status(client, address) == 200
    await serving.cancel()


async def _fetch_status(client: Client, address: Address) -> int:
    response = await client.fetch_large(
        address,
        Request(method='GET', path='/'),
        idle_timeout_ms=IDLE_TIMEOUT_MS,
    )
    return response.status
