"""Running the tasks of a process together."""

from collections.abc import Coroutine
from typing import Any

import curio


async def run_all(*coroutines: Coroutine[Any, Any, None]) -> None:
    """Run until the first one ends; cancel the rest, raise its error."""
    tasks = curio.TaskGroup(wait=any)
    async with tasks:
        for coroutine in coroutines:
            await tasks.spawn(coroutine)
    if tasks.completed and tasks.completed.exception:
        raise tasks.completed.exception
