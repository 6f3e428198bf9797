"""Concurrent tasks of a process, and waits for the next tick."""

from collections.abc import Coroutine
from typing import Any

import curio

from chicorybridge import settings
from chicorybridge.common.clocks import Clock, Millis, as_seconds


async def run_all(*coroutines: Coroutine[Any, Any, None]) -> None:
    """Run until the first one ends, cancel the rest and raise its error."""
    tasks = curio.TaskGroup(wait=any)
    async with tasks:
        for coroutine in coroutines:
            await tasks.spawn(coroutine)
    if tasks.completed and tasks.completed.exception:
        raise tasks.completed.exception


async def wait_tick(clock: Clock, *, until: Millis) -> bool:
    """Wait for one tick, at most until the time `until`.

    Return `False`, without waiting, if that time has passed.
    """
    left_ms = until - clock.now()
    if left_ms <= 0:
        return False
    await curio.sleep(as_seconds(min(settings.TICK_MS, left_ms)))
    return True


async def is_cancelled_within(wait_ms: float) -> bool:
    """Wait; return early with `True` if the current task is cancelled.

    A task that ends with the cancellation as its error keeps itself alive by
    the traceback, with all that its functions refer to, such as the body of a
    request, until a garbage collection.
    """
    try:
        await curio.sleep(as_seconds(wait_ms))
    except curio.CancelledError:
        return True
    return False
