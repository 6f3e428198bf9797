"""Which holdings are evicted when a process holds too many bytes."""

import math

import pytest

from chicorybridge.common.clocks import ManualClock
from chicorybridge.http.byte_budgets import (
    ByteBudget,
    Eviction,
    HeldKind,
    Holding,
    budget_bytes,
)
from chicorybridge.http.settings import DEFAULT_MEMORY_MB

SIZE = 1000


class Holders:
    """Holdings with names, and the names of those that were evicted."""

    def __init__(self, *, refusing: str = '') -> None:
        """The holding `refusing` can't be evicted now."""
        self.clock = ManualClock()
        self.evictions: list[Eviction] = []
        self.evicted: list[str] = []
        self.budget = ByteBudget(
            size_bytes=SIZE,
            clock=self.clock,
            on_eviction=self.evictions.append,
        )
        self._refusing = refusing

    def open(self, name: str, kind: HeldKind, count: int = 0) -> Holding:
        """Open a holding of `count` bytes."""
        holding = self.budget.open(kind=kind, evict=lambda: self._evict(name))
        holding.set_bytes(count)
        return holding

    def _evict(self, name: str) -> bool:
        if name == self._refusing:
            return False
        self.evicted.append(name)
        return True


def test_nothing_is_evicted_within_the_limit():
    holders = Holders()
    holders.open('a', HeldKind.body, SIZE)
    assert holders.budget.held_bytes == SIZE
    assert not holders.evicted


def test_body_that_stopped_longest_is_evicted_first():
    """A crowd that stops short of the end must not cost other callers."""
    holders = Holders()
    holders.open('first', HeldKind.body, 200)
    holders.clock.advance(by_ms=1000)
    holders.open('second', HeldKind.body, 400)
    holders.clock.advance(by_ms=1000)
    holders.open('moving', HeldKind.body, 300)
    holders.open('new', HeldKind.body, 150)
    assert holders.evicted == ['first']


def test_larger_of_two_bodies_that_progress_is_evicted():
    holders = Holders()
    holders.open('small', HeldKind.body, 10)
    holders.open('large', HeldKind.body, 500)
    holders.open('middle', HeldKind.body, 491)
    assert holders.evicted == ['large']


def test_progress_protects_a_body():
    holders = Holders()
    moving = holders.open('moving', HeldKind.body, 600)
    holders.open('stopped', HeldKind.body, 300)
    holders.clock.advance(by_ms=5000)
    moving.touch()
    holders.open('new', HeldKind.body, 200)
    assert holders.evicted == ['stopped']


def test_running_request_is_evicted_last():
    holders = Holders()
    holders.open('running', HeldKind.running, 700)
    holders.clock.advance(by_ms=9000)
    holders.open('waiting', HeldKind.waiting, 200)
    holders.open('idle', HeldKind.connection, 50)
    holders.open('unread', HeldKind.answer, 40)
    holders.open('new', HeldKind.body, 11)
    assert holders.evicted == ['new']
    holders.open('running too', HeldKind.running, 300)
    assert holders.evicted[1:] == ['waiting', 'idle', 'unread']
    holders.open('running as well', HeldKind.running, 1)
    assert holders.evicted[4:] == ['running']


def test_unread_answer_goes_before_a_body_that_progresses():
    holders = Holders()
    holders.open('unread', HeldKind.answer, 500)
    holders.clock.advance(by_ms=2000)
    holders.open('body', HeldKind.body, 600)
    assert holders.evicted == ['unread']


def test_holding_that_can_not_be_evicted_now_stays():
    holders = Holders(refusing='connection')
    holders.open('connection', HeldKind.connection, 600)
    holders.clock.advance(by_ms=2000)
    holders.open('running', HeldKind.running, 500)
    assert holders.evicted == ['running']
    assert holders.budget.held_bytes == 600


def test_search_that_found_nothing_is_not_repeated_for_each_byte():
    """Sorting all holdings for each chunk would take all processor time."""
    holders = Holders(refusing='stuck')
    stuck = holders.open('stuck', HeldKind.running, SIZE + 1)
    above = holders.budget.search_above
    assert above > SIZE + 1
    stuck.set_bytes(SIZE + 2)
    assert holders.budget.search_above == above
    stuck.close()
    assert holders.budget.search_above == SIZE


def test_evicted_or_closed_holding_counts_nothing():
    holders = Holders()
    evicted = holders.open('evicted', HeldKind.body, 2 * SIZE)
    closed = holders.open('closed', HeldKind.body, 10)
    closed.close()
    for holding in (evicted, closed):
        holding.set_bytes(100)
        holding.touch()
        holding.close()
    assert holders.budget.held_bytes == 0


def test_eviction_tells_what_decided():
    holders = Holders()
    holders.open('a', HeldKind.body, 900)
    holders.clock.advance(by_ms=1500)
    holders.open('b', HeldKind.waiting, 200)
    assert holders.evictions == [
        Eviction(
            kind=HeldKind.body,
            count=900,
            waited_ms=1500,
            held_bytes=1100,
            size_bytes=SIZE,
        )
    ]


@pytest.mark.parametrize(('memory_mb', 'expected'), [(200, 60_000_000)])
def test_budget_is_a_share_of_the_memory(memory_mb, expected):
    assert budget_bytes(memory_mb) == expected


def test_default_budget_holds_a_large_body_for_each_connection():
    """No caller within the limits is refused where memory is not known."""
    per_caller = 590_000
    assert budget_bytes(0) == budget_bytes(DEFAULT_MEMORY_MB)
    assert budget_bytes(0) > 2000 * per_caller


def test_unlimited_budget_keeps_no_owner_alive():
    budget = ByteBudget(size_bytes=math.inf, clock=ManualClock())
    holding = budget.open(kind=HeldKind.body, evict=lambda: True)
    holding.set_bytes(10**12)
    assert holding.evict is None
