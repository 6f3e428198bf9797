"""What a host knows of the queues of its zone and of the costs of routes."""

import random

from chicorybridge.common.clocks import Millis
from chicorybridge.common.identities import HostId
from chicorybridge.admission.fleet_queues import FleetQueues
from chicorybridge.admission.queue_reports import (
    QueueBook,
    QueueReport,
    QueueTotals,
)
from chicorybridge.routing.route_costs import RouteCosts

QueueMessage = QueueReport | QueueTotals


class QueueInbox:
    """Receive the reports and sums of queues.

    `heard_at` is when a host of the zone, or its aggregator, was last heard.
    """

    def __init__(self, *, rng: random.Random) -> None:
        """Start without reports."""
        self.queues = FleetQueues(book=QueueBook(), rng=rng)
        self.route_costs = RouteCosts()
        self.heard_at = Millis(0)

    def receive(
        self,
        message: QueueMessage,
        sender: HostId,
        *,
        aggregator: HostId | None,
        now: Millis,
    ) -> None:
        """Record a message; sums count if `aggregator` sent them."""
        if isinstance(message, QueueReport):
            self.heard_at = now
            self.queues.book.record_host(sender, message, now=now)
        elif sender == aggregator:
            self.heard_at = now
            self.queues.book.record_totals(sender, message, now=now)
