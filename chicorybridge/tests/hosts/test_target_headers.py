"""Headers in which targets say how they want to be used."""

import dataclasses
from types import MappingProxyType

import curio
import pytest

from chicorybridge.common.clocks import Clock
from chicorybridge.common.identities import TargetId
from chicorybridge.http.servers import Request, Response, ServerConnection
from chicorybridge.tests.hosts.deployments import (
    Origin,
    deployed,
    on_curio,
    until,
)
from chicorybridge.tests.platform.rows import server_row


@dataclasses.dataclass(kw_only=True)
class SpeakingOrigin(Origin):
    """A target that adds `headers_by_name` to its answers."""

    headers_by_name: dict[str, str] = dataclasses.field(default_factory=dict)

    async def answer(
        self, connection: ServerConnection, request: Request
    ) -> None:
        """Answer one request."""
        await connection.read_body()
        self.runs += 1
        headers = {
            'X-Request-Id': request.headers_by_name['x-request-id'],
            'X-Server-Signature': self.target_id,
            **self.headers_by_name,
        }
        await connection.respond(
            Response(status=self.status, headers_by_name=headers, body=b'ok')
        )


@dataclasses.dataclass(kw_only=True)
class RepeatingOrigin(Origin):
    """A target that sends a late answer to another request first."""

    async def answer(
        self, connection: ServerConnection, request: Request
    ) -> None:
        """Answer one request."""
        await connection.read_body()
        self.runs += 1
        late = Response(
            status=200,
            headers_by_name={'X-Request-Id': 'x', 'Server-Leaving': '1'},
        )
        await connection.respond(late)
        headers = {
            'X-Request-Id': request.headers_by_name['x-request-id'],
            'X-Server-Signature': self.target_id,
        }
        await connection.respond(
            Response(status=200, headers_by_name=headers, body=b'ok')
        )


@on_curio
async def test_target_that_says_in_an_answer_that_it_leaves_gets_no_more():
    leaving = SpeakingOrigin(
        target_id='i-1', headers_by_name={'Server-Leaving': '1'}
    )
    async with deployed(leaving, Origin(target_id='i-2')) as deployment:
        while not leaving.runs:
            await deployment.send('/lookup/7')
        leaving.runs = 0
        await deployment.send_concurrently(12)
    assert not leaving.runs


@pytest.mark.parametrize(
    ('headers_by_name', 'status'),
    [
        ({'Server-Leaving': ''}, 200),
        ({'Server-Leaving': '0'}, 200),
        ({'Server-Leaving': '-1'}, 200),
        ({'Server-Leaving': '1' * 400}, 200),
        ({'Server-Leaving': 'soon'}, 200),
        # Another target, which has the address now, answers so.
        ({'Server-Leaving': '1'}, 421),
    ],
)
@on_curio
async def test_answer_that_does_not_surely_say_so_ends_no_target(
    headers_by_name, status
):
    origin = SpeakingOrigin(
        target_id='i-1', status=status, headers_by_name=headers_by_name
    )
    async with deployed(origin) as deployment:
        for _ in range(2):
            await deployment.send('/accept/7', method='POST')
    assert origin.runs == 2


@on_curio
async def test_late_answer_to_another_request_ends_no_target():
    origin = RepeatingOrigin(target_id='i-1')
    async with deployed(origin) as deployment:
        for number in range(3):
            await deployment.send('/lookup/7', request_id=f'r{number}')
    assert origin.runs == 3


@on_curio
async def test_target_that_restarts_under_its_id_is_used_again():
    origin = SpeakingOrigin(
        target_id='i-1', headers_by_name={'Server-Leaving': '1'}
    )
    async with deployed(origin) as deployment:
        await deployment.send('/lookup/7')
        refused = await deployment.send('/lookup/7')
        origin.headers_by_name = {}
        entry = server_row(address=origin.address, born=1_790_000_009_000)
        deployment.store.put('servers', 'i-1', entry)
        entries = deployment.host.fleet_view.directory.entries_by_id
        await until(
            lambda: entries[TargetId('i-1')].started_at_ms > 1_790_000_000_000
        )
        answer = await deployment.send('/lookup/7')
    assert (refused.status, answer.status) == (503, 200)


PAUSED = MappingProxyType({'X-Not-Executed': '1', 'Retry-After': '1.5'})


@on_curio
async def test_target_that_asks_to_be_left_alone_gets_nothing_meanwhile():
    origin = SpeakingOrigin(
        target_id='i-1', status=503, headers_by_name=dict(PAUSED)
    )
    async with deployed(origin) as deployment:
        started_at = Clock().now()
        await deployment.send('/accept/7', method='POST')
        origin.status = 200
        origin.headers_by_name = {}
        # Its target wants requests again before the deadline of this one.
        answer = await deployment.send('/lookup/7')
        waited_ms = Clock().now() - started_at
    assert answer.status == 200
    assert waited_ms >= 1500


@on_curio
async def test_request_that_no_target_will_take_in_time_is_refused_at_once():
    origin = SpeakingOrigin(
        target_id='i-1',
        status=503,
        headers_by_name={'X-Not-Executed': '1', 'Retry-After': '60'},
    )
    async with deployed(origin) as deployment:
        await deployment.send('/accept/7', method='POST')
        started_at = Clock().now()
        answer = await deployment.send('/lookup/7')
        waited_ms = Clock().now() - started_at
    assert (answer.status, origin.runs) == (503, 1)
    assert waited_ms < 500


@pytest.mark.parametrize('retry_after', ['', '-5', 'nan', 'Infinity', '1e9'])
@on_curio
async def test_garbage_instead_of_a_time_pauses_no_target(retry_after):
    origin = SpeakingOrigin(
        target_id='i-1',
        status=503,
        headers_by_name={'X-Not-Executed': '1', 'Retry-After': retry_after},
    )
    async with deployed(origin) as deployment:
        for _ in range(2):
            await deployment.send('/accept/7', method='POST')
    assert origin.runs == 2


@on_curio
async def test_target_gets_no_more_than_the_limit_that_it_names():
    limited = SpeakingOrigin(
        target_id='i-1', headers_by_name={'Server-Limit': '2.0'}
    )
    async with deployed(limited) as deployment:
        await deployment.send('/lookup/7')
        await curio.sleep(0.5)
        limited.runs = 0
        await deployment.send_concurrently(20)
    assert 1 <= limited.runs <= 4


@pytest.mark.parametrize(
    'limit', ['', '-2', 'nan', 'inf', '1e2', '2,5', '9' * 40, 'two']
)
@on_curio
async def test_garbage_instead_of_a_limit_limits_no_target(limit):
    origin = SpeakingOrigin(
        target_id='i-1', headers_by_name={'Server-Limit': limit}
    )
    async with deployed(origin) as deployment:
        await deployment.send('/lookup/7')
        await deployment.send_concurrently(6)
    assert origin.runs == 7


@on_curio
async def test_limit_ends_with_an_answer_that_names_none():
    origin = SpeakingOrigin(
        target_id='i-1', headers_by_name={'Server-Limit': '4'}
    )
    async with deployed(origin) as deployment:
        await deployment.send('/lookup/7')
        origin.headers_by_name = {}
        await deployment.send('/lookup/7')
        origin.runs = 0
        await deployment.send_concurrently(20)
    assert origin.runs == 20
