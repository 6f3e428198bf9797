"""When a slow attempt is aborted and retried at another target."""

import dataclasses

import curio

from chicorybridge.hosts.states import HostPhase
from chicorybridge.http.servers import Request, ServerConnection
from chicorybridge.routing.allowances import RetryBound
from chicorybridge.tests.hosts.deployments import (
    Origin,
    deployed,
    on_curio,
    until,
)
from chicorybridge.tests.platform.rows import configuration_row, route

# Between the hedging delay, 1 s, and the timeout of the route, 2 s.
SLOW_S = 1.3
CHUNKS = 14
CHUNK = b'a' * 50_000


@dataclasses.dataclass(kw_only=True)
class LargeOrigin(Origin):
    """A target with a slow answer that exceeds the buffer of the host."""

    async def answer(
        self, connection: ServerConnection, request: Request
    ) -> None:
        """Answer in chunks for longer than the hedging delay."""
        await connection.read_body()
        request_id = request.headers_by_name['x-request-id'].encode()
        await connection.send(
            b'HTTP/1.1 200 OK\r\n'
            b'X-Request-Id: %b\r\n'
            b'X-Server-Signature: i-1\r\n'
            b'Content-Length: %d\r\n\r\n' % (request_id, CHUNKS * len(CHUNK))
        )
        for _ in range(CHUNKS):
            await connection.send(CHUNK)
            await curio.sleep(0.08)


@on_curio
async def test_slow_request_is_not_aborted_without_another_target():
    async with deployed(Origin(target_id='i-1', delay_s=SLOW_S)) as deployment:
        answer = await deployment.send('/lookup/7')
    assert (answer.status, answer.body) == (200, b'i-1')


@on_curio
async def test_slow_request_is_not_aborted_without_a_retry_left():
    origins = [
        Origin(target_id=f'i-{number}', delay_s=SLOW_S) for number in (1, 2)
    ]
    async with deployed(*origins) as deployment:
        no_retries = RetryBound(ratio=0, slack=0, window_ms=10_000)
        deployment.host.dispatcher.set_retry_bound(no_retries)
        answer = await deployment.send('/lookup/7')
    assert answer.status == 200
    assert sum(origin.runs for origin in origins) == 1


@on_curio
async def test_slow_request_is_not_aborted_by_a_draining_host():
    origins = [
        Origin(target_id=f'i-{number}', delay_s=SLOW_S) for number in (1, 2)
    ]
    async with deployed(*origins) as deployment:
        sent = await curio.spawn(deployment.send('/lookup/7'))
        await until(lambda: any(origin.runs for origin in origins))
        deployment.host.state.phase = HostPhase.draining
        answer = await sent.join()
    assert answer.status == 200
    assert sum(origin.runs for origin in origins) == 1


@on_curio
async def test_large_answer_is_not_cut_at_the_hedging_delay():
    origins = [LargeOrigin(target_id=f'i-{number}') for number in (1, 2)]
    async with deployed(*origins) as deployment:
        answer = await deployment.send('/lookup/7')
    assert answer.body == CHUNK * CHUNKS


@on_curio
async def test_slow_request_is_retried_at_a_free_target():
    stuck = Origin(target_id='i-1', delay_s=10)
    async with deployed(stuck, Origin(target_id='i-2')) as deployment:
        bodies = [
            (await deployment.send('/lookup/7', request_id=f'r{number}')).body
            for number in range(4)
        ]
    assert bodies == [b'i-2'] * 4
    assert stuck.runs


@on_curio
async def test_silent_target_is_given_up_within_a_short_route_timeout():
    """The timeout ends before the target latency of the route does."""
    stuck, sound = (
        Origin(target_id=f'i-{number}', delay_s=0.02) for number in (1, 2)
    )
    statuses = []
    async with deployed(stuck, sound) as deployment:
        deployment.store.put(
            'op',
            'config',
            configuration_row(route(timeout_s=0.5), version='0000000d'),
        )
        await until(lambda: deployment.host.state.version == 0xD)
        for number in range(20):
            await deployment.send('/lookup/7', request_id=f'a{number}')
        stuck.delay_s = 10
        for request_id in ('b1', 'b2', 'b3', 'b4', 'b5', 'b6'):
            answer = await deployment.send('/lookup/7', request_id=request_id)
            statuses.append(answer.status)
    assert stuck.in_flight + stuck.runs > 0
    assert statuses == [200] * 6
