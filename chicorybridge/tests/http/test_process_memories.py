"""What a process does when it holds too much, and with kernel buffers."""

import socket

import pytest

from chicorybridge.common import sockets
from chicorybridge.common.clocks import ManualClock
from chicorybridge.common.events import EventKind, EventLog
from chicorybridge.common.identities import HostId, Incarnation
from chicorybridge.http import settings
from chicorybridge.http.byte_budgets import HeldKind
from chicorybridge.http.process_memories import ProcessMemory
from chicorybridge.tests.hosts.deployments import on_curio

MEMORY_MB = 100
LIMIT_BYTES = 30_000_000


class Machine:
    """The memory of a process with its log and count of evictions."""

    def __init__(self, *, memory_mb: float = MEMORY_MB) -> None:
        """Start with nothing held."""
        clock = ManualClock()
        self.kinds: list[HeldKind] = []
        self.log = EventLog(
            clock=clock,
            host_id=HostId('h-1'),
            process='host',
            incarnation=Incarnation(1),
        )
        self.memory = ProcessMemory(
            memory_mb=memory_mb,
            clock=clock,
            log=self.log,
            on_eviction=self.kinds.append,
        )

    def hold(self, kind: HeldKind, count: int) -> None:
        """Hold bytes that can be evicted."""
        holding = self.memory.budget.open(kind=kind, evict=lambda: True)
        holding.set_bytes(count)


def test_eviction_is_logged_with_its_cause_and_counted_by_kind():
    """Operators must find out why a connection was closed."""
    machine = Machine()
    machine.hold(HeldKind.running, LIMIT_BYTES - 10)
    machine.hold(HeldKind.body, 2_000_000)
    assert machine.kinds == [HeldKind.body]
    record = machine.log.recent()[-1]
    assert record['number'] == EventKind.memory_short.value
    expected = {
        'kind': 'body',
        'bytes': 2_000_000,
        'waited_ms': 0,
        'held_bytes': LIMIT_BYTES - 10 + 2_000_000,
        'limit_bytes': LIMIT_BYTES,
    }
    assert expected.items() <= record.items()


@pytest.mark.parametrize('memory_mb', [0, MEMORY_MB])
@on_curio
async def test_kernel_buffers_are_limited_only_if_the_memory_is_known(
    memory_mb,
):
    """Fleets without the setting keep the buffers that they had."""
    listener = sockets.listen('127.0.0.1:0')
    before = _buffers(listener)
    Machine(memory_mb=memory_mb).memory.limit_buffers(listener)
    expected = before
    if memory_mb:
        expected = (settings.KERNEL_RECEIVE_BYTES, settings.KERNEL_SEND_BYTES)
    assert _buffers(listener) == expected
    await listener.close()


@pytest.mark.parametrize('memory_mb', [0, MEMORY_MB])
@on_curio
async def test_kernel_buffer_of_a_target_is_limited_likewise(memory_mb):
    listener = sockets.listen('127.0.0.1:0')
    connections = Machine(memory_mb=memory_mb).memory.connections
    exchange = await connections.acquire(
        sockets.bound_address(listener), max_idle_ms=1000
    )
    received = exchange.sock.getsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF)
    is_limited = received == settings.KERNEL_TARGET_BYTES
    assert is_limited is bool(memory_mb)
    await connections.discard(exchange)
    await listener.close()


def _buffers(listener) -> tuple[int, int]:
    options = (socket.SO_RCVBUF, socket.SO_SNDBUF)
    received, sent = (
        listener.getsockopt(socket.SOL_SOCKET, option) for option in options
    )
    return received, sent
