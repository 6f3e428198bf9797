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
from chicorybridge.standins.emulators import (
    COUNTS_PATH,
    KNOBS_PATH,
    TargetEmulator,
)
from chicorybridge.standins.impairments import EmulatorKnobs
from chicorybridge.tests.serving import serving

TIMEOUT_MS = 500


class Target:
    """A target stand-in with a client."""

    def __init__(self, **knobs):
        """Set `knobs`; service and probes take 1 ms by default."""
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

    async def send(self, path='/', *, timeout_ms=TIMEOUT_MS, **options):
        """Send one request."""
        request = Request(method='POST', path=path, **options)
        return await self.client.fetch(
            self.address, request, timeout_ms=timeout_ms
        )

    async def set_knobs(self, **knobs):
        """Change knobs over HTTP."""
        return await self.send(KNOBS_PATH, body=json.dumps(knobs).encode())

    async def wait_for(self, *tasks):
        """Wait until `tasks` have ended."""
        pending = list(tasks)
        while pending:
            await pending.pop().wait()

    async def counts(self):
        """Fetch the counts of the stand-in."""
        return json.loads((await self.send(COUNTS_PATH)).body)


async def test_answer_identifies_its_request():
    """The answer has the echo, the upload digest and the requested size."""
    async with Target().running() as target:
        answer = await target.send(
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
    """Two run, one waits, and one is answered as not run."""
    async with Target(slots=2, queue=1, service_ms=30).running() as target:
        tasks = [
            await curio.spawn(target.send),
            await curio.spawn(target.send),
            await curio.spawn(target.send),
            await curio.spawn(target.send),
        ]
        await target.wait_for(*tasks)
        answers = [task.result for task in tasks]
        counts = await target.counts()
    shed_answers = [answer for answer in answers if answer.status == 503]
    assert sorted(answer.status for answer in answers) == [200] * 3 + [503]
    assert shed_answers[0].headers_by_name['chicorybridge-outcome'] == 'not-run'
    assert shed_answers[0].headers_by_name['retry-after'] == '1'
    assert counts['outcomes']['started'] == 3


async def test_cancelled_and_expired_requests_end_their_runs():
    """A run ends when its caller disconnects or its deadline passes."""
    async with Target(service_ms=200, spread=0).running() as target:
        with pytest.raises(AnswerLostError):
            await target.send(timeout_ms=20)
        expired = await target.send(
            headers_by_name={'Chicorybridge-Deadline-Ms': '10'}
        )
        not_started = await target.send(
            headers_by_name={'Chicorybridge-Deadline-Ms': '-1'}
        )
        counts = await target.counts()
    assert (expired.status, not_started.status) == (504, 503)
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
async def test_gray_failure_affects_work_but_not_probes(knobs, status):
    """Requests fail while the health endpoint still answers."""
    async with Target().running() as target:
        await target.set_knobs(**knobs)
        work = await target.send('/work', body=b'four')
        probe = await target.send('/health')
    assert (work.status, probe.status) == (status, 200)


@pytest.mark.parametrize('fault', ['cut_share', 'silent_share'])
async def test_cut_and_silent_answers_are_lost(fault):
    """The client raises `AnswerLostError` for a cut or missing answer."""
    async with Target().running() as target:
        await target.set_knobs(**{fault: 1})
        with pytest.raises(AnswerLostError):
            await target.send('/work?bytes=9000', timeout_ms=50)


async def test_frozen_connections_get_no_answers_but_new_ones_do():
    """Connections from before the freeze are never answered again."""
    async with Target().running() as target:
        other = Client()
        await target.send('/work')
        knobs = Request(
            method='POST', path=KNOBS_PATH, body=b'{"freeze_connections":true}'
        )
        await other.fetch(target.address, knobs, timeout_ms=TIMEOUT_MS)
        with pytest.raises(AnswerLostError):
            await target.send('/work', timeout_ms=50)
        new_answer = await target.send('/work')
        await other.close()
    assert new_answer.status == 200


async def test_health_lags_and_misleads():
    """The health endpoint returns an old state, or a false one."""
    async with Target().running() as target:
        await target.set_knobs(draining=True, health_lag_ms=60_000)
        lagging = await target.send('/health')
        work = await target.send('/work')
        await target.set_knobs(health_lag_ms=0)
        without_lag = await target.send('/health')
        await target.set_knobs(health_misleads=True)
        misleading = await target.send('/health')
    statuses = (lagging.status, without_lag.status, misleading.status)
    assert statuses == (200, 503, 200)
    assert work.headers_by_name['chicorybridge-draining'] == 'true'


async def test_slow_zone_affects_only_its_callers():
    """Only requests from the slow zone take longer."""
    async with Target(spread=0).running() as target:
        await target.set_knobs(slow_factor=1000, slow_zones=['zuid'])
        unaffected = await target.send('/work')
        with pytest.raises(AnswerLostError):
            await target.send(
                '/work',
                headers_by_name={'Chicorybridge-Zone': 'zuid'},
                timeout_ms=50,
            )
    assert unaffected.status == 200


async def test_work_since_the_last_knob_change_is_counted():
    """The counts restart when knobs change."""
    async with Target().running() as target:
        await target.send('/work')
        await target.set_knobs(failure_share=1)
        before = await target.counts()
        await target.send('/work')
        after = await target.counts()
    assert (before['work_since_knobs'], before['last_work_ms']) == (0, 0)
    assert after['work_since_knobs'] == 1
    assert 0 < after['last_work_ms'] <= after['since_knobs_ms']
