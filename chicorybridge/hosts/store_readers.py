"""Reading the platform's store when it is this host's turn."""

from collections.abc import Awaitable, Callable
from typing import Any, Protocol

import curio

from chicorybridge import settings
from chicorybridge.common.clocks import Clock, as_seconds
from chicorybridge.common.errors import ChicorybridgeError
from chicorybridge.common.events import Event, EventKind, EventLog
from chicorybridge.fleet.configurations import HostConfiguration
from chicorybridge.fleet.directories import TargetsChanged
from chicorybridge.fleet.host_tables import FleetMember
from chicorybridge.fleet.store_reads import RemovalDelay
from chicorybridge.hosts.knowledge import HostKnowledge

Tell = Callable[[Any], None]


class Watcher(Protocol):
    """What reads the store; every method raises coded errors."""

    @property
    def calls(self) -> int:
        """Return how often the store was called."""

    async def read_configuration(self) -> HostConfiguration | None:
        """Return the configuration if it changed."""

    async def read_targets(self) -> TargetsChanged:
        """Return the targets that changed."""

    async def read_hosts(self) -> tuple[FleetMember, ...]:
        """Return the hosts that wrote where they are."""

    async def write_host(self, profile: FleetMember) -> None:
        """Write where this host is."""


class StoreReader:
    """Read the store by turns with the other hosts, and tell them."""

    def __init__(
        self,
        *,
        clock: Clock,
        log: EventLog,
        knowledge: HostKnowledge,
        watcher: Watcher,
        tell: Tell,
    ) -> None:
        """Pass what is new to `tell`, which sends it to the region."""
        self._clock = clock
        self._log = log
        self._knowledge = knowledge
        self._watcher = watcher
        self._tell = tell
        self._delay = RemovalDelay()
        self._failing = False

    @property
    def calls(self) -> int:
        """Return how often the store was called."""
        return self._watcher.calls

    async def run(self) -> None:
        """Read whenever it is due, until cancelled."""
        while True:
            if self._is_due():
                await self._read()
            await curio.sleep(as_seconds(settings.READ_CHECK_MS))

    async def join(self, profile: FleetMember) -> None:
        """Write where this host is and learn where the others are."""
        profiles = await self._try(self._meet(profile))
        if profiles:
            now = self._clock.now()
            self._knowledge.sightings.add_unknown(profiles, now=now)

    async def _meet(self, profile: FleetMember) -> tuple[FleetMember, ...]:
        await self._watcher.write_host(profile)
        return await self._watcher.read_hosts()

    def _is_due(self) -> bool:
        now = self._clock.now()
        schedule = self._knowledge.schedule
        rank = self._knowledge.sightings.region_rank()
        self._delay.observe_age(age_ms=schedule.age_ms(now=now), now=now)
        if self._delay.is_holding(now=now):
            rank += settings.HOLDING_RANKS
        return schedule.is_due(rank=rank, now=now)

    async def _read(self) -> None:
        started_at = self._clock.now()
        change = await self._try(self._read_all())
        now = self._clock.now()
        if change is None:
            self._knowledge.schedule.record_failure(now=now)
            return
        schedule = self._knowledge.schedule
        schedule.record_success(started_at=started_at)
        self._delay.observe_age(age_ms=schedule.age_ms(now=now), now=now)
        change = self._delay.filter_removals(change, now=now)
        fresh = self._knowledge.change_targets(change, source='store')
        if fresh:
            self._tell(fresh)
        self._tell(self._knowledge.mark())

    async def _read_all(self) -> TargetsChanged:
        configuration = await self._watcher.read_configuration()
        if configuration is not None:
            self._knowledge.adopt(configuration, source='store')
        return await self._watcher.read_targets()

    async def _try(self, reading: Awaitable[Any]) -> Any:
        try:
            found = await reading
        except ChicorybridgeError as error:
            if not self._failing:
                self._emit(EventKind.store_lost, error=str(error))
            self._failing = True
            return None
        if self._failing:
            self._emit(EventKind.store_back)
        self._failing = False
        return found

    def _emit(self, kind: EventKind, **facts: Any) -> None:
        self._log.emit(Event(kind=kind, facts=facts))
