"""The data plane of an entry process on loopback, with scripted targets."""

import contextlib
import dataclasses
import random
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any

import curio

from chicorybridge.claims.claim_clients import ClaimClient
from chicorybridge.claims.claim_messages import EntryId
from chicorybridge.common import sockets
from chicorybridge.common.clocks import Clock, Millis
from chicorybridge.common.identities import (
    Digest,
    HostId,
    ServiceId,
    Version,
    ZoneId,
)
from chicorybridge.configuration.configurations import ActiveConfiguration
from chicorybridge.configuration.declarations import Declaration, Service
from chicorybridge.entry.dispatchers import Dispatcher
from chicorybridge.entry.entry_states import EntryState
from chicorybridge.http.caller_connections import CallerConnections
from chicorybridge.http.target_connections import TargetConnections
from chicorybridge.routing.policies import Policies
from chicorybridge.routing.routes import RouteTable
from chicorybridge.tests.event_logs import event_log
from chicorybridge.tools.models.sample_declarations import ServiceShape, declare

READ_BYTES = 65536
ZONE = 'noord-1'
OK = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'

Script = Callable[['ScriptedTarget', curio.io.Socket, bytes], Awaitable[None]]


class ScriptedTarget:
    """A target that runs a script after each read from a connection."""

    def __init__(self, *, script: Script) -> None:
        """Answer with `script`; start without connections."""
        self.connections = 0
        self.received: list[bytes] = []
        self.resets = 0
        self._script = script

    async def serve(self, sock: curio.io.Socket, _: object) -> None:
        """Serve one connection."""
        self.connections += 1
        try:
            await self._serve(sock)
        except OSError:
            self.resets += 1

    async def _serve(self, sock: curio.io.Socket) -> None:
        data = await sock.recv(READ_BYTES)
        while data:
            self.received.append(data)
            await self._script(self, sock, data)
            data = await sock.recv(READ_BYTES)


def answering(*answers: bytes) -> Script:
    """Return a script that sends `answers` in order, then repeats the last."""
    remaining = list(answers)

    async def script(target, sock, data):  # noqa: WPS430
        answer = remaining.pop(0) if len(remaining) > 1 else remaining[0]
        await sock.sendall(answer)

    return script


def closing_after(answer: bytes) -> Script:
    """Return a script that sends `answer` and closes the connection."""

    async def script(target, sock, data):  # noqa: WPS430
        await sock.sendall(answer)
        await sock.close()

    return script


@dataclasses.dataclass(kw_only=True)
class Front:
    """The data plane with its targets; callers connect to `address`."""

    address: str
    targets: list[ScriptedTarget]
    callers: CallerConnections
    state: EntryState
    policies: Policies

    async def connect(self) -> curio.io.Socket:
        """Open a caller's connection."""
        return await sockets.connect(self.address)

    async def exchange(self, data: bytes) -> bytes:
        """Send `data` on a new connection and read until it ends."""
        sock = await self.connect()
        await sock.sendall(data)
        return await read_all(sock)


async def read_all(sock: curio.io.Socket) -> bytes:
    """Read until the connection ends; a reset raises `OSError`."""
    parts = []
    async with curio.timeout_after(5):
        part = await sock.recv(READ_BYTES)
        while part:
            parts.append(part)
            part = await sock.recv(READ_BYTES)
    await sock.close()
    return b''.join(parts)


async def read_until(sock: curio.io.Socket, end: bytes) -> bytes:
    """Read until the received data ends with `end`."""
    data = b''
    async with curio.timeout_after(5):
        while not data.endswith(end):
            part = await sock.recv(READ_BYTES)
            if not part:
                break
            data += part
    return data


def _declaration(addresses: list[str], service: Service) -> Declaration:
    shape = ServiceShape(targets=len(addresses), zones=(ZONE,))
    declaration = declare(shape)
    targets = zip(declaration.targets_by_id.values(), addresses, strict=True)
    return dataclasses.replace(
        declaration,
        services_by_id={service.service_id: service},
        targets_by_id={
            target.target_id: dataclasses.replace(target, address=address)
            for target, address in targets
        },
    )


def _configuration(declaration: Declaration) -> ActiveConfiguration:
    return ActiveConfiguration(
        version=Version(1),
        digest=Digest('d'),
        declaration=declaration,
        routes=RouteTable(declaration=declaration),
    )


async def _refuse_post(message: object) -> bool:
    return False


async def _no_local_answer(exchange: object, head: object) -> bool:
    return False


def _build_callers(
    state: EntryState, policies: Policies, clock: Clock
) -> CallerConnections:
    rng = random.Random(1)
    claim_client = ClaimClient(
        entry_id=EntryId('e'), clock=clock, rng=rng, post=_refuse_post
    )
    dispatcher = Dispatcher(
        clock=clock,
        state=state,
        policies=policies,
        connections=TargetConnections(clock=clock),
        claim_client=claim_client,
        post=_refuse_post,
        on_call_end=lambda call: None,
        on_refusal=lambda code: None,
    )
    return CallerConnections(
        clock=clock,
        log=event_log(clock),
        dispatcher=dispatcher,
        answer_locally=_no_local_answer,
        on_connection_end=lambda reason: None,
    )


@contextlib.asynccontextmanager
async def open_front(
    *scripts: Script, unreachable_targets: int = 0, **limits: Any
) -> AsyncIterator[Front]:
    """Run a data plane with one target for each script.

    `unreachable_targets` is the number of further targets whose ports are
    closed; `limits` are fields of the service.
    """
    targets = [ScriptedTarget(script=script) for script in scripts]
    listeners = [sockets.listen('127.0.0.1:0') for _ in targets]
    closed_listeners = [
        sockets.listen('127.0.0.1:0') for _ in range(unreachable_targets)
    ]
    addresses = [
        sockets.bound_address(sock) for sock in (*listeners, *closed_listeners)
    ]
    for closed_listener in closed_listeners:
        await closed_listener.close()
    service = dataclasses.replace(
        Service(service_id=ServiceId(ServiceShape().name)), **limits
    )
    clock = Clock()
    policies = Policies(
        rng=random.Random(2),
        host_id=HostId('h'),
        zone_id=ZoneId(ZONE),
        process_name='h/1',
    )
    configuration = _configuration(_declaration(addresses, service))
    policies.configure(configuration, now=clock.now())
    state = EntryState(
        configuration=configuration, lease_until=Millis(float('inf'))
    )
    callers = _build_callers(state, policies, clock)
    front_listener = sockets.listen('127.0.0.1:0')
    async with curio.TaskGroup(wait=None) as tasks:
        for target, listener in zip(targets, listeners, strict=True):
            await tasks.spawn(curio.network.run_server, listener, target.serve)
        await tasks.spawn(callers.run, front_listener)
        yield Front(
            address=sockets.bound_address(front_listener),
            targets=targets,
            callers=callers,
            state=state,
            policies=policies,
        )
        await tasks.cancel_remaining()
