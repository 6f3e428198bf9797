"""A host process with a store and targets, for callers outside the limits."""

import contextlib
import dataclasses
import json
import os
import pathlib
from collections.abc import AsyncIterator

import curio

from chicorybridge.common import sockets
from chicorybridge.common.addresses import parse_address
from chicorybridge.http.clients import Client
from chicorybridge.http.servers import (
    CallerGoneError,
    Request,
    Response,
    Server,
    ServerConnection,
)
from chicorybridge.tests.platform.row_stores import RowStore
from chicorybridge.tests.platform.rows import (
    configuration_row,
    route,
    server_row,
)
from chicorybridge.tests.stops.processes import HostProgram
from chicorybridge.tests.stops.runs import wait_until_ready

TARGET_COUNT = 2
SLOTS_PER_TARGET = 100
TIMEOUT_S = 25
ANSWER_BYTES = 4_000_000
PIECE_BYTES = 65536
CLIENT_TIMEOUT_MS = 20_000
SETTLE_S = 0.3


@dataclasses.dataclass(frozen=True, kw_only=True)
class Deployment:
    """A running host and its address for callers."""

    program: HostProgram

    async def fetch_status(self, *, body_bytes: int = 100) -> int:
        """Return the status of one ordinary request."""
        request = Request(
            method='POST',
            path='/accept/x',
            headers_by_name={
                'Host': 'quotes.example',
                'X-Request-Id': 'ordinary',
            },
            body=bytes(body_bytes),
        )
        response = await Client().fetch(
            parse_address(self.program.front_address),
            request,
            timeout_ms=CLIENT_TIMEOUT_MS,
        )
        return response.status


@contextlib.asynccontextmanager
async def run_deployment(
    *, folder: pathlib.Path, memory_mb: float, max_body_bytes: int
) -> AsyncIterator[Deployment]:
    """Run a host with `memory_mb` until the block ends."""
    tasks = curio.TaskGroup()
    store = RowStore()
    for number in range(TARGET_COUNT):
        target = _Target(target_id=f'i-{number}')
        address = await _serve(tasks, target.answer)
        entry = server_row(address=address, capacity=SLOTS_PER_TARGET)
        store.put('servers', target.target_id, entry)
    store.put('op', 'config', _configuration(max_body_bytes))
    program = HostProgram(
        number=0,
        ips=[_host_ip()],
        store=await _serve(tasks, store.answer),
        grace_s=1,
        folder=folder,
        memory_mb=memory_mb,
    )
    try:
        await wait_until_ready(program)
        await curio.sleep(SETTLE_S)
        yield Deployment(program=program)
    finally:
        program.close()
        await tasks.cancel_remaining()


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Target:
    """Answers at once, with a large body if the path is that of a download."""

    target_id: str

    async def answer(
        self, connection: ServerConnection, request: Request
    ) -> None:
        async for _ in connection.chunks():
            """The body is not kept."""
        headers_by_name = {
            'X-Request-Id': request.headers_by_name.get('x-request-id', ''),
            'X-Server-Signature': self.target_id,
        }
        if not request.path.startswith('/download/'):
            response = Response(status=200, headers_by_name=headers_by_name)
            await connection.respond(response)
            return
        lines = [f'{key}: {text}' for key, text in headers_by_name.items()]
        lines = ['HTTP/1.1 200 OK', *lines, f'Content-Length: {ANSWER_BYTES}']
        await connection.send('\r\n'.join([*lines, '', '']).encode())
        piece = bytes(PIECE_BYTES)
        for _ in range(ANSWER_BYTES // PIECE_BYTES):
            await connection.send(piece)
        await connection.send(bytes(ANSWER_BYTES % PIECE_BYTES))
        # The connection is not used again.
        raise CallerGoneError


def _configuration(max_body_bytes: int) -> bytes:
    routes = [
        route(
            name=name,
            prefix=f'/{name}/',
            route_type=route_type,
            timeout_s=TIMEOUT_S,
            target_latency_s=TIMEOUT_S,
        )
        for name, route_type in (
            ('accept', 'non_idempotent'),
            ('download', 'idempotent'),
        )
    ]
    document = json.loads(configuration_row(*routes))
    document['limits']['max_body_bytes'] = max_body_bytes
    document['limits']['idle_timeout_s'] = TIMEOUT_S
    return json.dumps(document).encode()


async def _serve(tasks: curio.TaskGroup, handler) -> str:
    listener = sockets.listen('127.0.0.1:0')
    await tasks.spawn(Server(listener=listener, handler=handler).run)
    return sockets.bound_address(listener)


def _host_ip() -> str:
    """Return a loopback address that simultaneous runs do not share."""
    high, low = divmod(os.getpid() % 50_000, 250)
    second, third = high + 2, low + 1
    return f'127.{second}.{third}.7'
