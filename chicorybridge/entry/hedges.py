"""Giving up a slow target for another one that would take the request."""

from collections.abc import Callable

import curio

from chicorybridge import settings
from chicorybridge.common.clocks import as_seconds
from chicorybridge.entry.calls import Call
from chicorybridge.http.target_exchanges import TargetExchange


class Hedge:
    """Break an attempt off once it is slow and another one may be made.

    An answer that is being relayed is left to its end.
    """

    def __init__(
        self, *, call: Call, after_ms: float, may_hedge: Callable[[], bool]
    ) -> None:
        """Ask `may_hedge` from `after_ms` on until it returns true."""
        self._call = call
        self._after_ms = after_ms
        self._may_hedge = may_hedge
        self._watch_task: curio.Task | None = None
        self._stopped = False

    async def start(self, exchange: TargetExchange) -> None:
        """Watch an attempt that has been sent on `exchange`."""
        self._watch_task = await curio.spawn(self._watch(exchange), daemon=True)

    async def stop(self) -> None:
        """Leave the connection alone from now on."""
        self._stopped = True
        if self._watch_task is not None:
            await self._watch_task.cancel(blocking=False)

    async def _watch(self, exchange: TargetExchange) -> None:
        await curio.sleep(as_seconds(self._after_ms))
        # A task that is ready to run does so after it was cancelled.
        while not (self._stopped or self._call.committed):
            if self._may_hedge():
                await exchange.break_off()
                return
            await curio.sleep(as_seconds(settings.TICK_MS))
