"""Hosts with claims and modelled entries on one faulty channel."""

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
    """Start, replace and step hosts; all of them share one runner."""

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
        # Messages of entries that their control has not read.
        self._unread: list[tuple[HostId, object]] = []
        for number in range(hosts):
            host_id = HostId(f'host-{number}')
            self._start_control(host_id)
            self._start_entry(host_id)

    @property
    def transactions(self) -> int:
        """Return the transactions of all hosts so far."""
        live = sum(
            claims.assignments.transactions
            for claims in self.claims_by_host.values()
        )
        return self.ended_transactions + live

    def prefix_of(self, host_id: HostId) -> str:
        """Return the key prefix that a host gives to callers now."""
        return self.claims_by_host[host_id].claim_owner.key_prefix

    def step(self) -> None:
        """Advance all hosts by one tick."""
        now = self.channel.clock.now()
        self._read_decisions()
        for host_id, entry in self.entries_by_host.items():
            if host_id not in self.paused_entries:
                entry.tick(now=now)
        self._read_requests()
        self.channel.run(for_ms=TICK_MS)
        self.channel.events.clear()

    def replace_host(self, host_id: HostId) -> None:
        """Replace both processes of a host."""
        self._unread = [held for held in self._unread if held[0] != host_id]
        self.entries_by_host[host_id].crash(now=self.channel.clock.now())
        self._start_control(host_id)
        self._start_entry(host_id)

    def replace_control(self, host_id: HostId) -> None:
        """Replace the control process; the entry goes on."""
        self._unread = [
            (to, message)
            for to, message in self._unread
            if to != host_id or isinstance(message, ClaimFinished)
        ]
        self._start_control(host_id)
        now = self.channel.clock.now()
        self.entries_by_host[host_id].lose_control(now=now)

    def replace_entry(self, host_id: HostId) -> None:
        """Replace the entry process; the control process goes on."""
        entry = self.entries_by_host[host_id]
        entry.crash(now=self.channel.clock.now())
        self.hand(host_id, EntryLost(entry_id=entry.entry_id))
        self._start_entry(host_id)

    def hand(self, host_id: HostId, message: object) -> None:
        """Pass a message of an entry to the control of its host."""
        self._unread.append((host_id, message))

    def _read_requests(self) -> None:
        unread = self._unread
        self._unread = [
            held for held in unread if held[0] in self.channel.paused
        ]
        for host_id, message in unread:
            if host_id not in self.channel.paused:
                self.channel.deliver(host_id, message, sender=host_id)

    def _read_decisions(self) -> None:
        unread = tuple(self.channel.entry_messages)
        self.channel.entry_messages.clear()
        now = self.channel.clock.now()
        for sent in unread:
            _, host_id, message = sent
            if host_id in self.paused_entries:
                self.channel.entry_messages.append(sent)
            elif isinstance(message, ClaimDecided):
                self.entries_by_host[host_id].decide(message, now=now)

    def _start_control(self, host_id: HostId) -> None:
        self._serial += 1
        ended = self.claims_by_host.get(host_id)
        if ended is not None:
            self.ended_transactions += ended.assignments.transactions
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
            hand=self.hand,
        )

    def _today(self) -> int:
        return int(self.channel.clock.now() // MILLIS_PER_DAY)
