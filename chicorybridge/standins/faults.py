"""Injected faults of the platform, for stand-ins and tests."""

import random

from chicorybridge.standins.tables import MemoryTables
from chicorybridge.storage.stores import StoreOutcome, StoreReply, StoreRequest


class FaultyTables:
    """Execute store requests with injected outages and lost replies."""

    def __init__(self, *, tables: MemoryTables, rng: random.Random) -> None:
        """Start without faults; `rng` selects the replies that are lost."""
        self.tables = tables
        self.outage = False
        # Share of requests that take effect but whose reply is lost.
        self.unanswered_share: float = 0
        self._rng = rng

    def execute(self, request: StoreRequest, *, token: str = '') -> StoreReply:
        """Execute `request` and return the reply.

        The outcome is `unavailable` in an outage, where the request has no
        effect, and `unanswered` for a lost reply.
        """
        if self.outage:
            return self.unavailable_reply(token)
        reply = self.tables.execute(request, token=token)
        if self._rng.random() < self.unanswered_share:
            return StoreReply(token=token, outcome=StoreOutcome.unanswered)
        return reply

    @classmethod
    def unavailable_reply(cls, token: str) -> StoreReply:
        """Return the reply to a request that did not reach the platform."""
        return StoreReply(token=token, outcome=StoreOutcome.unavailable)
