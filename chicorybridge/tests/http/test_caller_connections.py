"""Connections of callers whose ending meets a request or an answer."""

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
WITHIN_S = 2


@dataclasses.dataclass(kw_only=True)
class Answerer:
    """Answers every request, after having worked on it."""

    body: bytes = b'done'
    work_s: float = 0.05
    begun: int = 0

    async def answer(self, exchange: CallerExchange, head: Head) -> None:
        """Work, then answer."""
        self.begun += 1
        await curio.sleep(self.work_s)
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
        """Answer a request that could not be read."""
        await exchange.answer(
            status=400, headers=[(b'content-length', b'0')], body=b''
        )


@dataclasses.dataclass(kw_only=True)
class Table:
    """A table of callers on loopback, and the clock that it goes by."""

    callers: CallerConnections
    clock: ManualClock
    address: str
    answerer: Answerer
    limits: CallerLimits
    # Called with each reason for which a connection is ended.
    on_connection_end: Callable[[CloseReason], None] = lambda reason: None

    async def connect(self, *, receive_bytes: int = 0) -> curio.io.Socket:
        """Open a connection and return once the table waits for requests.

        `receive_bytes` bounds what arrives before it is read.
        """
        sock = curio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        if receive_bytes:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
        await sock.connect(sockets.split_address(self.address))
        connections = self.callers._connections_by_number
        await until(
            lambda: any(
                one.exchange.waiting_since is not None
                for one in connections.values()
            )
        )
        return sock

    async def arrive(self, sock: curio.io.Socket, data: bytes = b'') -> None:
        """Return when bytes have come that the waiting task is to read next.

        The task is due in the same turn of the loop, after the caller of
        this method.
        """
        sock._socket.send(data or REQUEST)
        await curio.sleep(0)


@contextlib.asynccontextmanager
async def table(answerer: Answerer) -> AsyncIterator[Table]:
    """Run a table whose connections are answered by `answerer`."""
    clock = ManualClock()
    listener = sockets.listen('127.0.0.1:0')
    given = Table(
        callers=CallerConnections(
            clock=clock,
            log=event_log(clock, process='host'),
            dispatcher=answerer,
            answer_locally=_leave,
            on_connection_end=lambda reason: given.on_connection_end(reason),
            limits=lambda: given.limits,
        ),
        clock=clock,
        address=sockets.bound_address(listener),
        answerer=answerer,
        limits=CallerLimits(idle_timeout_ms=IDLE_MS),
    )
    running = await curio.spawn(given.callers.run, listener)
    try:
        yield given
    finally:
        await running.cancel()


async def _leave(exchange: CallerExchange, head: Head) -> bool:
    return False


async def _answer_on(sock: curio.io.Socket) -> bytes | None:
    """Return the body of one whole answer, `None` if it did not come."""
    protocol = h11.Connection(our_role=h11.CLIENT)
    protocol.send(h11.Request(method='GET', target='/', headers=[('host', '')]))
    protocol.send(h11.EndOfMessage())
    body = b''
    event = protocol.next_event()
    async with curio.timeout_after(WITHIN_S):
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
async def test_request_that_meets_the_idle_limit_is_answered_if_it_was_read():
    async with table(Answerer()) as plane:
        sock = await plane.connect()
        plane.clock.advance(by_ms=IDLE_MS + 1)
        await plane.arrive(sock)
        await plane.callers.sweep()
        assert await _answer_on(sock) == b'done'
        assert plane.answerer.begun == 1


@on_curio
async def test_request_that_meets_a_planned_stop_is_answered_if_it_was_read():
    async with table(Answerer()) as plane:
        sock = await plane.connect()
        await plane.arrive(sock)
        await plane.callers.close_idle()
        assert await _answer_on(sock) == b'done'
        assert plane.answerer.begun == 1


@on_curio
async def test_head_that_ends_at_its_limit_is_answered_if_it_was_read():
    async with table(Answerer()) as plane:
        sock = await plane.connect()
        await sock.sendall(REQUEST[:-2])
        await curio.sleep(0.05)
        plane.clock.advance(by_ms=plane.limits.head_timeout_ms + 1)
        await plane.arrive(sock, REQUEST[-2:])
        await plane.callers.sweep()
        assert await _answer_on(sock) == b'done'


@on_curio
async def test_answer_on_its_way_survives_the_end_of_its_connection():
    # More than the caller takes before it reads.
    body = b'a' * 40_000
    async with table(Answerer(body=body, work_s=0)) as plane:
        sock = await plane.connect(receive_bytes=4096)
        await sock.sendall(REQUEST)
        await curio.sleep(0.05)
        await plane.callers.close_idle()
        await until(lambda: not len(plane.callers))
        assert await _answer_on(sock) == body


@on_curio
async def test_quiet_idle_connection_is_closed_at_its_limit():
    async with table(Answerer()) as plane:
        sock = await plane.connect()
        plane.clock.advance(by_ms=IDLE_MS + 1)
        await plane.callers.sweep()
        assert await sock.recv(1) == b''
        await until(lambda: not len(plane.callers))


@on_curio
async def test_planned_stop_ends_after_requests_that_are_still_arriving():
    async with table(Answerer()) as plane:
        sock = await plane.connect()
        await sock.sendall(REQUEST[:-2])
        await curio.sleep(0.05)
        stop = await curio.spawn(plane.callers.finish)
        await curio.sleep(0.05)
        await sock.sendall(REQUEST[-2:])
        assert await _answer_on(sock) == b'done'
        await stop.join()
        assert len(plane.callers) == 0


@on_curio
async def test_planned_stop_ends_in_time_whatever_is_still_arriving():
    async with table(Answerer()) as plane:
        sock = await plane.connect()
        await sock.sendall(REQUEST[:-2])
        await curio.sleep(0.05)
        async with curio.timeout_after(WITHIN_S):
            await plane.callers.finish(ends_at=plane.clock.now())
        assert len(plane.callers) == 1


@on_curio
async def test_shorter_idle_limit_ends_no_connection_before_callers_know_it():
    async with table(Answerer()) as plane:
        sock = await plane.connect()
        plane.clock.advance(by_ms=IDLE_MS / 2)
        await plane.callers.sweep()
        plane.limits = CallerLimits(idle_timeout_ms=IDLE_MS // 3)
        await plane.callers.sweep()
        await sock.sendall(REQUEST)
        assert await _answer_on(sock) == b'done'
        plane.clock.advance(by_ms=IDLE_MS / 3 + 1)
        await plane.callers.sweep()
        assert await sock.recv(1) == b''


@on_curio
async def test_idle_connection_is_closed_before_the_next_is_looked_at():
    async with table(Answerer()) as plane:
        socks = [await plane.connect() for _ in range(3)]
        await curio.sleep(0.05)
        closed: list[int] = []
        plane.on_connection_end = lambda reason: closed.append(
            sum(sockets.is_closed(sock) for sock in socks)
        )
        await plane.callers.close_idle()
    assert closed == [0, 1, 2]


@on_curio
async def test_request_that_waits_to_be_accepted_survives_a_planned_stop():
    async with table(Answerer()) as plane:
        address = sockets.split_address(plane.address)
        await until(lambda: plane.callers._accept_task)
        await curio.sleep(0)
        waiting = [socket.create_connection(address) for _ in range(3)]
        for sock in waiting:
            sock.sendall(REQUEST)
        await plane.callers.finish()
        answers = [await _answer_on(curio.io.Socket(one)) for one in waiting]
    assert answers == [b'done'] * 3
