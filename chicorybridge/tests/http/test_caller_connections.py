"""Connections that are closed while a request or an answer is in transit."""

import contextlib
import dataclasses
import socket
from collections.abc import AsyncIterator, Callable
from typing import Any

import curio
import h11

from chicorybridge import settings
from chicorybridge.common import sockets
from chicorybridge.common.clocks import ManualClock
from chicorybridge.common.errors import RequestError
from chicorybridge.common.outcomes import RequestOutcome
from chicorybridge.http.caller_connections import CallerConnections
from chicorybridge.http.close_reasons import CloseReason
from chicorybridge.http.caller_exchanges import CallerExchange
from chicorybridge.http.caller_limits import CallerLimits
from chicorybridge.http.exchanges import Head
from chicorybridge.tests.event_logs import event_log
from chicorybridge.tests.hosts.deployments import on_curio, until

REQUEST = b'GET /lookup/7 HTTP/1.1\r\nHost: quotes.example\r\n\r\n'
IDLE_MS = 15_000
TIMEOUT_S = 2


@dataclasses.dataclass(kw_only=True)
class SlowDispatcher:
    """Answers every request after a delay."""

    body: bytes = b'done'
    delay_s: float = 0.05
    request_count: int = 0

    async def answer(self, exchange: CallerExchange, head: Head) -> None:
        """Answer after the delay."""
        self.request_count += 1
        await curio.sleep(self.delay_s)
        length = str(len(self.body)).encode()
        await exchange.answer(
            status=200, headers=[(b'content-length', length)], body=self.body
        )

    async def refuse(
        self,
        exchange: CallerExchange,
        error: RequestError,
        outcome: RequestOutcome,
    ) -> None:
        """Answer a malformed request with status 400."""
        await exchange.answer(
            status=400, headers=[(b'content-length', b'0')], body=b''
        )


@dataclasses.dataclass(kw_only=True)
class Server:
    """Connections from callers on loopback and the clock that they use."""

    callers: CallerConnections
    clock: ManualClock
    address: str
    dispatcher: SlowDispatcher
    limits: CallerLimits
    # Called with the reason for each connection that is closed.
    on_connection_end: Callable[[CloseReason], None] = lambda reason: None

    async def connect(self, *, receive_bytes: int = 0) -> curio.io.Socket:
        """Open a connection and wait until the server reads from it.

        `receive_bytes` is the size of the receive buffer of the caller.
        """
        sock = curio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        if receive_bytes:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
        await sock.connect(sockets.split_address(self.address))
        connections = self.callers._connections_by_number
        await until(
            lambda: any(
                connection.exchange.waiting_since is not None
                for connection in connections.values()
            )
        )
        return sock

    async def send_now(self, sock: curio.io.Socket, data: bytes = b'') -> None:
        """Send bytes and return before the task of the connection reads them.

        The task runs in the same turn of the event loop, after the caller
        of this method.
        """
        sock._socket.send(data or REQUEST)
        await curio.sleep(0)


@contextlib.asynccontextmanager
async def running_server(dispatcher: SlowDispatcher) -> AsyncIterator[Server]:
    """Run connections whose requests `dispatcher` answers."""
    clock = ManualClock()
    listener = sockets.listen('127.0.0.1:0')
    server = Server(
        callers=CallerConnections(
            clock=clock,
            log=event_log(clock, process='host'),
            dispatcher=dispatcher,
            answer_locally=_answer_nothing,
            on_connection_end=lambda reason: server.on_connection_end(reason),
            limits=lambda: server.limits,
        ),
        clock=clock,
        address=sockets.bound_address(listener),
        dispatcher=dispatcher,
        limits=CallerLimits(idle_timeout_ms=IDLE_MS),
    )
    running = await curio.spawn(server.callers.run, listener)
    try:
        yield server
    finally:
        await running.cancel()


async def _answer_nothing(exchange: CallerExchange, head: Head) -> bool:
    return False


async def _receive_answer(sock: curio.io.Socket) -> bytes | None:
    """Return the body of one answer, `None` if it was incomplete."""
    protocol = h11.Connection(our_role=h11.CLIENT)
    protocol.send(h11.Request(method='GET', target='/', headers=[('host', '')]))
    protocol.send(h11.EndOfMessage())
    body = b''
    event = protocol.next_event()
    async with curio.timeout_after(TIMEOUT_S):
        while not isinstance(event, h11.EndOfMessage | h11.ConnectionClosed):
            if event is h11.NEED_DATA:
                protocol.receive_data(await _receive(sock))
            if isinstance(event, h11.Data):
                body += event.data
            event = _next_event(protocol)
    return body if isinstance(event, h11.EndOfMessage) else None


async def _receive(sock: curio.io.Socket) -> bytes:
    try:
        return await sock.recv(settings.RECEIVE_BYTES)
    except OSError:
        return b''


def _next_event(protocol: h11.Connection) -> Any:
    try:
        return protocol.next_event()
    except h11.RemoteProtocolError:
        return h11.ConnectionClosed()


@on_curio
async def test_request_that_arrives_at_the_idle_timeout_is_answered():
    async with running_server(SlowDispatcher()) as server:
        sock = await server.connect()
        server.clock.advance(by_ms=IDLE_MS + 1)
        await server.send_now(sock)
        await server.callers.close_expired()
        assert await _receive_answer(sock) == b'done'
        assert server.dispatcher.request_count == 1


@on_curio
async def test_request_that_arrives_at_a_planned_stop_is_answered():
    async with running_server(SlowDispatcher()) as server:
        sock = await server.connect()
        await server.send_now(sock)
        await server.callers.close_idle()
        assert await _receive_answer(sock) == b'done'
        assert server.dispatcher.request_count == 1


@on_curio
async def test_head_that_is_completed_at_its_timeout_is_answered():
    async with running_server(SlowDispatcher()) as server:
        sock = await server.connect()
        await sock.sendall(REQUEST[:-2])
        await curio.sleep(0.05)
        server.clock.advance(by_ms=server.limits.head_timeout_ms + 1)
        await server.send_now(sock, REQUEST[-2:])
        await server.callers.close_expired()
        assert await _receive_answer(sock) == b'done'


@on_curio
async def test_closing_a_connection_keeps_an_answer_in_transit():
    # Larger than the receive buffer of the caller.
    body = b'a' * 40_000
    async with running_server(SlowDispatcher(body=body, delay_s=0)) as server:
        sock = await server.connect(receive_bytes=4096)
        await sock.sendall(REQUEST)
        await curio.sleep(0.05)
        await server.callers.close_idle()
        await until(lambda: not len(server.callers))
        assert await _receive_answer(sock) == body


@on_curio
async def test_idle_connection_is_closed_at_the_idle_timeout():
    async with running_server(SlowDispatcher()) as server:
        sock = await server.connect()
        server.clock.advance(by_ms=IDLE_MS + 1)
        await server.callers.close_expired()
        assert await sock.recv(1) == b''
        await until(lambda: not len(server.callers))


@on_curio
async def test_planned_stop_waits_for_incomplete_requests():
    async with running_server(SlowDispatcher()) as server:
        sock = await server.connect()
        await sock.sendall(REQUEST[:-2])
        await curio.sleep(0.05)
        stop = await curio.spawn(server.callers.finish)
        await curio.sleep(0.05)
        await sock.sendall(REQUEST[-2:])
        assert await _receive_answer(sock) == b'done'
        await stop.join()
        assert len(server.callers) == 0


@on_curio
async def test_planned_stop_ends_in_time_despite_incomplete_requests():
    async with running_server(SlowDispatcher()) as server:
        sock = await server.connect()
        await sock.sendall(REQUEST[:-2])
        await curio.sleep(0.05)
        async with curio.timeout_after(TIMEOUT_S):
            await server.callers.finish(ends_at=server.clock.now())
        assert len(server.callers) == 1


@on_curio
async def test_shorter_idle_timeout_does_not_count_earlier_idle_time():
    async with running_server(SlowDispatcher()) as server:
        sock = await server.connect()
        server.clock.advance(by_ms=IDLE_MS / 2)
        await server.callers.close_expired()
        server.limits = CallerLimits(idle_timeout_ms=IDLE_MS // 3)
        await server.callers.close_expired()
        await sock.sendall(REQUEST)
        assert await _receive_answer(sock) == b'done'
        server.clock.advance(by_ms=IDLE_MS / 3 + 1)
        await server.callers.close_expired()
        assert await sock.recv(1) == b''


@on_curio
async def test_idle_connections_are_closed_one_after_the_other():
    async with running_server(SlowDispatcher()) as server:
        socks = [await server.connect() for _ in range(3)]
        await curio.sleep(0.05)
        closed: list[int] = []
        server.on_connection_end = lambda reason: closed.append(
            sum(sockets.is_closed(sock) for sock in socks)
        )
        await server.callers.close_idle()
    assert closed == [0, 1, 2]


@on_curio
async def test_request_in_the_listener_backlog_survives_a_planned_stop():
    async with running_server(SlowDispatcher()) as server:
        address = sockets.split_address(server.address)
        await until(lambda: server.callers._accept_task)
        await curio.sleep(0)
        socks = [socket.create_connection(address) for _ in range(3)]
        for sock in socks:
            sock.sendall(REQUEST)
        await server.callers.finish()
        answers = [
            await _receive_answer(curio.io.Socket(client)) for client in socks
        ]
    assert answers == [b'done'] * 3
