"""Pipelined requests on a connection to a whole host."""

import contextlib

import curio
import pytest

from chicorybridge.hosts.states import HostPhase
from chicorybridge.http import settings
from chicorybridge.tests.hosts.deployments import deployed, on_curio, until
from chicorybridge.tests.connections.pipelines import (
    PacedOrigin,
    connect,
    ids,
    pipelined,
)

SLOW_MS = 600
IN_TURN = 'i-1'


def _origin(**fields) -> PacedOrigin:
    return PacedOrigin(target_id=IN_TURN, slots=50, **fields)


@pytest.mark.parametrize('pause_s', [0, 0.05])
@on_curio
async def test_request_behind_a_slow_one_runs_and_is_answered_in_order(
    pause_s,
):
    """In one write with the slow one, or while that runs."""
    origin = _origin()
    async with deployed(origin) as deployment:
        caller = await connect(deployment)
        await caller.send(pipelined('a', delay_ms=SLOW_MS))
        await curio.sleep(pause_s)
        await caller.send(pipelined('b'), pipelined('c', delay_ms=50))
        answers = await caller.receive_all(3)
        await caller.send(pipelined('d'))
        answers.extend(await caller.receive_all(1))
    assert ids(answers) == ['a', 'b', 'c', 'd']
    assert {answer.status for answer in answers} == {200}
    assert origin.ended == ['b', 'c', 'a', 'd']


@on_curio
async def test_request_that_runs_at_most_once_waits_for_its_turn():
    origin = _origin()
    async with deployed(origin) as deployment:
        caller = await connect(deployment)
        await caller.send(
            pipelined('a', delay_ms=SLOW_MS),
            pipelined('b', method='POST', delay_ms=50),
            pipelined('c'),
        )
        answers = await caller.receive_all(3)
    assert ids(answers) == ['a', 'b', 'c']
    assert origin.started == ['a', 'c', 'b']
    assert origin.ended == ['c', 'a', 'b']


@on_curio
async def test_bodies_are_read_in_turn():
    """The one in the middle arrives in parts while the first request runs."""
    origin = _origin()
    large = b'photo' * 100_000
    async with deployed(origin) as deployment:
        caller = await connect(deployment)
        second = pipelined('b', method='POST', body=large)
        await caller.send(
            pipelined('a', method='POST', body=b'first', delay_ms=SLOW_MS),
            second[:1000],
        )
        await curio.sleep(0.2)
        await caller.send(second[1000:], pipelined('c'))
        answers = await caller.receive_all(3)
    assert ids(answers) == ['a', 'b', 'c']
    assert {answer.status for answer in answers} == {200}
    assert origin.bodies_by_id == {'a': b'first', 'b': large, 'c': b''}


@on_curio
async def test_body_beyond_the_buffer_is_read_when_its_request_is_first():
    origin = _origin()
    large = b'photo' * 150_000
    async with deployed(origin) as deployment:
        caller = await connect(deployment)
        await caller.send(pipelined('a', delay_ms=SLOW_MS))
        sending = await curio.spawn(
            caller.send(
                pipelined('b', method='POST', body=large), pipelined('c')
            )
        )
        answers = await caller.receive_all(3)
        await sending.join()
    assert ids(answers) == ['a', 'b', 'c']
    assert origin.bodies_by_id['b'] == large


@on_curio
async def test_number_of_requests_read_ahead_is_bounded():
    origin = _origin()
    count = 3 * settings.MAX_READ_AHEAD
    async with deployed(origin) as deployment:
        caller = await connect(deployment)
        await caller.send(
            *(pipelined(f'r{number}', delay_ms=100) for number in range(count))
        )
        callers = deployment.host.callers
        await until(lambda: callers.ahead_count == settings.MAX_READ_AHEAD)
        metrics = deployment.host.metrics.text().decode()
        answers = await caller.receive_all(count)
    assert ids(answers) == [f'r{number}' for number in range(count)]
    assert origin.max_in_flight <= 1 + settings.MAX_READ_AHEAD
    assert 'requests_read_ahead 8.0' in metrics


@on_curio
async def test_request_to_close_is_the_last_one_that_runs():
    origin = _origin()
    async with deployed(origin) as deployment:
        caller = await connect(deployment)
        await caller.send(
            pipelined('a', delay_ms=200),
            pipelined('b', b'Connection: close\r\n'),
            pipelined('c'),
        )
        answers = await caller.receive_all(3)
    assert ids(answers) == ['a', 'b']
    assert [answer.closes for answer in answers] == [False, True]
    assert sorted(origin.started) == ['a', 'b']


@on_curio
async def test_malformed_request_is_refused_after_the_earlier_answers():
    origin = _origin()
    async with deployed(origin) as deployment:
        caller = await connect(deployment)
        await caller.send(
            pipelined('a', delay_ms=200), b'no request\r\n\r\n', pipelined('c')
        )
        answers = await caller.receive_all(3)
    assert [answer.status for answer in answers] == [200, 400]
    assert origin.started == ['a']


@on_curio
async def test_refusals_keep_the_order():
    origin = _origin()
    async with deployed(origin) as deployment:
        caller = await connect(deployment)
        unknown = pipelined('b').replace(b'/lookup/', b'/nowhere/')
        await caller.send(pipelined('a', delay_ms=200), unknown, pipelined('c'))
        answers = await caller.receive_all(3)
    assert ids(answers) == ['a', 'b', 'c']
    assert [answer.status for answer in answers] == [200, 404, 200]


@on_curio
async def test_planned_stop_answers_what_was_forwarded_and_nothing_else():
    """Only the last of them closes; those behind it never run."""
    origin = _origin()
    async with deployed(origin) as deployment:
        caller = await connect(deployment)
        await caller.send(
            pipelined('a', delay_ms=SLOW_MS),
            pipelined('b', delay_ms=SLOW_MS),
            pipelined('c', method='POST'),
        )
        await until(lambda: origin.started == ['a', 'b'])
        stop = await curio.spawn(deployment.host.drain, None)
        await until(
            lambda: deployment.host.state.phase is not HostPhase.serving
        )
        await caller.send(pipelined('d'))
        answers = await caller.receive_all(3)
        # Not while the host waits for the caller to close its end.
        await until(lambda: not deployment.host.callers.pending_count)
        assert len(deployment.host.callers) == 1
        await caller.sock.close()
        await stop.join()
        assert not len(deployment.host.callers)
    assert ids(answers) == ['a', 'b']
    assert [answer.status for answer in answers] == [200, 200]
    assert [answer.closes for answer in answers] == [False, True]
    assert origin.started == ['a', 'b']


@on_curio
async def test_planned_stop_answers_a_request_before_a_forwarded_one():
    """It waited for its turn while a later one was started."""
    origin = _origin()
    async with deployed(origin) as deployment:
        caller = await connect(deployment)
        await caller.send(
            pipelined('a', delay_ms=300),
            pipelined('b', method='POST'),
            pipelined('c', delay_ms=SLOW_MS),
            pipelined('d', method='POST'),
        )
        await until(lambda: origin.started == ['a', 'c'])
        stop = await curio.spawn(deployment.host.drain, None)
        answers = await caller.receive_all(4)
        await caller.sock.close()
        await stop.join()
    assert ids(answers) == ['a', 'b', 'c']
    assert [answer.closes for answer in answers] == [False, False, True]
    assert 'd' not in origin.started


@pytest.mark.parametrize('method', ['GET', 'POST'])
@on_curio
async def test_requests_end_when_their_caller_disconnects(method):
    """One that runs at most once continues, as without pipelining."""
    origin = _origin()
    async with deployed(origin) as deployment:
        caller = await connect(deployment)
        await caller.send(
            pipelined('a', method=method, delay_ms=SLOW_MS),
            pipelined('b', delay_ms=2000),
            pipelined('c', method='POST'),
        )
        await until(lambda: sorted(origin.started) == ['a', 'b'])
        calls = deployment.host.dispatcher.calls_by_number
        await caller.sock.close()
        await until(
            lambda: (
                [call.idempotent for call in calls.values()] != [True]
                and len(calls) < 2
            ),
            within_s=0.5,
        )
        await until(lambda: not calls and not len(deployment.host.callers))
        await curio.sleep(0.2)
    assert 'c' not in origin.started


@on_curio
async def test_unexpected_error_ends_only_its_request(monkeypatch):
    """A later request that was forwarded is answered as well."""
    origin = _origin()
    async with deployed(origin) as deployment:
        caller = await connect(deployment)
        placements = deployment.host.dispatcher._placements
        place = placements.place

        async def fail_second(call):  # noqa: WPS430
            if call.head.header(b'x-request-id') == b'b':
                raise LookupError('unexpected failure')
            return await place(call)

        monkeypatch.setattr(placements, 'place', fail_second)
        await caller.send(
            pipelined('a', delay_ms=200), pipelined('b'), pipelined('c')
        )
        answers = await caller.receive_all(3)
    assert ids(answers) == ['a', 'b', 'c']
    assert [answer.status for answer in answers] == [200, 503, 200]


@on_curio
async def test_caller_that_reads_nothing_does_not_keep_the_host_running():
    origin = _origin(answer_body=b'x' * 400_000)
    async with deployed(origin) as deployment:
        caller = await connect(deployment)
        await caller.send(*(pipelined(f'r{number}') for number in range(40)))
        await curio.sleep(0.3)
        assert deployment.host.callers.ahead_count <= settings.MAX_READ_AHEAD
        with contextlib.suppress(curio.TaskTimeout):
            async with curio.timeout_after(5):
                await deployment.host.drain(None)
        await caller.sock.close()
        await until(lambda: not len(deployment.host.callers))
