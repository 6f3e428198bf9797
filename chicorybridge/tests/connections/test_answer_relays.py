"""Answers that are read from their target faster than by their caller."""

import socket

import curio
import pytest

from chicorybridge.common.clocks import Clock
from chicorybridge.common.errors import ErrorCode
from chicorybridge.http import settings
from chicorybridge.http.answer_relays import AnswerRelay
from chicorybridge.http.bodies import CallerError
from chicorybridge.http.byte_budgets import ByteBudget, HeldKind
from chicorybridge.http.exchanges import ExchangeError
from chicorybridge.http.turns import Turn
from chicorybridge.tests.hosts.deployments import on_curio, until

CHUNK = bytes(65_536)
BUDGET_BYTES = 10_000_000


class HeldCaller:
    """A caller that reads a chunk each time the test lets it."""

    def __init__(self) -> None:
        """Start with nothing sent."""
        self.sent: list[bytes] = []
        self.status = 0
        self.finished = False
        self.error: Exception | None = None
        self.readable = curio.Semaphore(0)
        self.turn = Turn()
        self.budget = ByteBudget(size_bytes=BUDGET_BYTES, clock=Clock())
        near, far = socket.socketpair()
        self.sock = curio.io.Socket(near)
        self.far = curio.io.Socket(far)

    async def send_head(self, *, status, headers) -> None:
        """Record the head."""
        self.status = status

    async def send_chunk(self, chunk: bytes) -> None:
        """Record a chunk once the test lets it be read."""
        await self.readable.acquire()
        if self.error is not None:
            raise self.error
        self.sent.append(chunk)

    async def finish(self) -> None:
        """Record the end."""
        self.finished = True


async def _started(caller) -> AnswerRelay:
    relay = AnswerRelay(caller=caller)
    await relay.start(status=200, headers=[])
    return relay


async def _add_forever(relay: AnswerRelay, added: list[bytes]) -> None:
    while True:
        await relay.add(CHUNK)
        added.append(CHUNK)


@on_curio
async def test_answer_below_the_limit_is_taken_from_its_target_at_once():
    caller = HeldCaller()
    relay = await _started(caller)
    chunks = [b'a' * 1000, b'b' * 400_000, b'c']
    for chunk in chunks:
        await relay.add(chunk)
    assert not caller.sent
    finishing = await curio.spawn(relay.finish)
    for _ in chunks:
        await caller.readable.release()
    await finishing.join()
    assert (caller.status, caller.sent, caller.finished) == (200, chunks, True)


@on_curio
async def test_target_waits_for_the_caller_at_the_limit():
    """Or an answer without end would fill the memory."""
    caller = HeldCaller()
    relay = await _started(caller)
    added: list[bytes] = []
    adding = await curio.spawn(_add_forever, relay, added)
    await until(lambda: relay.waiting_for_caller)
    count = len(added)
    # One of them is being sent.
    assert count == settings.MAX_HELD_ANSWER_BYTES // len(CHUNK) + 1
    assert caller.budget.held_bytes > settings.MAX_HELD_ANSWER_BYTES
    await caller.readable.release()
    await until(lambda: len(added) == count + 1)
    await adding.cancel()
    await relay.stop()
    assert not caller.finished
    assert not caller.budget.held_bytes


@on_curio
async def test_nothing_more_is_read_when_much_of_the_budget_is_used():
    caller = HeldCaller()
    other = caller.budget.open(kind=HeldKind.running, evict=None)
    other.set_bytes(BUDGET_BYTES * 3 // 4)
    relay = await _started(caller)
    added: list[bytes] = []
    adding = await curio.spawn(_add_forever, relay, added)
    await until(lambda: relay.waiting_for_caller)
    assert len(added) == 1
    await adding.cancel()
    await relay.stop()


@on_curio
async def test_held_answer_is_evicted_when_the_budget_is_exceeded():
    """The caller makes no progress, so its connection is closed."""
    caller = HeldCaller()
    relay = await _started(caller)
    await relay.add(CHUNK)
    await relay.add(CHUNK)
    other = caller.budget.open(kind=HeldKind.running, evict=None)
    other.set_bytes(BUDGET_BYTES)
    async with curio.timeout_after(1):
        assert await caller.far.recv(1) == b''
    assert caller.budget.held_bytes == BUDGET_BYTES
    await relay.stop()


@pytest.mark.parametrize('is_full', [False, True])
@on_curio
async def test_caller_that_disconnects_ends_the_relay(is_full):
    caller = HeldCaller()
    caller.error = ExchangeError(code=ErrorCode.stream_closed, detail='reset')
    relay = await _started(caller)
    await relay.add(CHUNK)
    adding = await curio.spawn(_add_forever, relay, [])
    if is_full:
        await until(lambda: relay.waiting_for_caller)
    await caller.readable.release()
    await until(lambda: adding.terminated)
    assert isinstance(adding.exception, CallerError)
    with pytest.raises(CallerError):
        await relay.finish()


@on_curio
async def test_stopped_relay_never_looks_complete():
    caller = HeldCaller()
    relay = await _started(caller)
    await relay.add(CHUNK)
    await relay.stop()
    await caller.readable.release()
    await curio.sleep(0.02)
    assert not caller.finished
