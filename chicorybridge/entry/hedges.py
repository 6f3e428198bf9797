"""Hedging: abort a slow attempt, so that another target can be tried."""

from collections.abc import Callable

import curio

from chicorybridge import settings
from chicorybridge.common.tasks import is_cancelled_within
from chicorybridge.entry.calls import Call
from chicorybridge.http.target_exchanges import TargetExchange


class Hedge:
    """Abort a slow attempt once another target can take the request.

    The attempts do not run in parallel. An attempt whose answer is already
    being streamed to the caller is not aborted.
    """

    def __init__(
        self, *, call: Call, after_ms: float, may_hedge: Callable[[], bool]
    ) -> None:
        """Poll `may_hedge` after `after_ms` until it returns true."""
        self._call = call
        self._after_ms = after_ms
        self._may_hedge = may_hedge
        self._watch_task: curio.Task | None = None
        self._stopped = False

    async def start(self, exchange: TargetExchange) -> None:
        """Start to watch the attempt that was sent on `exchange`."""
        self._watch_task = await curio.spawn(self._watch(exchange), daemon=True)

    async def stop(self) -> None:
        """Stop watching; the connection is not aborted after this."""
        self._stopped = True
        if self._watch_task is not None:
            await self._watch_task.cancel(blocking=False)

    async def _watch(self, exchange: TargetExchange) -> None:
        if await is_cancelled_within(self._after_ms):
            return
        # A task that was ready to run still runs once after cancellation.
        while not (self._stopped or self._call.committed):
            if self._may_hedge():
                await exchange.abort_answer()
                return
            if await is_cancelled_within(settings.TICK_MS):
                return
