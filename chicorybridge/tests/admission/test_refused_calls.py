"""Calls of a host whose zone is short of room."""

import random
import socket
from types import SimpleNamespace
from typing import Any

import curio

from chicorybridge.common.clocks import Millis
from chicorybridge.common.identities import RouteId, ServiceId
from chicorybridge.common.outcomes import RequestOutcome
from chicorybridge.entry.refusals import RefusalError
from chicorybridge.hosts.fleet_admissions import FleetAdmission
from chicorybridge.hosts.placements import Placements
from chicorybridge.routing.ranks import Rank
from chicorybridge.tests.admission.test_queue_reports import short_zone
from chicorybridge.tests.hosts.deployments import on_curio, until
from chicorybridge.tests.hosts.test_placements import FreeSlots
from chicorybridge.tests.hosts.zones import Zone, ZoneHost

WITHOUT_ADMISSION: Any = SimpleNamespace(version=1, has_fleet_admission=False)


def _call(now: Millis, *, attempts: tuple[Any, ...] = ()) -> Any:
    host_sock, caller_sock = socket.socketpair()
    return SimpleNamespace(
        service=SimpleNamespace(service_id=ServiceId('quotes')),
        route=SimpleNamespace(route_id=RouteId('r'), target_latency_ms=1000),
        rank=Rank(first=2, second=2),
        caller_workspace=None,
        attempts=attempts,
        started_at=now,
        deadline_at=Millis(now + 5000),
        outcome=RequestOutcome.not_run,
        exchange=SimpleNamespace(sock=host_sock),
        caller=caller_sock,
    )


def _placements(zone: Zone, host: ZoneHost, slots: FreeSlots) -> Placements:
    policies: Any = slots
    return Placements(
        clock=zone.clock,
        rng=random.Random(1),
        state=host.state,
        policies=policies,
        admission=FleetAdmission(clock=zone.clock, fleet_view=host.view),
    )


async def _count_refusals(placements: Placements, zone: Zone) -> int:
    refused = 0
    for _ in range(10):
        try:
            await placements.place(_call(zone.clock.now()))
        except RefusalError as error:
            assert error.outcome is RequestOutcome.not_run
            refused += 1
    return refused


@on_curio
async def test_refused_call_starts_nothing_and_does_not_wait():
    # A caller that was told that its request was not run sends it again.
    zone = short_zone()
    slots = FreeSlots(free=10)
    placements = _placements(zone, zone.others[10], slots)
    refused = await _count_refusals(placements, zone)
    assert refused >= 9
    assert len(slots.started) == 10 - refused
    assert not placements.waiting_count


@on_curio
async def test_retry_is_not_refused_by_the_queue():
    # It was admitted before, and its caller would get the earlier answer.
    zone = short_zone()
    slots = FreeSlots(free=10)
    placements = _placements(zone, zone.others[10], slots)
    for _ in range(10):
        await placements.place(_call(zone.clock.now(), attempts=('first',)))
    assert len(slots.started) == 10


@on_curio
async def test_calls_wait_as_before_without_admission():
    # Other deployments would get refusals that they never had.
    zone = short_zone()
    host = zone.others[10]
    host.state.configuration = WITHOUT_ADMISSION
    slots = FreeSlots(free=0)
    placements = _placements(zone, host, slots)
    task = await curio.spawn(placements.place(_call(zone.clock.now())))
    await until(lambda: placements.waiting_count == 1)
    queues = host.view.zone_sums.inbox.queues
    assert queues.report(now=zone.clock.now()) is None
    slots.free = 1
    await placements.serve_queue(ServiceId('quotes'))
    await task.join()
    assert slots.started == ['i-1']
