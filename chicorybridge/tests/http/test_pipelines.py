"""Connections with several unanswered requests: counts, timeouts, ends."""

import contextlib
import dataclasses
from collections.abc import AsyncIterator

import curio

from chicorybridge.common import sockets
from chicorybridge.common.clocks import ManualClock, Millis
from chicorybridge.http import settings
from chicorybridge.http.caller_connections import CallerConnections
from chicorybridge.http.caller_exchanges import CallerExchange
from chicorybridge.http.caller_limits import CallerLimits
from chicorybridge.http.close_reasons import CloseReason
from chicorybridge.http.exchanges import Head
from chicorybridge.tests.event_logs import event_log
from chicorybridge.tests.fronts import read_until
from chicorybridge.tests.hosts.deployments import on_curio, until

LIMITS = CallerLimits(idle_timeout_ms=15_000, head_timeout_ms=3000)
NEVER = Millis(float('inf'))


@dataclasses.dataclass(kw_only=True)
class HeldDispatcher:
    """Answers each request once the test lets it."""

    started: list[str] = dataclasses.field(default_factory=list)
    events_by_path: dict[str, curio.Event] = dataclasses.field(
        default_factory=dict
    )

    async def answer(self, exchange: CallerExchange, head: Head) -> None:
        """Answer with the path once it is released."""
        path = head.path.decode()
        event = self.events_by_path.setdefault(path, curio.Event())
        self.started.append(path)
        await event.wait()
        length = str(len(head.path)).encode()
        await exchange.answer(
            status=200, headers=[(b'content-length', length)], body=head.path
        )

    async def refuse(self, exchange, error, outcome) -> None:
        """Answer a malformed request with status 400."""
        await exchange.answer(
            status=400, headers=[(b'content-length', b'0')], body=b''
        )

    async def release(self, *paths: str) -> None:
        """Let requests be answered, in this order."""
        for path in paths:
            event = self.events_by_path.setdefault(path, curio.Event())
            await event.set()


@dataclasses.dataclass(kw_only=True)
class Server:
    """Connections from callers on loopback and what they use."""

    callers: CallerConnections
    clock: ManualClock
    dispatcher: HeldDispatcher
    address: str
    has_memory: bool = True
    ends: list[CloseReason] = dataclasses.field(default_factory=list)

    async def send(self, *paths: str, rest: bytes = b'') -> curio.io.Socket:
        """Open a connection and send requests, then `rest`."""
        sock = await sockets.connect(self.address)
        await sock.sendall(requests(*paths) + rest)
        await until(lambda: set(paths) <= set(self.dispatcher.started))
        return sock


def requests(*paths: str) -> bytes:
    """Return requests for these paths."""
    return b''.join(
        b'GET %b HTTP/1.1\r\nHost: quotes.example\r\n\r\n' % path.encode()
        for path in paths
    )


@contextlib.asynccontextmanager
async def running_server() -> AsyncIterator[Server]:
    """Run connections whose requests the test answers."""
    clock = ManualClock()
    listener = sockets.listen('127.0.0.1:0')
    dispatcher = HeldDispatcher()
    server = Server(
        callers=CallerConnections(
            clock=clock,
            log=event_log(clock, process='host'),
            dispatcher=dispatcher,
            answer_locally=_answer_nothing,
            on_connection_end=lambda reason: server.ends.append(reason),
            limits=lambda: LIMITS,
            may_read_ahead=lambda: server.has_memory,
        ),
        clock=clock,
        dispatcher=dispatcher,
        address=sockets.bound_address(listener),
    )
    running = await curio.spawn(server.callers.run, listener)
    try:
        yield server
    finally:
        await running.cancel()


async def _answer_nothing(exchange: CallerExchange, head: Head) -> bool:
    return False


@on_curio
async def test_each_unanswered_request_counts():
    async with running_server() as server:
        server.clock.advance(by_ms=10)
        sock = await server.send('/a', '/b', '/c')
        read_at = server.clock.now()
        assert server.callers.pending_count == 3
        assert server.callers.ahead_count == 2
        server.clock.advance(by_ms=10)
        await server.dispatcher.release('/b')
        assert server.callers.has_unanswered(read_by=read_at)
        await server.dispatcher.release('/a', '/c')
        await read_until(sock, b'/c')
        await until(lambda: not server.callers.pending_count)
        assert not server.callers.has_unanswered(read_by=NEVER)
        assert len(server.callers) == 1


@on_curio
async def test_request_read_later_does_not_count_as_read_before():
    """A stop waits only for the requests that were read until it closes."""
    async with running_server() as server:
        sock = await server.send('/a', '/b')
        read_at = server.clock.now()
        server.clock.advance(by_ms=10)
        await sock.sendall(requests('/c'))
        await until(lambda: '/c' in server.dispatcher.started)
        await server.dispatcher.release('/a', '/b')
        await read_until(sock, b'/b')
        await until(lambda: server.callers.pending_count == 1)
        assert not server.callers.has_unanswered(read_by=read_at)
        assert server.callers.has_unanswered(read_by=server.clock.now())


@on_curio
async def test_nothing_is_read_ahead_without_memory():
    async with running_server() as server:
        server.has_memory = False
        sock = await server.send('/a')
        await sock.sendall(requests('/b', '/c'))
        await server.callers.close_expired()
        await curio.sleep(0.1)
        assert server.dispatcher.started == ['/a']
        await server.dispatcher.release('/a', '/b')
        await read_until(sock, b'/b')
        await until(lambda: server.dispatcher.started == ['/a', '/b', '/c'])


@on_curio
async def test_requests_behind_the_bound_are_read_as_answers_are_sent():
    async with running_server() as server:
        paths = [f'/{number}' for number in range(20)]
        sock = await server.send('/0', '/1', rest=requests(*paths[2:]))
        await until(
            lambda: server.callers.ahead_count == settings.MAX_READ_AHEAD
        )
        await curio.sleep(0.05)
        assert len(server.dispatcher.started) == 1 + settings.MAX_READ_AHEAD
        await server.dispatcher.release(*paths)
        answered = await read_until(sock, b'/19')
    assert answered.count(b'HTTP/1.1 200') == 20


@on_curio
async def test_idle_connection_is_closed_after_pipelined_requests():
    async with running_server() as server:
        sock = await server.send('/a', '/b')
        server.clock.advance(by_ms=LIMITS.idle_timeout_ms + 1)
        await server.callers.close_expired()
        assert not server.ends
        await server.dispatcher.release('/a', '/b')
        await read_until(sock, b'/b')
        await until(lambda: not server.callers.pending_count)
        server.clock.advance(by_ms=LIMITS.idle_timeout_ms + 1)
        await server.callers.close_expired()
        assert await sock.recv(1) == b''
        await until(lambda: not len(server.callers))
    assert server.ends == [CloseReason.idle]


@on_curio
async def test_incomplete_head_does_not_end_the_requests_before_it():
    async with running_server() as server:
        sock = await server.send('/a', '/b', rest=b'GET /c HTTP/1.1\r\n')
        server.clock.advance(by_ms=LIMITS.head_timeout_ms + 1)
        await server.callers.close_expired()
        assert not server.ends
        await server.dispatcher.release('/a', '/b')
        await read_until(sock, b'/b')
        await until(lambda: server.callers.pending_count == 1)
        await server.callers.close_expired()
        await until(lambda: not len(server.callers))
    assert server.ends == [CloseReason.slow_head]


@on_curio
async def test_request_that_arrives_as_its_connection_is_closed_never_starts():
    """The caller takes it as not read, so it may be sent again."""
    async with running_server() as server:
        sock = await server.send('/a', '/b')
        await server.dispatcher.release('/a', '/b')
        await read_until(sock, b'/b')
        await until(lambda: not server.callers.pending_count)
        await server.callers.close_idle()
        sock._socket.send(requests('/c'))
        await until(lambda: not len(server.callers))
    assert server.dispatcher.started == ['/a', '/b']


@on_curio
async def test_planned_stop_waits_for_all_pipelined_requests():
    async with running_server() as server:
        sock = await server.send('/a', '/b')
        stop = await curio.spawn(server.callers.finish)
        await curio.sleep(0.05)
        await server.dispatcher.release('/b', '/a')
        answered = await read_until(sock, b'/b')
        await stop.join()
    assert answered.count(b'HTTP/1.1 200') == 2


@on_curio
async def test_caller_that_stops_reading_is_disconnected():
    async with running_server() as server:
        sock = await server.send('/a', '/b')
        exchange = next(
            iter(server.callers._connections_by_number.values())
        ).exchange
        # As in a write that waits for the caller.
        exchange.waiting_since = server.clock.now()
        server.clock.advance(by_ms=60_000)
        await server.callers.close_expired()
        await until(lambda: not len(server.callers))
        await sock.close()
    assert server.ends == [CloseReason.stalled]
