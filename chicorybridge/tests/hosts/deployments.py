"""A small deployment on loopback: a store, targets and one host process."""

import contextlib
import dataclasses
import functools
import itertools
import os
import random
import socket
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import TypeAlias

import curio

from chicorybridge.common import sockets
from chicorybridge.common.addresses import parse_address
from chicorybridge.common.clocks import Clock
from chicorybridge.common.identities import HostId, RegionId, ZoneId
from chicorybridge.common.log_streams import BoundedHandler
from chicorybridge.hosts.host_processes import HostProcess
from chicorybridge.hosts.settings_files import HostBounds, HostSettings
from chicorybridge.http.clients import Client
from chicorybridge.http.servers import (
    Request,
    Response,
    Server,
    ServerConnection,
)
from chicorybridge.routing.allowances import RetryBound
from chicorybridge.tests.platform.row_stores import RowStore
from chicorybridge.tests.platform.rows import (
    configuration_row,
    route,
    server_row,
)

ZONE = 'groningen'

# Parallel test runs start at different ports.
_port_numbers = itertools.count(20_000 + os.getpid() % 100 * 100)
FETCH_TIMEOUT_MS = 5000

RunHost: TypeAlias = Callable[[HostProcess, curio.io.Socket], Awaitable[None]]


@dataclasses.dataclass(kw_only=True)
class Origin:
    """A target with the headers of the platform and configurable faults."""

    target_id: str
    address: str = ''
    runs: int = 0
    slots: int = 6
    # Concurrent requests: now and the maximum so far.
    in_flight: int = 0
    max_in_flight: int = 0
    # Runs requests, then closes the connection without an answer.
    resets: bool = False
    # Rejects requests without running them.
    rejects: bool = False
    status: int = 200
    sends_signature: bool = True
    delay_s: float = 0
    # Body of its answers; its id if empty.
    answer_body: bytes = b''
    # Crashes (stops listening) when it runs a request with this path.
    crashing_path: str = ''
    crashed: bool = False
    # Its connections stay open when it crashes.
    crashes_into_silence: bool = False
    listener: curio.io.Socket | None = None
    serving: curio.Task | None = None
    requests: list[Request] = dataclasses.field(default_factory=list)

    async def answer(
        self, connection: ServerConnection, request: Request
    ) -> None:
        """Answer one request."""
        await connection.read_body()
        self.requests.append(request)
        request_id = request.headers_by_name['x-request-id']
        headers = {'X-Request-Id': request_id}
        expected = request.headers_by_name['x-expect-instance']
        if expected != self.target_id:
            misdirected = Response(
                status=421, headers_by_name={'X-Instance-Id': self.target_id}
            )
            await connection.respond(misdirected)
            return
        if self.rejects:
            headers['X-Not-Executed'] = '1'
            await connection.respond(
                Response(status=503, headers_by_name=headers)
            )
            return
        self.runs += 1
        self.in_flight += 1
        self.max_in_flight = max(self.max_in_flight, self.in_flight)
        if request.path == self.crashing_path:
            await self._crash(connection)
            return
        try:
            await curio.sleep(self.delay_s)
        finally:
            self.in_flight -= 1
        if self.resets:
            await connection.close()
            return
        if self.sends_signature:
            headers['X-Server-Signature'] = self.target_id
        body = self.answer_body or self.target_id.encode()
        await connection.respond(
            Response(status=self.status, headers_by_name=headers, body=body)
        )

    async def _crash(self, connection: ServerConnection) -> None:
        self.crashed = True
        if self.serving is not None:
            await self.serving.cancel()
        if self.listener is not None:
            await self.listener.close()
        if self.crashes_into_silence:
            await curio.sleep(FETCH_TIMEOUT_MS)
        await connection.close()


@dataclasses.dataclass(kw_only=True)
class Deployment:
    """The running store, targets and host of a test."""

    store: RowStore
    origins: dict[str, Origin]
    host: HostProcess
    front: str
    settings: HostSettings
    client: Client = dataclasses.field(default_factory=Client)

    async def send(
        self, path: str, *, method: str = 'GET', request_id: str = 'r'
    ) -> Response:
        """Send a request as a caller does and return its answer."""
        request = Request(
            method=method,
            path=path,
            headers_by_name={
                'Host': 'quotes.example',
                'X-Request-Id': request_id,
                'X-Deadline-Ms': '4000',
            },
        )
        return await self.client.fetch(
            parse_address(self.front), request, timeout_ms=FETCH_TIMEOUT_MS
        )

    async def send_concurrently(self, count: int) -> list[Response]:
        """Send non-idempotent requests concurrently; return all answers."""
        tasks = [
            await curio.spawn(
                self.send('/accept/7', method='POST', request_id=f'r{number}')
            )
            for number in range(count)
        ]
        return [await task.join() for task in tasks]

    async def get(self, address: str, path: str) -> Response:
        """Send a GET request, as the platform does, to IP:PORT `address`."""
        request = Request(method='GET', path=path)
        return await self.client.fetch(
            parse_address(address), request, timeout_ms=FETCH_TIMEOUT_MS
        )


@contextlib.asynccontextmanager
async def deployed(
    *origins: Origin, ready: bool = True, run: RunHost = HostProcess.run
) -> AsyncIterator[Deployment]:
    """Run a store, `origins` and a host until the block ends.

    With `ready`, wait until the host has a configuration and all targets.
    `run` serves the host on a listener.
    """
    store = RowStore()
    tasks = curio.TaskGroup()
    store_listener = sockets.listen('127.0.0.1:0')
    store_address = sockets.bound_address(store_listener)
    await tasks.spawn(Server(listener=store_listener, handler=store.answer).run)
    for target in origins:
        await _register(store, tasks, target)
    if ready:
        store.put('op', 'config', configuration_row(*_routes()))
    listener = sockets.listen('127.0.0.1:0')
    host_settings = _settings(store_address)
    host = HostProcess(
        host_settings=dataclasses.replace(
            host_settings, front=sockets.bound_address(listener)
        ),
        clock=Clock(),
        rng=random.Random(1),
        logs=BoundedHandler(descriptor=1, clock=Clock(), bytes_per_second=0),
    )
    running = await curio.spawn(run, host, listener)
    deployment = Deployment(
        store=store,
        origins={origin.target_id: origin for origin in origins},
        host=host,
        front=sockets.bound_address(listener),
        settings=host_settings,
    )
    try:
        if ready:
            await until(lambda: host.state.ready)
            await until(
                lambda: (
                    len(host.fleet_view.directory.entries_by_id) == len(origins)
                )
            )
        yield deployment
    finally:
        await running.cancel()
        await tasks.cancel_remaining()


def on_curio(test):
    """Decorate a coroutine test function to run under curio."""

    @functools.wraps(test)
    def run(**arguments):  # noqa: WPS430
        curio.run(functools.partial(test, **arguments))

    return run


async def until(condition, *, within_s: float = 5) -> None:
    """Wait until a condition holds; raise `curio.TaskTimeout`."""
    async with curio.timeout_after(within_s):
        while not condition():
            await curio.sleep(0.01)


async def _register(
    store: RowStore, tasks: curio.TaskGroup, origin: Origin
) -> None:
    origin.listener = sockets.listen('127.0.0.1:0')
    origin.address = sockets.bound_address(origin.listener)
    server = Server(listener=origin.listener, handler=origin.answer)
    origin.serving = await tasks.spawn(server.run)
    entry = server_row(address=origin.address, zone=ZONE, capacity=origin.slots)
    store.put('servers', origin.target_id, entry)


def _routes():
    return (
        route(),
        route(
            name='r-2',
            prefix='/accept/',
            route_type='non_idempotent',
            timeout_s=1,
        ),
    )


def _settings(store_address: str) -> HostSettings:
    ports = [_free_port() for _ in range(4)]
    readiness, directory, metrics, fleet = ports
    return HostSettings(
        host_id=HostId('edge-groningen-1'),
        ip_number='127.0.0.1',
        zone_id=ZoneId(ZONE),
        region_id=RegionId('noord'),
        front='',
        readiness=f'127.0.0.1:{readiness}',
        directory=f'127.0.0.1:{directory}',
        metrics=f'127.0.0.1:{metrics}',
        fleet_port=fleet,
        seeds=(),
        store=store_address,
        regions_by_zone={ZoneId(ZONE): RegionId('noord')},
        bootstrap=True,
        bounds=HostBounds(
            grace_ms=2000,
            ttl_ms=1000,
            known_within_ms=2000,
            retries=RetryBound(ratio=0.2, slack=20, window_ms=10_000),
        ),
    )


def _free_port() -> int:
    """Return a free port below the range of ephemeral ports.

    The kernel could reuse an ephemeral port before the host binds it.
    """
    return next(port for port in _port_numbers if _is_free(port))


def _is_free(port: int) -> bool:
    """Return whether a port is free for TCP and for UDP."""
    try:
        for socket_type in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
            with socket.socket(type=socket_type) as probe:
                probe.bind(('127.0.0.1', port))
    except OSError:
        return False
    return True
