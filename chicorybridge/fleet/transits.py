"""How long messages were on their way, without a clock in common."""

import math

from chicorybridge import settings
from chicorybridge.common.clocks import Millis
from chicorybridge.common.identities import HostId


class TransitTable:
    """Estimate transits by the least difference of the clocks of each sender.

    That is the offset of its clock and the shortest transit. What a message
    takes beyond it was spent waiting, in a link or in a socket.
    """

    def __init__(self) -> None:
        """Start without messages."""
        self._least_by_id: dict[HostId, float] = {}
        self._least_before_by_id: dict[HostId, float] = {}
        self._renewed_at = Millis(-math.inf)

    def waited_ms(
        self, sender: HostId, *, sent_at: float, now: Millis
    ) -> float:
        """Return how long a message waited beyond the shortest transit.

        `sent_at` is on the clock of the sender. Nothing is known of the first
        message, nor of one after the clock of the sender started anew.
        """
        self._renew_if_due(now)
        difference_ms = now - sent_at
        waited_ms = difference_ms - self._least_ms(sender, difference_ms)
        if waited_ms > settings.MAX_TRANSIT_MS:
            self._least_by_id.pop(sender, None)
            self._least_before_by_id.pop(sender, None)
            waited_ms = 0
        self._least_by_id[sender] = min(
            self._least_by_id.get(sender, difference_ms), difference_ms
        )
        return waited_ms

    def _least_ms(self, sender: HostId, difference_ms: float) -> float:
        return min(
            difference_ms,
            self._least_by_id.get(sender, difference_ms),
            self._least_before_by_id.get(sender, difference_ms),
        )

    def _renew_if_due(self, now: Millis) -> None:
        """Forget old differences, as clocks drift."""
        if now - self._renewed_at < settings.TRANSIT_WINDOW_MS:
            return
        self._renewed_at = now
        self._least_before_by_id = self._least_by_id
        self._least_by_id = {}
