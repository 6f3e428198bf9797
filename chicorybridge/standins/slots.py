"""Slots of a target stand-in and the queue before them."""

import contextlib
from collections import deque

from chicorybridge import settings
from chicorybridge.http.servers import ServerConnection


class Slots:
    """Bound the requests that run at once; others wait in order."""

    def __init__(self) -> None:
        """Start with all slots free."""
        self.running = 0
        self._waiting: deque[ServerConnection] = deque()

    @property
    def queued(self) -> int:
        """Return how many requests wait."""
        return len(self._waiting)

    def is_full(self, *, slots: int, queue: int) -> bool:
        """Tell whether one more request would find no place to wait."""
        return self.running + self.queued >= slots + queue

    def __enter__(self) -> None:
        """Hold a slot."""
        self.running += 1

    def __exit__(self, *raised: object) -> None:
        """Give the slot back."""
        self.running -= 1

    async def wait(self, connection: ServerConnection, *, slots: int) -> bool:
        """Wait for a free slot; `False` when the caller went away first."""
        self._waiting.append(connection)
        with contextlib.ExitStack() as on_leaving:
            on_leaving.callback(self._waiting.remove, connection)
            while self._has_to_wait(connection, slots=slots):
                if not await connection.stays_connected(
                    for_ms=settings.STANDIN_QUEUE_CHECK_INTERVAL_MS
                ):
                    return False
        return True

    def _has_to_wait(self, connection: ServerConnection, *, slots: int) -> bool:
        return self.running >= slots or self._waiting[0] is not connection
