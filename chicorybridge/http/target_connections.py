"""A pool of connections to targets."""

import itertools
from collections import deque

import curio

from chicorybridge import settings
from chicorybridge.common import sockets
from chicorybridge.common.clocks import Clock, Millis, as_seconds
from chicorybridge.http.byte_budgets import UNLIMITED, ByteBudget, HeldKind
from chicorybridge.http.target_exchanges import TargetExchange


class TargetConnections:
    """Open, reuse and close the connections of this process to targets."""

    def __init__(
        self,
        *,
        clock: Clock,
        allow_close_delimited: bool = False,
        budget: ByteBudget = UNLIMITED,
        receive_bytes: int = 0,
    ) -> None:
        """Start without connections.

        With `allow_close_delimited`, an answer without a length may end with
        its connection. What is held for targets counts towards `budget`.
        The kernel holds up to `receive_bytes` of a connection, 0 for no limit.
        """
        self._budget = budget
        self._receive_bytes = receive_bytes
        self._clock = clock
        self._allow_close_delimited = allow_close_delimited
        self._idle_by_address: dict[str, deque[TargetExchange]] = {}
        self._open_by_address: dict[str, int] = {}

    def open_count(self, address: str) -> int:
        """Return how many connections to `address` are open."""
        return self._open_by_address.get(address, 0)

    def idle_count(self, address: str) -> int:
        """Return how many connections to `address` are idle."""
        return len(self._idle_by_address.get(address, ()))

    async def acquire(
        self,
        address: str,
        *,
        max_idle_ms: float,
        connect_timeout_ms: float = settings.CONNECT_TIMEOUT_MS,
    ) -> TargetExchange:
        """Return an idle connection, or open one.

        Raise `OSError`, or `curio.TaskTimeout` after `connect_timeout_ms`.

        A connection that was idle for longer than `max_idle_ms` is not
        reused: the target may have vanished without closing it.
        """
        idle = self._idle_by_address.get(address)
        while idle:
            exchange = idle.pop()
            if self._is_reusable(exchange, max_idle_ms):
                return exchange
            await self.discard(exchange)
        return await self._open(address, connect_timeout_ms)

    async def release(self, exchange: TargetExchange) -> None:
        """Return a connection to the pool; reset it if it is not reusable."""
        if not exchange.next_cycle():
            await self.discard(exchange)
            return
        idle = self._idle_by_address.setdefault(exchange.address, deque())
        idle.append(exchange)

    async def discard(self, exchange: TargetExchange) -> None:
        """Reset a connection that must not be reused."""
        self._count_closed(exchange.address)
        await exchange.abort()

    async def close_stale(self) -> None:
        """Reset idle connections that must not be reused.

        They are too old, were idle for too long, are closed or have unread
        bytes.

        Call this on each tick.
        """
        exchanges = list(
            itertools.chain.from_iterable(self._idle_by_address.values())
        )
        # In one call for all, as most hosts have many idle connections.
        unused = sockets.idle_ones([exchange.sock for exchange in exchanges])
        now = self._clock.now()
        for exchange, is_unused in zip(exchanges, unused, strict=True):
            if is_unused and not _is_too_old(exchange, now):
                continue
            idle = self._idle_by_address.get(exchange.address, deque())
            # It may have been taken while another one was closed.
            if exchange in idle:
                idle.remove(exchange)
                await self.discard(exchange)
        for address, idle in tuple(self._idle_by_address.items()):
            if not idle:
                self._idle_by_address.pop(address, None)

    async def close(self) -> None:
        """Reset all idle connections."""
        for idle in self._idle_by_address.values():
            while idle:
                await self.discard(idle.pop())

    async def _open(
        self, address: str, connect_timeout_ms: float
    ) -> TargetExchange:
        self._open_by_address[address] = self.open_count(address) + 1
        try:
            async with curio.timeout_after(as_seconds(connect_timeout_ms)):
                sock = await sockets.connect(
                    address, receive_bytes=self._receive_bytes
                )
        except BaseException:
            self._count_closed(address)
            raise
        sockets.set_unacknowledged_timeout(sock)
        exchange = TargetExchange(
            sock=sock,
            clock=self._clock,
            address=address,
            allow_close_delimited=self._allow_close_delimited,
        )
        exchange.count_towards(self._budget, HeldKind.target)
        return exchange

    def _count_closed(self, address: str) -> None:
        remaining = self._open_by_address[address] - 1
        if remaining:
            self._open_by_address[address] = remaining
            return
        self._open_by_address.pop(address)

    def _is_reusable(
        self, exchange: TargetExchange, max_idle_ms: float
    ) -> bool:
        if self._clock.now() - exchange.idle_since > max_idle_ms:
            return False
        return sockets.is_idle(exchange.sock)


def _is_too_old(exchange: TargetExchange, now: Millis) -> bool:
    if now - exchange.opened_at > settings.MAX_CONNECTION_AGE_MS:
        return True
    return now - exchange.idle_since > settings.MAX_CONNECTION_IDLE_MS
