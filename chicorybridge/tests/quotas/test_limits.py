"""Limits of workspaces through a host process and between hosts."""

import dataclasses
import random
from typing import Any

import curio

from chicorybridge.common import sockets
from chicorybridge.common.addresses import parse_address
from chicorybridge.common.clocks import Clock
from chicorybridge.common.codecs import pack
from chicorybridge.common.errors import ErrorCode, RequestError
from chicorybridge.common.identities import HostId
from chicorybridge.common.log_streams import BoundedHandler
from chicorybridge.fleet.channels import Datagram
from chicorybridge.hosts.host_processes import HostProcess
from chicorybridge.http.servers import Request, Response
from chicorybridge.quotas.messages import (
    PermitReply,
    PermitRequest,
    PermitReturn,
)
from chicorybridge.quotas.permits import Permits
from chicorybridge.tests.hosts.deployments import (
    FETCH_TIMEOUT_MS,
    Deployment,
    Origin,
    deployed,
    on_curio,
    until,
)
from chicorybridge.tests.platform.rows import (
    configuration_row,
    route,
    tenant,
)
from chicorybridge.tests.quotas.fleets import Fleet, workspace_of

KEY = 'k-1'
ACME = workspace_of(rate_per_s=100, burst=4)


async def _limit(deployment: Deployment, **limits: float) -> None:
    row = configuration_row(
        route(target_latency_s=0.01),
        version='0000000d',
        tenants=[tenant('acme', KEY, **limits), tenant('zeta', 'k-2')],
    )
    deployment.store.put('op', 'config', row)
    await until(lambda: deployment.host.state.version == 13)


async def _send(
    deployment: Deployment, key: str = KEY, *, front: str = ''
) -> Response:
    request = Request(
        method='GET',
        path='/lookup/7',
        headers_by_name={
            'Host': 'quotes.example',
            'X-Request-Id': 'r',
            'X-Deadline-Ms': '4000',
            'X-Key': key,
        },
    )
    return await deployment.client.fetch(
        parse_address(front or deployment.front),
        request,
        timeout_ms=FETCH_TIMEOUT_MS,
    )


async def _statuses(deployment: Deployment, count: int) -> list[int]:
    return [(await _send(deployment)).status for _ in range(count)]


@on_curio
async def test_requests_over_the_limit_are_not_forwarded():
    origin = Origin(target_id='i-1')
    async with deployed(origin) as deployment:
        await _limit(deployment, rate_per_s=0.5, burst=3)
        statuses = await _statuses(deployment, 6)
        refused = await _send(deployment)
        other = await _send(deployment, 'k-2')
        metrics = deployment.host.metrics.text().decode()
    # One second or so passes, and half a permit comes.
    assert statuses[:3] == [200, 200, 200]
    assert statuses[4:] == [429, 429]
    assert origin.runs == statuses.count(200) + 1
    assert 0 < float(refused.headers_by_name['retry-after']) <= 20
    assert other.status == 200
    assert 'refusals_total{code="workspace_limit"}' in metrics
    assert 'chicorybridge_permits_own' in metrics


@on_curio
async def test_permit_of_a_request_that_was_not_run_is_returned():
    origin = Origin(target_id='i-1', rejects=True)
    async with deployed(origin) as deployment:
        await _limit(deployment, rate_per_s=0.01, burst=1)
        assert (await _send(deployment)).status == 503
        origin.rejects = False
        assert await _statuses(deployment, 2) == [200, 429]


class LateNetwork:
    """Hosts that reply to the permit requests of one host later or never."""

    def __init__(self) -> None:
        """Start with a host of which no other host is known to be silent."""
        self.fleet = Fleet(24, ACME)
        self.host = next(
            host
            for host in self.fleet.hosts
            if self.fleet.granter_of(ACME.workspace_id, host.zone_id)
            is not host
        )
        self.sent: list[tuple[Any, HostId]] = []
        self.permits = Permits(
            clock=Clock(),
            rng=random.Random(1),
            asker=self.host.asker,
            granter=self.host.granter,
            is_used=lambda: True,
        )
        self.permits.send = lambda *sent: self.sent.append(sent)

    async def reply(self, number: int, sender: HostId, **fields: Any) -> None:
        """Let a reply arrive."""
        reply = PermitReply(number=number, **fields)
        self.permits.receive(reply, sender)
        await self.permits.wake()


def _returned(network: LateNetwork) -> list[int]:
    return [
        message.number
        for message, _ in network.sent
        if isinstance(message, PermitReturn)
    ]


@on_curio
async def test_second_reply_to_a_used_permit_returns_nothing():
    network = LateNetwork()
    task = await curio.spawn(network.permits.acquire(ACME, max_wait_ms=50))
    await until(lambda: network.sent)
    request, granter_id = network.sent[0]
    for _ in range(2):
        await network.reply(request.number, granter_id, is_granted=True)
    assert (await task.join()).granter_id == granter_id
    await network.reply(request.number, granter_id, is_granted=True)
    assert not _returned(network)


@on_curio
async def test_late_permit_is_not_used_but_returned_once():
    network = LateNetwork()
    task = await curio.spawn(network.permits.acquire(ACME, max_wait_ms=50))
    await task.wait()
    assert isinstance(task.exception, RequestError)
    assert task.exception.code is ErrorCode.quota_unknown
    request, granter_id = network.sent[0]
    for _ in range(2):
        await network.reply(request.number, granter_id, is_granted=True)
    assert _returned(network) == [request.number]


@on_curio
async def test_repetitions_have_the_number_of_the_request():
    network = LateNetwork()
    task = await curio.spawn(network.permits.acquire(ACME, max_wait_ms=50))
    await until(lambda: len(network.sent) >= 2)
    (first, first_id), (second, second_id) = network.sent[:2]
    assert (first, first_id) == (second, second_id)
    await task.cancel()


@on_curio
async def test_permit_of_a_caller_that_left_meanwhile_is_returned():
    network = LateNetwork()
    task = await curio.spawn(network.permits.acquire(ACME, max_wait_ms=50))
    await until(lambda: network.sent)
    request, granter_id = network.sent[0]
    await task.cancel()
    await network.reply(request.number, granter_id, is_granted=True)
    assert _returned(network) == [request.number]


@on_curio
async def test_reply_of_another_host_counts_for_nothing():
    network = LateNetwork()
    task = await curio.spawn(network.permits.acquire(ACME, max_wait_ms=50))
    await until(lambda: network.sent)
    request, _ = network.sent[0]
    await network.reply(request.number, HostId('edge-99'), is_granted=True)
    assert not network.permits.counts
    await task.cancel()


@on_curio
async def test_workspace_without_a_limit_sends_nothing():
    network = LateNetwork()
    free = workspace_of(rate_per_s=0)
    assert await network.permits.acquire(free, max_wait_ms=50) is None
    assert not network.sent


def test_messages_of_a_permit_are_small():
    number = 2**62 - 1
    messages = (
        PermitRequest(number=number, workspace_id=ACME.workspace_id),
        PermitReply(number=number, is_granted=False, wait_ms=1234.5),
        PermitReturn(number=number),
    )
    for message in messages:
        datagram = Datagram(sender=HostId('edge-south-osu-12'), message=message)
        assert len(pack(datagram)) < 150


@on_curio
async def test_two_hosts_share_one_limit():
    async with deployed(Origin(target_id='i-1')) as deployment:
        listener = sockets.listen('127.0.0.2:0')
        second = _second_host(deployment, sockets.bound_address(listener))
        running = await curio.spawn(second.run, listener)
        await _limit(deployment, rate_per_s=0.01, burst=6)
        hosts = (deployment.host, second)
        await until(
            lambda: all(
                host.state.ready and host.fleet_view.host_table.in_zone()
                for host in hosts
            )
        )
        await until(
            lambda: all(
                profile.serving
                for host in hosts
                for profile in host.fleet_view.host_table.in_zone()
            )
        )
        statuses = []
        for number in range(16):
            front = (deployment.front, sockets.bound_address(listener))
            answer = await _send(deployment, front=front[number % 2])
            statuses.append(answer.status)
        counts = [dict(host.dispatcher.permits.counts) for host in hosts]
        await running.cancel()
    assert statuses.count(200) == 6
    assert statuses.count(429) == 10
    assert sorted('zone' in count for count in counts) == [False, True]


def _second_host(deployment: Deployment, front: str) -> HostProcess:
    """Return another host of the same zone."""
    first = deployment.settings
    fields = ('readiness', 'directory', 'metrics')
    addresses = {
        field: getattr(first, field).replace('127.0.0.1', '127.0.0.2')
        for field in fields
    }
    host_settings = dataclasses.replace(
        first,
        host_id=HostId('edge-groningen-2'),
        ip_number='127.0.0.2',
        front=front,
        **addresses,
    )
    return HostProcess(
        host_settings=host_settings,
        clock=Clock(),
        rng=random.Random(2),
        logs=BoundedHandler(descriptor=1, clock=Clock(), bytes_per_second=0),
    )
