"""Slots of a target stand-in and the queue of waiting requests."""

import contextlib
from collections import deque

from chicorybridge import settings
from chicorybridge.http.servers import ServerConnection


class Slots:
    """Limit the requests that run at once; others wait in FIFO order.

    As a context manager it occupies one slot.
    """

    def __init__(self) -> None:
        """Start with all slots free."""
        self.running = 0
        self._waiting: deque[ServerConnection] = deque()

    @property
    def queued(self) -> int:
        """Return the number of waiting requests."""
        return len(self._waiting)

    def is_queue_full(self, *, slots: int, queue: int) -> bool:
        """Return whether all slots and all places in the queue are taken."""
        return self.running + self.queued >= slots + queue

    def __enter__(self) -> None:
        """Occupy a slot, without waiting for a free one."""
        self.running += 1

    def __exit__(self, *raised: object) -> None:
        """Release the slot."""
        self.running -= 1

    async def wait_for_slot(
        self, connection: ServerConnection, *, slots: int
    ) -> bool:
        """Wait for a free slot; return `False` if the caller disconnects."""
        self._waiting.append(connection)
        with contextlib.ExitStack() as on_exit:
            on_exit.callback(self._waiting.remove, connection)
            while self._must_wait(connection, slots=slots):
                if not await connection.stays_connected(
                    for_ms=settings.STANDIN_QUEUE_CHECK_INTERVAL_MS
                ):
                    return False
        return True

    def _must_wait(self, connection: ServerConnection, *, slots: int) -> bool:
        return self.running >= slots or self._waiting[0] is not connection
