"""What a host knows of requests that crash targets, shared with the others."""

import heapq
import random
from collections.abc import Collection
from typing import Any

import xxhash

from chicorybridge import settings
from chicorybridge.common.clocks import Clock
from chicorybridge.common.identities import Digest, HostId
from chicorybridge.fleet.directories import TargetDirectory
from chicorybridge.fleet.host_tables import (
    FleetMember,
    HostTable,
    informs_newcomer,
)
from chicorybridge.fleet.store_reads import ReadSchedule
from chicorybridge.quarantine.crash_reports import (
    CrashMessage,
    CrashPossible,
    SuspectsShared,
    Victim,
)
from chicorybridge.quarantine.quarantines import Quarantine


class SuspectView:
    """The quarantine of a host, and what it tells others of it.

    A report is a datagram to all hosts, which may be lost. So a host passes
    on what makes a request blamed, and at each heartbeat all of them tell
    some others what every host should know.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        rng: random.Random,
        host_table: HostTable,
        directory: TargetDirectory,
        schedule: ReadSchedule,
    ) -> None:
        """Start without suspects; `directory` shows which targets ended."""
        self.quarantine = Quarantine()
        # Messages for single hosts.
        self.to_hosts: list[tuple[HostId, Any]] = []
        self._clock = clock
        self._rng = rng
        self._host_table = host_table
        self._directory = directory
        self._schedule = schedule

    def witnesses(self, digest: Digest) -> Collection[HostId]:
        """Return the hosts that are told of a possible crash."""
        return heapq.nsmallest(
            settings.CRASH_WITNESSES,
            (profile.host_id for profile in self._host_table.profiles()),
            key=lambda host_id: xxhash.xxh64_intdigest(
                f'{digest} {host_id}'.encode()
            ),
        )

    def receive(self, message: CrashMessage) -> None:
        """Handle a report of another host."""
        passed_on = self.quarantine.receive(message, now=self._clock.now())
        if isinstance(message, CrashPossible):
            shared = self.quarantine.shared(message.digest)
            if shared is not None:
                self.to_hosts.extend(
                    (profile.host_id, shared)
                    for profile in self._host_table.profiles()
                )
                return
        if passed_on is None:
            return
        profiles = self._host_table.profiles()
        count = min(settings.SUSPECT_RELAYS, len(profiles))
        self.to_hosts.extend(
            (profile.host_id, passed_on)
            for profile in self._rng.sample(profiles, count)
        )

    def inform(self, newcomer: FleetMember) -> None:
        """Tell a host that has started, unless others do."""
        known = self.quarantine.known()
        if known and informs_newcomer(self._host_table, newcomer):
            self.to_hosts.append((newcomer.host_id, known))

    def update(self) -> SuspectsShared | None:
        """Drop old reports; return what every host should know, if anything.

        Run this at each heartbeat.
        """
        now = self._clock.now()
        is_current = self._schedule.is_current(now=now)
        self.quarantine.tick(
            has_ended=self._has_ended if is_current else None, now=now
        )
        return self.quarantine.shared()

    def _has_ended(self, victim: Victim) -> bool:
        entry = self._directory.entries_by_id.get(victim.target_id)
        if entry is None or entry.started_at_ms > victim.crash_number:
            return True
        return any(
            other.started_at_ms > entry.started_at_ms
            for other in self._directory.entries_by_id.values()
            if other.address == entry.address
        )
