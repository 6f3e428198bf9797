"""The turn of a request among those of its connection."""

from typing import TYPE_CHECKING, Optional

import curio

if TYPE_CHECKING:
    from chicorybridge.http.pipelines import Pipeline


class Turn:
    """Whether a request may be answered, and may be sent to a target."""

    def __init__(self, *, is_first: bool = True) -> None:
        """Start with the turn taken if all earlier requests are answered."""
        # The requests of the connection, if several are unanswered.
        self.pipeline: Optional['Pipeline'] = None
        # Whether a target may have got the request, and whether none may.
        self.forwarded = False
        self.withdrawn = False
        # Whether the answer tells the caller that the connection closes.
        self.closes = False
        self._taken = None if is_first else curio.Event()

    @property
    def is_taken(self) -> bool:
        """Return whether the earlier requests are answered."""
        return self._taken is None or self._taken.is_set()

    async def wait(self) -> None:
        """Wait until the earlier requests are answered."""
        if self._taken is not None:
            await self._taken.wait()

    async def take(self) -> None:
        """Let the answer be sent: the earlier ones were."""
        if self._taken is not None:
            await self._taken.set()

    def begin_forwarding(self) -> bool:
        """Return whether the request may be sent; it counts as sent if so."""
        if self.withdrawn:
            return False
        self.forwarded = True
        return True

    def close_after_answer(self) -> bool:
        """Return whether the connection can close after this answer.

        Not if a later request was forwarded; otherwise none will be. The
        turn must have come.
        """
        self.closes = self.pipeline is None or self.pipeline.end_with(self)
        return self.closes
