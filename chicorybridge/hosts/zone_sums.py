"""Sums of the requests in flight of a large zone, sent by its aggregator."""

import dataclasses
import functools
import random
from collections.abc import Callable

from chicorybridge import settings
from chicorybridge.common.clocks import Clock, Millis, as_seconds
from chicorybridge.common.codecs import pack
from chicorybridge.common.events import Event, EventKind, EventLog
from chicorybridge.common.identities import HostId
from chicorybridge.fleet.aggregators import AggregatorChoice
from chicorybridge.fleet.host_tables import HostTable, aggregator_order
from chicorybridge.hosts.queue_inboxes import QueueInbox, QueueMessage
from chicorybridge.hosts.states import HostState
from chicorybridge.hosts.target_results import TargetResults
from chicorybridge.routing.reputations import Sign, TargetSeen
from chicorybridge.routing.workloads import (
    HostWorkload,
    RelayedWorkload,
    ZoneTotals,
    ZoneWorkload,
)

BITS_PER_BYTE = 8
BITS_PER_MS_AND_MBPS = 1000

WorkloadMessage = HostWorkload | ZoneWorkload | ZoneTotals | RelayedWorkload
ZoneMessage = WorkloadMessage | QueueMessage


class ZoneSums:
    """Choose the aggregator, receive its sums or make them."""

    def __init__(
        self,
        *,
        clock: Clock,
        log: EventLog,
        rng: random.Random,
        state: HostState,
        host_table: HostTable,
        results: TargetResults,
        forward: Callable[[ZoneWorkload], None],
    ) -> None:
        """Sum up the workloads that `results` refers to.

        `forward` sends a report of another zone to this one.
        """
        self._forward = forward
        self._clock = clock
        self._log = log
        self._state = state
        self._host_table = host_table
        self._results = results
        self._workloads = results.workloads
        self._choice = AggregatorChoice(host_id=host_table.host_id)
        self._seen_by_host: dict[HostId, tuple[TargetSeen, ...]] = {}
        # Results in `_seen_by_host`.
        self._results_kept = 0
        self.inbox = QueueInbox(rng=rng)
        self._asked_until = Millis(0)
        self._sent_at = Millis(0)
        self._completed_at = Millis(0)
        # When sums that aren't empty may be sent again.
        self._due_at = Millis(0)
        # Each look-up of a dispatched method builds it anew.
        self.receive_bound: Callable[[WorkloadMessage, HostId], None] = (
            self.receive
        )

    @property
    def aggregator(self) -> HostId | None:
        """Return the aggregator, `None` if hosts tell each other directly."""
        return self._choice.current

    @property
    def is_own(self) -> bool:
        """Return whether this host is the aggregator."""
        return self._choice.is_own

    @property
    def is_sending(self) -> bool:
        """Return whether this host sends sums to the zone.

        It is the aggregator, or another host holds it for that and reports
        to it, having found the one before in rank silent or deaf.
        """
        return self.is_own or self._clock.now() < self._asked_until

    @property
    def changes(self) -> int:
        """Return how often the aggregator has changed."""
        return self._choice.changes

    def update(self) -> bool:
        """Choose the aggregator again; return whether it has changed.

        Run at each tick.
        """
        now = self._clock.now()
        order = aggregator_order(self._host_table, serving=self._state.ready)
        previous = self.aggregator
        if not self.is_sending:
            self._workloads.changed_ids.clear()
        if not self._choice.update(order, now=now):
            return False
        self._seen_by_host = {}
        self._results_kept = 0
        self._completed_at = Millis(0)
        self._workloads.follow_aggregator(
            follows=self.aggregator is not None and not self.is_own, now=now
        )
        facts = {
            'aggregator': self.aggregator,
            'before': previous,
            'hosts': len(order),
        }
        self._log.emit(Event(kind=EventKind.aggregator_changed, facts=facts))
        return True

    def collect(self, host_id: HostId, seen: tuple[TargetSeen, ...]) -> None:
        """Add results of a host to the next sums, if this host sends them."""
        if not self.is_sending or not seen:
            return
        for result in seen:
            if self._results_kept < _most_results(result.sign):
                earlier = self._seen_by_host.get(host_id, ())
                self._seen_by_host[host_id] = (*earlier, result)
                self._results_kept += 1
        for result in seen:
            if result.sign is not Sign.answered:
                # Direct messages bring these to other zones; sums do here.
                self._workloads.zone_results.append(result)

    @functools.singledispatchmethod
    def receive(self, message: WorkloadMessage, sender: HostId) -> None:
        """Handle a message about requests in flight."""
        raise TypeError(f'{type(message).__name__} has no workload')

    @receive.register
    def receive_host(self, message: HostWorkload, sender: HostId) -> None:
        """Count the requests of a host of the zone."""
        now = self._clock.now()
        self.inbox.heard_at = now
        if self.aggregator is not None:
            self._asked_until = Millis(now + settings.AGGREGATOR_ASKED_MS)
        self._workloads.record_host(sender, message, now=now)
        for result in message.seen:
            self._results.record_of_zone(result, now=now)
        self.collect(sender, message.seen)

    @receive.register
    def receive_zone(self, message: ZoneWorkload, sender: HostId) -> None:
        """Count the requests of another zone; forward those of far ones."""
        now = self._clock.now()
        self._workloads.record_zone(message, sender=sender, now=now)
        for result in message.seen:
            self._results.record_remote(result, now=now)
        reputations = self._results.reputations
        for target_id, soundness in message.soundness_by_id.items():
            reputations.adopt_estimate(target_id, soundness, now=now)
        if self._host_table.is_in_other_region(sender):
            self._forward(message)

    @receive.register
    def receive_relayed(self, message: RelayedWorkload, sender: HostId) -> None:
        """Count the requests of another zone and forward them to this one."""
        self.receive_zone(message.workload, self._host_table.host_id)
        self._forward(message.workload)

    @receive.register
    def receive_totals(self, message: ZoneTotals, sender: HostId) -> None:
        """Take over the sums of the aggregator and the results of others."""
        now = self._clock.now()
        if not self._choice.record_totals(sender, now=now):
            return
        self.inbox.heard_at = now
        has_own = self._workloads.record_totals(message, now=now)
        if message.complete:
            self._choice.check_complete_sums(has_own=has_own, now=now)
        for host_id, seen in message.seen_by_host.items():
            if host_id == self._host_table.host_id:
                continue
            for result in seen:
                self._results.record_remote(result, now=now)

    def take_due(self) -> ZoneTotals | None:
        """Return the sums that this host has to send now.

        They are empty if it only has to show that it is there.
        """
        if not self.is_sending:
            return None
        now = self._clock.now()
        complete = (
            now - self._completed_at >= settings.COMPLETE_TOTALS_INTERVAL_MS
        )
        is_quiet = not (self._workloads.changed_ids or self._seen_by_host)
        if now >= self._due_at and (complete or not is_quiet):
            return self._take(complete=complete, now=now)
        if now - self._sent_at < settings.TICK_MS:
            return None
        self._sent_at = now
        return ZoneTotals(
            sent_at=now, complete=False, in_flight_by_id={}, seen_by_host={}
        )

    def pause_s(self) -> float:
        """Return the time until `take_due` is to be called again."""
        pause_ms = max(
            settings.TOTALS_CHECK_INTERVAL_MS, self._due_at - self._clock.now()
        )
        return as_seconds(min(settings.TICK_MS, pause_ms))

    def _take(self, *, complete: bool, now: Millis) -> ZoneTotals:
        totals = dataclasses.replace(
            self._workloads.zone_totals(now=now, complete=complete),
            seen_by_host=self._seen_by_host,
        )
        self._seen_by_host = {}
        self._results_kept = 0
        if complete:
            self._completed_at = now
        self._sent_at = now
        interval_ms = max(
            settings.MIN_TOTALS_INTERVAL_MS, self._sending_ms(totals)
        )
        self._due_at = Millis(now + interval_ms)
        return totals

    def _sending_ms(self, totals: ZoneTotals) -> float:
        """Return how long the share of the link takes to send the sums.

        It is 0 if this host doesn't know its link.
        """
        table = self._host_table
        bandwidth_mbps = table.bandwidth_by_id.get(table.host_id, 0)
        if not bandwidth_mbps:
            return 0
        size = len(pack(totals)) + settings.DATAGRAM_OVERHEAD_BYTES
        bits = size * BITS_PER_BYTE * len(table.in_zone())
        share_mbps = bandwidth_mbps * settings.TOTALS_LINK_SHARE
        return bits / (share_mbps * BITS_PER_MS_AND_MBPS)


def _most_results(sign: Sign) -> int:
    """Return how many results a message has before one of `sign` is left out.

    Answers leave half of it to failures.
    """
    if sign is Sign.answered:
        return settings.MAX_TOTALS_RESULTS // 2
    return settings.MAX_TOTALS_RESULTS
