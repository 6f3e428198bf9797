"""What hosts tell each other of the age of their data from the store."""

import functools
import math
import random
from typing import Any

from chicorybridge import settings
from chicorybridge.common.clocks import Clock, Millis
from chicorybridge.common.events import Event, EventKind, EventLog
from chicorybridge.common.identities import HostId
from chicorybridge.fleet.forward_queues import ForwardQueue
from chicorybridge.fleet.host_tables import HostTable, region_order
from chicorybridge.fleet.relays import StateRelay
from chicorybridge.fleet.store_inquiries import StoreInquiry
from chicorybridge.fleet.store_reads import StoreMark, StoreQuery, StoreReport
from chicorybridge.fleet.store_versions import NO_VERSION
from chicorybridge.fleet.transits import TransitTable
from chicorybridge.hosts.states import HostState
from chicorybridge.hosts.target_lists import ListRelation, TargetList


class StoreMarks:
    """Send and receive marks, and ask for them if none come."""

    def __init__(
        self,
        *,
        clock: Clock,
        log: EventLog,
        rng: random.Random,
        state: HostState,
        host_table: HostTable,
        targets: TargetList,
        relay: StateRelay,
        forward: ForwardQueue,
    ) -> None:
        """Credit `targets` with the reads of others; `relay` fetches."""
        self._clock = clock
        self._log = log
        self._state = state
        self._host_table = host_table
        self._targets = targets
        self._relay = relay
        self._forward = forward
        # Version of the store up to which no configuration is missing here.
        self.configuration_version = NO_VERSION
        # Whether the last mark showed targets that are missing here.
        self._lacks_targets = False
        self._transits = TransitTable()
        # Queries and reports that are to be sent to single hosts.
        self.to_hosts: list[tuple[HostId, Any]] = []
        self.inquiry = StoreInquiry(host_table=host_table, rng=rng)
        targets.schedule.confirms_silence = self.inquiry.confirms_silence

    def mark(self) -> StoreMark:
        """Return the version and age of the store data of this host."""
        now = self._clock.now()
        age_ms = self._targets.schedule.age_ms(now=now)
        return StoreMark(
            store_version=self._targets.complete_version,
            targets_digest=self._targets.directory.digest,
            configuration_version=self._state.version,
            age_ms=math.ceil(age_ms),
            sent_at=math.floor(now),
        )

    def ask_if_due(self) -> None:
        """Ask other hosts if the data of this one are old."""
        now = self._clock.now()
        schedule = self._targets.schedule
        stale_ms = schedule.spread_limit_ms * settings.READ_STALE_SHARE
        if schedule.age_ms(now=now) < stale_ms:
            return
        asked = self.inquiry.hosts_to_ask(
            silent_ms=schedule.spread_limit_ms, now=now
        )
        query = StoreQuery(asked_at=now)
        self.to_hosts.extend((host_id, query) for host_id in asked)
        if self.inquiry.is_isolated(now=now) and not self._relay.is_fetching:
            # Datagrams are lost, which streams may not be.
            self._fetch_from_any(now)

    def relies_on_others(self) -> bool:
        """Return whether this host gets new data without reading the store.

        Targets that it lacks are few, so that it may read them itself; a
        configuration is so large that others send it. A host that no datagram
        reaches fetches from them before it reads.
        """
        if self._lacks_targets:
            return False
        now = self._clock.now()
        if not self.inquiry.is_isolated(now=now):
            return True
        schedule = self._targets.schedule
        latest_ms = schedule.spread_limit_ms * settings.ISOLATED_READ_SHARE
        is_late = schedule.age_ms(now=now) >= latest_ms
        return not (is_late or self._relay.is_cut_off(now=now))

    @functools.singledispatchmethod
    def receive(
        self, message: Any, *, source: HostId, arrived_after: Millis
    ) -> None:
        """Handle a mark, a query or a report of `source`."""
        raise TypeError(f'{type(message).__name__} is about no mark')

    @receive.register
    def receive_query(
        self, message: StoreQuery, *, source: HostId, arrived_after: Millis
    ) -> None:
        """Report to a host that asks."""
        now = self._clock.now()
        report = StoreReport(
            asked_at=message.asked_at,
            mark=self.mark(),
            answer_age_ms=self._targets.schedule.latest_answer_age_ms(now=now),
        )
        self.to_hosts.append((source, report))

    @receive.register
    def receive_report(
        self, message: StoreReport, *, source: HostId, arrived_after: Millis
    ) -> None:
        """Take the mark of a report, and whether the store is silent."""
        asked_at = Millis(message.asked_at)
        if asked_at > self._clock.now():
            # Asked before the clock of this machine started anew.
            return
        schedule = self._targets.schedule
        # Not later: among hosts that ask each other the time that reports are
        # on their way would add up.
        answered_at = Millis(asked_at - message.answer_age_ms)
        schedule.record_answer(at=answered_at, latest=answered_at)
        is_silent = message.answer_age_ms >= self._silent_ms()
        self.inquiry.record(source, asked_at=asked_at, silent=is_silent)
        self.receive(message.mark, source=source, arrived_after=asked_at)
        now = self._clock.now()
        hurry_ms = schedule.spread_limit_ms * settings.RELAY_HURRY_SHARE
        is_late = schedule.age_ms(now=now) >= hurry_ms
        if is_late and message.mark.configuration_version > self._state.version:
            self._relay.hurry(source, now=now)

    @receive.register
    def receive_mark(
        self, message: StoreMark, *, source: HostId, arrived_after: Millis
    ) -> None:
        """Take over the age of a mark, or have what it shows fetched."""
        now = self._clock.now()
        lacks_configuration = (
            message.configuration_version > self._state.version
        )
        relation = self._targets.relation_to(message)
        read_at = self._read_at(message, source, arrived_after)
        self._targets.schedule.record_answer(
            at=read_at, latest=Millis(now - message.age_ms)
        )
        if relation is ListRelation.complete:
            self._targets.record_listed(at=read_at)
        if self._state.configuration is not None and not lacks_configuration:
            self.configuration_version = max(
                self.configuration_version, message.store_version
            )
        is_behind = relation is ListRelation.behind
        is_far = self._host_table.is_in_other_region(source)
        # The reader of this region brings targets sooner than a far one.
        if lacks_configuration or (is_behind and not is_far):
            self._lacks_targets = is_behind and not lacks_configuration
            self._log_behind(message, source, is_behind=is_behind)
            self._fetch_from(source, lacks_configuration=lacks_configuration)
        elif relation is ListRelation.complete:
            self._lacks_targets = False
            self._targets.credit_read(
                store_version=message.store_version, read_at=read_at
            )
            if is_far:
                self._forward.add_mark(message, read_at=read_at)

    def _read_at(
        self, mark: StoreMark, source: HostId, arrived_after: Millis
    ) -> Millis:
        """Return a time before which the read of a mark began.

        The mark may have waited on its way, and here until it is handled.
        """
        now = self._clock.now()
        sent_after = arrived_after
        if mark.sent_at is not None:
            waited_ms = self._transits.waited_ms(
                source, sent_at=mark.sent_at, now=now
            )
            sent_after = min(arrived_after, Millis(now - waited_ms))
        return Millis(sent_after - mark.age_ms)

    def _fetch_from_any(self, now: Millis) -> None:
        """Fetch from one of the first hosts, as this one hears of no other.

        They have what is new first; if all hosts fetched from those that read
        the store, these would send too much.
        """
        order = region_order(self._host_table)
        first = max(
            settings.MAX_READ_RANK + 1,
            round(len(order) * settings.ISOLATED_SOURCES_SHARE),
        )
        self._relay.ask_any(order=order[:first], now=now)

    def _silent_ms(self) -> float:
        """Return for how long a silent store has answered nobody."""
        limit_ms = self._targets.schedule.spread_limit_ms
        return limit_ms * settings.STORE_SILENT_SHARE

    def _fetch_from(self, source: HostId, *, lacks_configuration: bool) -> None:
        now = self._clock.now()
        if lacks_configuration:
            # The store would send all of it to each host that reads.
            self._targets.schedule.postpone(now=now)
        order = region_order(self._host_table)
        self._relay.offer(source, order=order, now=now)

    def _log_behind(
        self, mark: StoreMark, source: HostId, *, is_behind: bool
    ) -> None:
        age_ms = self._targets.schedule.age_ms(now=self._clock.now())
        facts = {
            'peer': source,
            'lacks_configuration': (
                mark.configuration_version > self._state.version
            ),
            'targets_differ': is_behind,
            'store_version': self._targets.directory.store_version,
            'mark_store_version': mark.store_version,
            'age_ms': round(age_ms),
        }
        self._log.emit(Event(kind=EventKind.state_behind, facts=facts))
