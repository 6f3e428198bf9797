"""How hosts that know nothing of their targets yet spread requests together."""

import dataclasses
import functools
import itertools
import random
from collections.abc import Iterable
from typing import Any, cast

import pytest

from chicorybridge.common.clocks import MILLIS_PER_SECOND, Millis
from chicorybridge.common.identities import HostId, ServiceId, TargetId
from chicorybridge.fleet.directories import TargetEntry, TargetsChanged
from chicorybridge.routing.reputations import Sign, TargetSeen
from chicorybridge.routing.selections import (
    Option,
    SelectionMode,
    Selector,
    TargetEstimates,
)
from chicorybridge.tests.hosts.zones import REGIONS, ZONE_ID, Zone, ZoneHost

SERVICE_ID = ServiceId('quotes')
HOSTS = 12
TARGETS = 64
STEP_MS = 10
# Requests per second of the zone, as many for each target as on the platform,
# and the share of those that can be retried.
RATE_PER_S = 170
RETRYABLE_SHARE = 0.28
WORK_MS = 450
# Gray targets cut off most requests at once.
GRAY_SHARE = 0.3
GRAY_CUT_SHARE = 0.85
# Bounds of the platform: `floor_share` and the time for which it may be missed.
FLOOR_SHARE = 0.7
FLOOR_MS = 2000
SEEDS = 8


class _AnyConfiguration:
    version = 1
    limits = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class Attempt:
    """A request at a target, and how it ends at `ends_at`."""

    host: ZoneHost
    target_id: TargetId
    address: str
    sign: Sign
    ends_at: Millis


class Callers:
    """Requests of callers to the hosts of a zone."""

    def __init__(self, *, seed: int, retryable_share: float) -> None:
        """Start the hosts; their targets are sound or gray by `seed`."""
        self.rng = random.Random(seed)
        self.zone = Zone(HOSTS, cast(Any, _AnyConfiguration()))
        entries = tuple(_entries())
        self.gray_ids = {
            entry.target_id
            for entry in entries
            if self.rng.random() < GRAY_SHARE
        }
        self.sound_ids = {entry.target_id for entry in entries} - self.gray_ids
        self.retryable_share = retryable_share
        self.selectors = [
            self._selector(host, entries) for host in self.zone.hosts
        ]
        # Hosts, and addresses to which they have a connection.
        self.connected: set[tuple[HostId, str]] = set()
        self.attempts: list[Attempt] = []
        self.used_ids: set[TargetId] = set()

    def run(self, *, ms: float) -> None:
        """Send requests for a time."""
        for _ in range(round(ms / STEP_MS)):
            self.zone.run(ms=STEP_MS)
            self._end_attempts()
            due = RATE_PER_S * STEP_MS / MILLIS_PER_SECOND
            while self.rng.random() < due:
                due -= 1
                self._send()

    def _send(self) -> None:
        number = self.rng.randrange(HOSTS)
        is_retryable = self.rng.random() < self.retryable_share
        option = self.selectors[number].choose(
            SERVICE_ID,
            self._mode(is_retryable=is_retryable),
            excluded=(),
            now=self.zone.clock.now(),
        )
        if option is not None:
            self._start(self.zone.hosts[number], option)

    def _mode(self, *, is_retryable: bool) -> SelectionMode:
        if is_retryable:
            return SelectionMode.exploring
        if self.retryable_share:
            return SelectionMode.safest
        return SelectionMode.returning

    def _start(self, host: ZoneHost, option: Option) -> None:
        target_id = option.entry.target_id
        self.used_ids.add(target_id)
        host.reporter.attempt_started(target_id)
        host.reporter.flush()
        is_cut = (
            target_id in self.gray_ids and self.rng.random() < GRAY_CUT_SHARE
        )
        work_ms = STEP_MS if is_cut else self.rng.uniform(0.5, 1.5) * WORK_MS
        self.attempts.append(
            Attempt(
                host=host,
                target_id=target_id,
                address=option.entry.address,
                sign=Sign.broke if is_cut else Sign.answered,
                ends_at=Millis(self.zone.clock.now() + work_ms),
            )
        )

    def _end_attempts(self) -> None:
        now = self.zone.clock.now()
        ended = [attempt for attempt in self.attempts if attempt.ends_at <= now]
        for attempt in ended:
            self.attempts.remove(attempt)
            if attempt.sign is Sign.answered:
                self.connected.add((attempt.host.host_id, attempt.address))
            attempt.host.reporter.attempt_finished(attempt.target_id)
            attempt.host.reporter.record(
                TargetSeen(
                    target_id=attempt.target_id,
                    sign=attempt.sign,
                    latency_ms=WORK_MS,
                )
            )
            attempt.host.reporter.flush()

    def _is_connected(self, host: ZoneHost, address: str) -> bool:
        return (host.host_id, address) in self.connected

    def _selector(
        self, host: ZoneHost, entries: Iterable[TargetEntry]
    ) -> Selector:
        view = host.view
        view.directory.merge(
            TargetsChanged(store_version=2, entries=tuple(entries))
        )
        return Selector(
            directory=view.directory,
            estimates=TargetEstimates(
                reputations=view.reputations,
                workloads=view.workloads,
                latencies=view.results.latencies,
            ),
            zone_id=ZONE_ID,
            regions_by_zone=REGIONS,
            rng=self.rng,
            has_idle_connection=functools.partial(self._is_connected, host),
            signs=view.signs,
            is_list_usable=lambda: True,
        )


def _entries() -> Iterable[TargetEntry]:
    for number in itertools.islice(itertools.count(1), TARGETS):
        yield TargetEntry(
            target_id=TargetId(f'i-{number}'),
            row_version=2,
            service_id=SERVICE_ID,
            address=f'127.0.0.1:{number}',
            zone_id=ZONE_ID,
            slots=6,
            leaving=False,
            warming=False,
            started_at_ms=1,
        )


def _used_share(*, seed: int, retryable_share: float) -> float:
    """Return the share of the sound targets that get requests at first."""
    callers = Callers(seed=seed, retryable_share=retryable_share)
    callers.run(ms=FLOOR_MS)
    return len(callers.used_ids & callers.sound_ids) / len(callers.sound_ids)


@pytest.mark.parametrize('retryable_share', [RETRYABLE_SHARE, 0])
def test_hosts_that_start_use_most_of_the_sound_targets(retryable_share):
    used_shares = [
        _used_share(seed=seed, retryable_share=retryable_share)
        for seed in range(SEEDS)
    ]
    assert min(used_shares) >= FLOOR_SHARE
