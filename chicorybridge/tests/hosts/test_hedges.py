"""Requests that are tried elsewhere, and those that have to wait."""

import dataclasses

import curio

from chicorybridge.hosts.states import HostPhase
from chicorybridge.http.services import Request, ServerConnection
from chicorybridge.routing.allowances import RetryBound
from chicorybridge.tests.hosts.deployments import (
    Origin,
    deployed,
    on_curio,
    until,
)

# Between the time for another try, 1 s, and the timeout of the route, 2 s.
SLOW_S = 1.3
CHUNKS = 14
CHUNK = b'a' * 50_000


@dataclasses.dataclass(kw_only=True)
class LargeOrigin(Origin):
    """A server whose answer is too large to be kept, and takes its time."""

    async def answer(
        self, connection: ServerConnection, request: Request
    ) -> None:
        """Answer in pieces for longer than the time for another try."""
        await connection.read_body()
        await connection.send(
            b'HTTP/1.1 200 OK\r\n'
            b'X-Server-Signature: i-1\r\n'
            b'Content-Length: %d\r\n\r\n' % (CHUNKS * len(CHUNK))
        )
        for _ in range(CHUNKS):
            await connection.send(CHUNK)
            await curio.sleep(0.08)


@on_curio
async def test_slow_request_is_not_broken_off_without_another_target():
    async with deployed(Origin(target_id='i-1', work_s=SLOW_S)) as deployment:
        answer = await deployment.send('/lookup/7')
    assert (answer.status, answer.body) == (200, b'i-1')


@on_curio
async def test_slow_request_is_not_broken_off_without_a_retry_left():
    origins = [
        Origin(target_id=f'i-{serial}', work_s=SLOW_S) for serial in (1, 2)
    ]
    async with deployed(*origins) as deployment:
        none_left = RetryBound(ratio=0, slack=0, window_ms=10_000)
        deployment.host.dispatcher.set_retry_bound(none_left)
        answer = await deployment.send('/lookup/7')
    assert answer.status == 200
    assert sum(origin.runs for origin in origins) == 1


@on_curio
async def test_slow_request_is_not_broken_off_by_a_host_that_stops():
    origins = [
        Origin(target_id=f'i-{serial}', work_s=SLOW_S) for serial in (1, 2)
    ]
    async with deployed(*origins) as deployment:
        sent = await curio.spawn(deployment.send('/lookup/7'))
        await until(lambda: any(origin.runs for origin in origins))
        deployment.host.state.phase = HostPhase.draining
        answer = await sent.join()
    assert answer.status == 200
    assert sum(origin.runs for origin in origins) == 1


@on_curio
async def test_large_answer_is_not_cut_at_the_time_for_another_try():
    origins = [LargeOrigin(target_id=f'i-{serial}') for serial in (1, 2)]
    async with deployed(*origins) as deployment:
        answer = await deployment.send('/lookup/7')
    assert answer.body == CHUNK * CHUNKS


@on_curio
async def test_slow_request_is_tried_at_a_target_that_has_room():
    stuck = Origin(target_id='i-1', work_s=10)
    async with deployed(stuck, Origin(target_id='i-2')) as deployment:
        bodies = [
            (await deployment.send('/lookup/7', request_id=f'r{serial}')).body
            for serial in range(4)
        ]
    assert bodies == [b'i-2'] * 4
    assert stuck.runs
