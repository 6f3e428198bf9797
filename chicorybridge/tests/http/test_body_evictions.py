"""What happens to a request that is evicted for lack of memory."""

import socket

import curio
import pytest

from chicorybridge.common.clocks import ManualClock
from chicorybridge.common.errors import ErrorCode, RequestError
from chicorybridge.http.bodies import CallerError, RequestBody
from chicorybridge.http.byte_budgets import ByteBudget, HeldKind
from chicorybridge.http.caller_exchanges import CallerExchange
from chicorybridge.http.pipelines import Pipeline
from chicorybridge.tests.hosts.deployments import on_curio

HEAD = b'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1000\r\n\r\n'
LIMIT = 1_000_000


class Caller:
    """A caller that sent a head and the first byte of a body."""

    def __init__(self) -> None:
        """Open a connection whose bytes count towards a budget."""
        accepted, other = socket.socketpair()
        self.sock = other
        self.sock.sendall(HEAD)
        self.clock = ManualClock()
        self.budget = ByteBudget(size_bytes=LIMIT, clock=self.clock)
        self.exchange = CallerExchange(
            sock=curio.io.Socket(accepted), clock=self.clock
        )
        self.exchange.count_towards(self.budget, HeldKind.connection)

    async def read_body(self) -> RequestBody:
        """Return the body after its head was read."""
        head = await self.exchange.next_request()
        assert head is not None
        return RequestBody(
            exchange=self.exchange,
            head=head,
            max_bytes=1000,
            clock=self.clock,
        )

    def fill(self) -> None:
        """Hold more for others than the budget allows."""
        other = self.budget.open(kind=HeldKind.target, evict=None)
        other.set_bytes(LIMIT)


async def _read_until_evicted(caller: Caller, *, stopped_ms: float) -> None:
    body = await caller.read_body()
    caller.sock.sendall(b'a')
    reading = await curio.spawn(body.read_ahead)
    await curio.sleep(0.01)
    caller.clock.advance(by_ms=stopped_ms)
    caller.fill()
    try:
        await reading.join()
    except curio.TaskError as error:
        assert error.__cause__ is not None
        raise error.__cause__ from None


@pytest.mark.parametrize(
    ('stopped_ms', 'code'),
    [(5000, ErrorCode.body_timeout), (10, ErrorCode.overloaded)],
)
@on_curio
async def test_evicted_body_is_refused_as_not_run(stopped_ms, code):
    """Both codes guarantee that the request has not run."""
    with pytest.raises(RequestError) as raised:
        await _read_until_evicted(Caller(), stopped_ms=stopped_ms)
    assert raised.value.code is code


@on_curio
async def test_evicted_waiting_request_holds_and_sends_no_body():
    caller = Caller()
    body = await caller.read_body()
    caller.sock.sendall(b'a' * 1000)
    await body.read_ahead()
    caller.fill()
    assert body.is_evicted
    assert not body.buffered
    with pytest.raises(RequestError):
        body.check_held()


@on_curio
async def test_connection_of_a_running_request_is_closed():
    """Its body stays whole: the target may still be reading it."""
    caller = Caller()
    body = await caller.read_body()
    caller.sock.sendall(b'a' * 1000)
    await body.read_ahead()
    body.start_sending()
    caller.fill()
    assert not body.is_evicted
    assert body.buffered == b'a' * 1000
    assert not caller.sock.recv(1)


@on_curio
async def test_streamed_body_of_a_closed_connection_does_not_seem_complete():
    caller = Caller()
    body = await caller.read_body()
    body.start_sending()
    caller.fill()
    with pytest.raises(CallerError):
        await body.next_chunk()


@on_curio
async def test_answer_that_is_not_read_is_evicted():
    """A caller that reads nothing must not hold the memory of others."""
    caller = Caller()
    body = await caller.read_body()
    body.start_sending()
    answer = b'a' * (LIMIT // 20)
    headers = [(b'content-length', b'%d' % (10 * len(answer)))]
    await caller.exchange.send_head(status=200, headers=headers)
    sending = await curio.spawn(_send_repeatedly, caller.exchange, answer)
    await curio.sleep(0.01)
    caller.clock.advance(by_ms=5000)
    assert not sending.terminated
    caller.fill()
    await sending.wait()
    assert sending.exception


async def _send_repeatedly(exchange: CallerExchange, answer: bytes) -> None:
    for _ in range(10):
        await exchange.send_chunk(answer)


@on_curio
async def test_answer_that_waits_for_its_turn_is_counted():
    """Answers of pipelined requests wait in memory for a slow first one."""
    caller = Caller()
    await caller.exchange.next_request()
    later = caller.exchange.successor()
    before = caller.budget.held_bytes
    caller.sock.sendall(HEAD)
    await later.next_request()
    answer = b'a' * 5000
    sending = await curio.spawn(_answer, later, answer)
    await curio.sleep(0.01)
    assert caller.budget.held_bytes == before + len(answer)
    await later.turn.take()
    await sending.join()
    assert caller.budget.held_bytes == before


async def _answer(exchange: CallerExchange, answer: bytes) -> None:
    await exchange.answer(status=200, headers=[], body=answer)


@on_curio
async def test_connection_with_a_pipelined_request_is_not_closed_as_idle():
    """The first request is answered; a later one runs at a target."""
    caller = Caller()
    await caller.exchange.next_request()
    later = caller.exchange.successor()
    later.in_request = True
    caller.exchange.in_request = False
    caller.exchange.turn.pipeline = Pipeline(first=later)
    caller.fill()
    caller.sock.sendall(b'a')
    assert await caller.exchange.sock.recv(1)


@on_curio
async def test_closed_request_and_connection_count_nothing():
    caller = Caller()
    body = await caller.read_body()
    assert caller.budget.held_bytes > 0
    body.close()
    await caller.exchange.close()
    assert caller.budget.held_bytes == 0
