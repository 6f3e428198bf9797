"""Tests of the target stand-in: capacity, faults and counts."""

import contextlib
import hashlib
import json
import random

import curio
import pytest

from chicorybridge.common.addresses import Address
from chicorybridge.common.clocks import Clock
from chicorybridge.http.clients import Client
from chicorybridge.http.servers import AnswerLostError, Request
from chicorybridge.standins.emulators import COUNTS, KNOBS, TargetEmulator
from chicorybridge.standins.impairments import EmulatorKnobs
from chicorybridge.tests.serving import serving

TIMEOUT_MS = 500


class Target:
    """A target stand-in with a client."""

    def __init__(self, **knobs):
        """Start with `knobs`."""
        self.emulator = TargetEmulator(
            name='target-1',
            zone='groningen',
            knobs=EmulatorKnobs(**{'service_ms': 1, 'probe_ms': 1, **knobs}),
            clock=Clock(),
            rng=random.Random(1),
        )
        self.client = Client()
        self.address = Address(host='127.0.0.1', port=0)

    @contextlib.asynccontextmanager
    async def running(self):
        """Serve while the block runs."""
        async with serving(self.emulator.handle) as address:
            self.address = address
            yield self
            await self.client.close()

    async def ask(self, path='/', *, timeout_ms=TIMEOUT_MS, **options):
        """Send one request."""
        request = Request(method='POST', path=path, **options)
        return await self.client.fetch(
            self.address, request, timeout_ms=timeout_ms
        )

    async def turn(self, **knobs):
        """Turn knobs over HTTP."""
        return await self.ask(KNOBS, body=json.dumps(knobs).encode())

    async def wait_for(self, *tasks):
        """Wait until `tasks` have ended."""
        waiting = list(tasks)
        while waiting:
            await waiting.pop().wait()

    async def counts(self):
        """Return the counts."""
        return json.loads((await self.ask(COUNTS)).body)


async def test_answer_tells_the_request_it_belongs_to():
    """The echo, the digest of the upload and the size asked for are there."""
    async with Target().running() as target:
        answer = await target.ask(
            '/quotes?bytes=5000',
            headers_by_name={
                'Chicorybridge-Request': 'r-1',
                'Idempotency-Key': 'k-1',
            },
            body=b'photo',
        )
        counts = await target.counts()
    echo = json.loads(answer.body.rstrip(b'.'))
    digest = hashlib.sha256(b'photo').hexdigest()
    assert (echo['request'], echo['sha256']) == ('r-1', digest)
    assert len(answer.body) == 5000
    assert (
        answer.headers_by_name['chicorybridge-digest']
        == hashlib.sha256(answer.body).hexdigest()
    )
    assert counts['runs_by_key'] == {'k-1': 1}
    assert counts['uploads'] == {digest: 5}


async def test_requests_beyond_slots_and_queue_are_shed():
    """Two run, one waits, and one is told that it was not run."""
    async with Target(slots=2, queue=1, service_ms=30).running() as target:
        tasks = [
            await curio.spawn(target.ask),
            await curio.spawn(target.ask),
            await curio.spawn(target.ask),
            await curio.spawn(target.ask),
        ]
        await target.wait_for(*tasks)
        answers = [task.result for task in tasks]
        counts = await target.counts()
    shed = [answer for answer in answers if answer.status == 503]
    assert sorted(answer.status for answer in answers) == [200] * 3 + [503]
    assert shed[0].headers_by_name['chicorybridge-outcome'] == 'not-run'
    assert shed[0].headers_by_name['retry-after'] == '1'
    assert counts['outcomes']['started'] == 3


async def test_cancelled_and_expired_requests_free_their_slots():
    """A caller that leaves, and a deadline that passes, end the run."""
    async with Target(service_ms=200, spread=0).running() as target:
        with pytest.raises(AnswerLostError):
            await target.ask(timeout_ms=20)
        late = await target.ask(
            headers_by_name={'Chicorybridge-Deadline-Ms': '10'}
        )
        never = await target.ask(
            headers_by_name={'Chicorybridge-Deadline-Ms': '-1'}
        )
        counts = await target.counts()
    assert (late.status, never.status) == (504, 503)
    assert counts['outcomes'] == {
        'started': 2,
        'cancelled': 1,
        'expired': 1,
        'shed': 1,
    }


@pytest.mark.parametrize(
    ('knobs', 'status'),
    [
        ({'failure_share': 1}, 500),
        ({'caller_error_share': 1}, 404),
        ({'shed_share': 1}, 503),
        ({'failing_prefixes': ['/work']}, 500),
        ({'failing_prefixes': ['/other']}, 200),
        ({'failing_above_bytes': 3}, 500),
        ({'failing_above_bytes': 4}, 200),
    ],
)
async def test_gray_target_answers_probes_and_fails_work(knobs, status):
    """Faults hit work only; the health endpoint goes on answering."""
    async with Target().running() as target:
        await target.turn(**knobs)
        work = await target.ask('/work', body=b'four')
        probe = await target.ask('/health')
    assert (work.status, probe.status) == (status, 200)


@pytest.mark.parametrize('fault', ['cut_share', 'silent_share'])
async def test_answers_that_do_not_come_whole(fault):
    """A cut answer and a silence show as a lost answer."""
    async with Target().running() as target:
        await target.turn(**{fault: 1})
        with pytest.raises(AnswerLostError):
            await target.ask('/work?bytes=9000', timeout_ms=50)


async def test_frozen_connections_stay_silent_while_new_ones_work():
    """What was open at the onset is never answered again."""
    async with Target().running() as target:
        other = Client()
        await target.ask('/work')
        knobs = Request(
            method='POST', path=KNOBS, body=b'{"freeze_connections":true}'
        )
        await other.fetch(target.address, knobs, timeout_ms=TIMEOUT_MS)
        with pytest.raises(AnswerLostError):
            await target.ask('/work', timeout_ms=50)
        fresh = await target.ask('/work')
        await other.close()
    assert fresh.status == 200


async def test_health_and_load_lag_and_mislead():
    """Endpoints tell an old state, or a false one."""
    async with Target().running() as target:
        await target.turn(draining=True, health_lag_ms=60_000)
        lagging = await target.ask('/health')
        work = await target.ask('/work')
        await target.turn(health_lag_ms=0)
        prompt = await target.ask('/health')
        await target.turn(health_misleads=True)
        misleading = await target.ask('/health')
    statuses = (lagging.status, prompt.status, misleading.status)
    assert statuses == (200, 503, 200)
    assert work.headers_by_name['chicorybridge-draining'] == 'true'


async def test_slow_for_one_zone_only():
    """Only callers of the named zone wait."""
    async with Target(spread=0).running() as target:
        await target.turn(slow_factor=1000, slow_zones=['zuid'])
        near = await target.ask('/work')
        with pytest.raises(AnswerLostError):
            await target.ask(
                '/work',
                headers_by_name={'Chicorybridge-Zone': 'zuid'},
                timeout_ms=50,
            )
    assert near.status == 200


async def test_work_after_the_onset_of_a_fault_is_counted():
    """The counts tell how much work came since the knobs were turned."""
    async with Target().running() as target:
        await target.ask('/work')
        await target.turn(failure_share=1)
        before = await target.counts()
        await target.ask('/work')
        after = await target.counts()
    assert (before['work_since_knobs'], before['last_work_ms']) == (0, 0)
    assert after['work_since_knobs'] == 1
    assert 0 < after['last_work_ms'] <= after['since_knobs_ms']
