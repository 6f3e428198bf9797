"""Hosts with real claims and model entries on a faulty channel."""

import random

from chicorybridge.claims.claim_messages import (
    ClaimDecided,
    ClaimFinished,
    EntryId,
    EntryLost,
)
from chicorybridge.claims.claims import Claims
from chicorybridge.common.identities import HostId, Incarnation
from chicorybridge.settings import TICK_MS
from chicorybridge.tools.models.keyed_entries import EntryModel, Runner
from chicorybridge.tools.simulations.channels import FaultyChannel

MILLIS_PER_DAY = 86_400_000


class ClaimFleet:
    """A fleet of hosts whose entries share one runner."""

    def __init__(
        self,
        *,
        channel: FaultyChannel,
        rng: random.Random,
        runner: Runner,
        hosts: int,
    ) -> None:
        """Start `hosts` hosts."""
        self.channel = channel
        self.runner = runner
        self.claims_by_host: dict[HostId, Claims] = {}
        self.entries_by_host: dict[HostId, EntryModel] = {}
        self.paused_entries: set[HostId] = set()
        self.ended_transactions = 0
        self._rng = rng
        self._serial = 0
        # Messages of entries that their control process has not read.
        self._entry_messages: list[tuple[HostId, object]] = []
        for number in range(hosts):
            host_id = HostId(f'host-{number}')
            self._start_control(host_id)
            self._start_entry(host_id)

    @property
    def transactions(self) -> int:
        """Return the number of transactions of all hosts so far."""
        live = sum(
            claims.assignments.transactions
            for claims in self.claims_by_host.values()
        )
        return self.ended_transactions + live

    def key_prefix_of(self, host_id: HostId) -> str:
        """Return the prefix of the keys that a host issues."""
        return self.claims_by_host[host_id].claim_owner.key_prefix

    def step(self) -> None:
        """Advance all hosts by one tick."""
        now = self.channel.clock.now()
        self._deliver_decisions()
        for host_id, entry in self.entries_by_host.items():
            if host_id not in self.paused_entries:
                entry.tick(now=now)
        self._deliver_entry_messages()
        self.channel.run(for_ms=TICK_MS)
        self.channel.events.clear()

    def replace_host(self, host_id: HostId) -> None:
        """Replace both processes of a host."""
        self._entry_messages = [
            queued for queued in self._entry_messages if queued[0] != host_id
        ]
        self.entries_by_host[host_id].crash(now=self.channel.clock.now())
        self._start_control(host_id)
        self._start_entry(host_id)

    def replace_control(self, host_id: HostId) -> None:
        """Replace the control process and keep the entry."""
        self._entry_messages = [
            (to, message)
            for to, message in self._entry_messages
            if to != host_id or isinstance(message, ClaimFinished)
        ]
        self._start_control(host_id)
        now = self.channel.clock.now()
        self.entries_by_host[host_id].lose_control(now=now)

    def replace_entry(self, host_id: HostId) -> None:
        """Replace the entry process and keep the control process."""
        entry = self.entries_by_host[host_id]
        entry.crash(now=self.channel.clock.now())
        self.queue_message(host_id, EntryLost(entry_id=entry.entry_id))
        self._start_entry(host_id)

    def queue_message(self, host_id: HostId, message: object) -> None:
        """Queue a message from an entry to the control process of its host."""
        self._entry_messages.append((host_id, message))

    def _deliver_entry_messages(self) -> None:
        unread = self._entry_messages
        self._entry_messages = [
            queued for queued in unread if queued[0] in self.channel.paused
        ]
        for host_id, message in unread:
            if host_id not in self.channel.paused:
                self.channel.deliver(host_id, message, sender=host_id)

    def _deliver_decisions(self) -> None:
        unread = tuple(self.channel.entry_messages)
        self.channel.entry_messages.clear()
        now = self.channel.clock.now()
        for decision in unread:
            _, host_id, message = decision
            if host_id in self.paused_entries:
                self.channel.entry_messages.append(decision)
            elif isinstance(message, ClaimDecided):
                self.entries_by_host[host_id].decide(message, now=now)

    def _start_control(self, host_id: HostId) -> None:
        self._serial += 1
        previous = self.claims_by_host.get(host_id)
        if previous is not None:
            self.ended_transactions += previous.assignments.transactions
        claims = Claims(
            host_id=host_id,
            incarnation=Incarnation(self._serial),
            today=self._today,
        )
        self.claims_by_host[host_id] = claims
        self.channel.add(host_id, claims)

    def _start_entry(self, host_id: HostId) -> None:
        self._serial += 1
        self.entries_by_host[host_id] = EntryModel(
            host_id=host_id,
            entry_id=EntryId(f'entry-{self._serial}'),
            runner=self.runner,
            rng=self._rng,
            hand=self.queue_message,
        )

    def _today(self) -> int:
        return int(self.channel.clock.now() // MILLIS_PER_DAY)
