"""Connections to targets, kept for reuse while they are surely clean."""

from collections import deque

import curio

from chicorybridge import settings
from chicorybridge.common import sockets
from chicorybridge.common.clocks import Clock, as_seconds
from chicorybridge.http.target_exchanges import TargetExchange


class TargetConnections:
    """Open, lend and retire the connections of this process."""

    def __init__(self, *, clock: Clock, unframed: bool = False) -> None:
        """Start without connections.

        With `unframed`, answers may end with their connection.
        """
        self._clock = clock
        self._unframed = unframed
        self._idle_by_address: dict[str, deque[TargetExchange]] = {}
        self._open_by_address: dict[str, int] = {}

    def open_at(self, address: str) -> int:
        """Return how many connections to `address` are open."""
        return self._open_by_address.get(address, 0)

    def idle_at(self, address: str) -> int:
        """Return how many connections to `address` are idle."""
        return len(self._idle_by_address.get(address, ()))

    async def take(
        self,
        address: str,
        *,
        max_idle_ms: float,
        connect_ms: float = settings.CONNECT_TIMEOUT_MS,
    ) -> TargetExchange:
        """Return an idle connection, or open one.

        Raise `OSError`, or `curio.TaskTimeout` after `connect_ms`.

        One that was idle for longer than `max_idle_ms` is not lent: it
        may have gone silent without a sign.
        """
        idle = self._idle_by_address.get(address)
        while idle:
            exchange = idle.pop()
            if self._is_clean(exchange, max_idle_ms):
                return exchange
            await self.drop(exchange)
        return await self._open(address, connect_ms)

    async def give_back(self, exchange: TargetExchange) -> None:
        """Keep a connection whose exchange is over, if it is reusable."""
        if not exchange.next_cycle():
            await self.drop(exchange)
            return
        idle = self._idle_by_address.setdefault(exchange.address, deque())
        idle.append(exchange)

    async def drop(self, exchange: TargetExchange) -> None:
        """Reset a connection that must not be used again."""
        self._forget(exchange.address)
        await exchange.abort()

    async def retire(self) -> None:
        """Close what is old, idle too long or not clean; run each tick."""
        for address, idle in tuple(self._idle_by_address.items()):
            stale = [one for one in idle if self._is_stale(one)]
            for exchange in stale:
                idle.remove(exchange)
                await self.drop(exchange)
            if not idle:
                self._idle_by_address.pop(address, None)

    async def close(self) -> None:
        """Close all idle connections."""
        for idle in self._idle_by_address.values():
            while idle:
                await self.drop(idle.pop())

    async def _open(self, address: str, connect_ms: float) -> TargetExchange:
        self._open_by_address[address] = self.open_at(address) + 1
        try:
            async with curio.timeout_after(as_seconds(connect_ms)):
                sock = await sockets.connect(address)
        except BaseException:
            self._forget(address)
            raise
        sockets.set_unacknowledged_timeout(sock)
        return TargetExchange(
            sock=sock,
            clock=self._clock,
            address=address,
            unframed=self._unframed,
        )

    def _forget(self, address: str) -> None:
        left = self._open_by_address[address] - 1
        if left:
            self._open_by_address[address] = left
            return
        self._open_by_address.pop(address)

    def _is_clean(self, exchange: TargetExchange, max_idle_ms: float) -> bool:
        if self._clock.now() - exchange.idle_since > max_idle_ms:
            return False
        return sockets.is_idle(exchange.sock)

    def _is_stale(self, exchange: TargetExchange) -> bool:
        if (
            self._clock.now() - exchange.opened_at
            > settings.MAX_CONNECTION_AGE_MS
        ):
            return True
        # A target may send on after an answer until the connection is closed.
        return not self._is_clean(exchange, settings.MAX_CONNECTION_IDLE_MS)
