"""Tests of requests through the data plane, before scripted targets."""

import hashlib
import random
from types import MappingProxyType

import curio
import pytest

from chicorybridge.common.clocks import Millis
from chicorybridge.common.errors import PromiseError
from chicorybridge.tests.fronts import (
    OK,
    answering,
    cutting,
    front,
    read_all,
    read_until,
)

GET = b'GET /quotes/1 HTTP/1.1\r\nHost: h\r\n'
LAST = b'Connection: close\r\n\r\n'
POST = b'POST /quotes HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n'
CUT_ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf'
LARGE = 300_000


def _status(answer: bytes) -> int:
    return int(answer.split(b' ', 2)[1])


def _outcome(answer: bytes) -> bytes:
    for line in answer.partition(b'\r\n\r\n')[0].split(b'\r\n'):
        name, _, text = line.partition(b': ')
        if name.lower() == b'chicorybridge-outcome':
            return text
    return b''


MALFORMED = MappingProxyType(
    {
        'two lengths': b'Content-Length: 2\r\nContent-Length: 3\r\n\r\nok',
        'length and chunked': (
            b'Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n'
            b'2\r\nok\r\n0\r\n\r\n'
        ),
        'bare line feed': b'X-A: 1\nX-B: 2\r\n\r\n',
        'bad length': b'Content-Length: two\r\n\r\n',
        'space before colon': b'X-A : 1\r\n\r\n',
        'oversize head': b'X-A: %s\r\n\r\n' % (b'a' * 40_000),
    }
)


@pytest.mark.parametrize('name', sorted(MALFORMED))
async def test_malformed_request_is_refused_and_closed(name):
    """Nothing reaches a target, and the caller learns that."""
    async with front(answering(OK)) as plane:
        answer = await plane.exchange(
            b'POST /quotes HTTP/1.1\r\nHost: h\r\n%s' % MALFORMED[name]
        )
        assert _status(answer) in {400, 413}
        assert _outcome(answer) == b'not-run'
        assert plane.targets[0].received == []


async def test_pipelined_requests_are_answered_in_order():
    """Each answer follows the one before it on the connection."""
    bodies = [b'%d' % number for number in range(5)]
    answers = [
        b'HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n' + one for one in bodies
    ]
    async with front(answering(*answers)) as plane:
        answer = await plane.exchange(4 * (GET + b'\r\n') + GET + LAST)
    ends = [part[-1:] for part in answer.split(b'HTTP/1.1')[1:]]
    assert ends == bodies


async def test_expected_continue_comes_before_the_body():
    """The caller is asked for the body only once it is admitted."""
    async with front(answering(OK)) as plane:
        sock = await plane.connect()
        await sock.sendall(POST + b'Expect: 100-continue\r\n' + LAST)
        first = await read_until(sock, b'\r\n\r\n')
        assert first.startswith(b'HTTP/1.1 100')
        await sock.sendall(b'body')
        assert (await read_all(sock)).endswith(b'ok')
    assert plane.targets[0].received[0].endswith(b'body')


@pytest.mark.parametrize(
    ('method', 'given'),
    [
        (b'HEAD', b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n'),
        (b'GET', b'HTTP/1.1 204 No Content\r\n\r\n'),
        (b'GET', b'HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n\r\n'),
    ],
)
async def test_answers_without_a_body_end_at_their_head(method, given):
    """The next request on the connection is answered at once."""
    async with front(answering(given, OK)) as plane:
        sock = await plane.connect()
        await sock.sendall(method + GET[3:] + b'\r\n' + GET + LAST)
        answer = await read_all(sock)
    assert answer.count(b'HTTP/1.1 ') == 2
    assert answer.endswith(b'ok')


async def test_cut_answer_is_tried_at_another_target():
    """An idempotent request gets the whole answer of the second one."""
    async with front(answering(OK), cutting(CUT_ANSWER)) as plane:
        for _ in range(2):
            answer = await plane.exchange(GET + LAST)
            assert answer.endswith(b'\r\n\r\nok')
        assert plane.targets[1].connections == 1


async def test_cut_answer_to_a_request_that_may_run_once_is_unknown():
    """It is sent to one target, once, and the caller is told the truth."""
    async with front(*[cutting(CUT_ANSWER)] * 3) as plane:
        answer = await plane.exchange(POST + LAST + b'body')
        assert _status(answer) == 502
        assert _outcome(answer) == b'unknown'
        assert sum(one.connections for one in plane.targets) == 1


async def test_cut_large_answer_resets_the_caller():
    """A relayed answer that is cut never looks whole."""
    head = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
    chunk = b'%x\r\n' % LARGE + b'a' * LARGE + b'\r\n'
    async with front(cutting(head + chunk)) as plane:
        sock = await plane.connect()
        await sock.sendall(GET + LAST)
        with pytest.raises(OSError, match='reset'):
            await read_all(sock)


async def test_stray_answer_goes_to_nobody():
    """A connection with bytes beyond its answer is not used again."""
    stray = b'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray'
    async with front(answering(OK + stray, OK)) as plane:
        for _ in range(4):
            answer = await plane.exchange(GET + LAST)
            assert answer.endswith(b'\r\n\r\nok')
        assert plane.targets[0].connections > 1


async def test_late_answer_goes_to_nobody():
    """The connection of a request that timed out is not used again."""

    async def late(target, sock, data):  # noqa: WPS430
        if len(target.received) == 1:
            await curio.sleep(0.2)
            await sock.sendall(
                b'HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate'
            )
            return
        await sock.sendall(OK)

    async with front(late, timeout_ms=100) as plane:
        first = await plane.exchange(POST + LAST + b'body')
        assert (_status(first), _outcome(first)) == (504, b'unknown')
        await curio.sleep(0.2)
        assert (await plane.exchange(GET + LAST)).endswith(b'\r\n\r\nok')
        assert plane.targets[0].connections == 2


async def test_caller_that_leaves_cancels_its_request():
    """The target sees its connection end."""

    async def never(target, sock, data):  # noqa: WPS430
        await curio.sleep(60)

    async with front(never) as plane:
        sock = await plane.connect()
        await sock.sendall(GET + b'\r\n')
        await curio.sleep(0.05)
        assert len(plane.callers) == 1
        await sock.close()
        await curio.sleep(0.05)
        await plane.callers.sweep()
        await curio.sleep(0.05)
        assert len(plane.callers) == 0


async def test_keyed_request_without_control_is_unknown():
    """Nothing is sent, but an earlier one with the key may have run."""
    async with front(answering(OK)) as plane:
        answer = await plane.exchange(
            POST + b'Idempotency-Key: k\r\n' + LAST + b'body'
        )
        assert (_status(answer), _outcome(answer)) == (503, b'unknown')
        assert plane.targets[0].received == []


async def test_keyed_request_refused_early_is_unknown():
    """A refusal by the head alone knows nothing of the key."""
    async with front(answering(OK)) as plane:
        plane.state.lease_until = Millis(0)
        answer = await plane.exchange(
            POST + b'Idempotency-Key: k\r\n' + LAST + b'body'
        )
        assert (_status(answer), _outcome(answer)) == (503, b'unknown')


async def test_unreachable_targets_leave_a_request_not_run():
    """No connection was opened, so the caller may send it again."""
    async with front(gone_targets=2) as plane:
        answer = await plane.exchange(POST + LAST + b'body')
        assert _outcome(answer) == b'not-run'
        assert _status(answer) in {502, 503}


async def test_request_moves_on_from_a_target_that_is_gone():
    """Nothing was sent, so even a request that may run once is tried on."""
    async with front(answering(OK), gone_targets=1) as plane:
        for _ in range(6):
            answer = await plane.exchange(POST + LAST + b'body')
            assert _status(answer) == 200
        assert plane.targets[0].connections > 0


async def test_budget_of_retries_is_not_spent_on_what_was_never_sent():
    """A target that is gone may be looked at again after a slow answer."""

    async def slow_once(target, sock, data):  # noqa: WPS430
        if len(target.received) == 2:
            await curio.sleep(0.05)
        await sock.sendall(OK)

    async with front(slow_once, gone_targets=1) as plane:
        for _ in range(6):
            answer = await plane.exchange(POST + LAST + b'body')
            assert _status(answer) == 200


async def test_shedding_target_is_left_for_another():
    """A target that says it ran nothing may be followed by another."""
    shed = (
        b'HTTP/1.1 503 Busy\r\nContent-Length: 0\r\nRetry-After: 1\r\n'
        b'Chicorybridge-Outcome: not-run\r\n\r\n'
    )
    async with front(answering(shed), answering(OK)) as plane:
        for _ in range(6):
            answer = await plane.exchange(POST + LAST + b'body')
            assert (_status(answer), _outcome(answer)) == (200, b'complete')


async def test_plain_busy_answer_is_passed_on():
    """Without the mark nobody can say that the target ran nothing."""
    busy = b'HTTP/1.1 503 Busy\r\nContent-Length: 0\r\nRetry-After: 1\r\n\r\n'
    async with front(answering(busy), answering(busy)) as plane:
        answer = await plane.exchange(POST + LAST + b'body')
        assert (_status(answer), _outcome(answer)) == (503, b'complete')
        assert sum(len(one.received) for one in plane.targets) == 1


async def test_host_without_lease_takes_nothing():
    """A host that was paused checks its lease before each request."""
    async with front(answering(OK)) as plane:
        plane.state.lease_until = Millis(0)
        answer = await plane.exchange(GET + LAST)
        assert (_status(answer), _outcome(answer)) == (503, b'not-run')
        assert plane.targets[0].received == []


async def test_too_large_body_is_refused_before_it_is_read():
    """The length alone is enough to refuse."""
    async with front(answering(OK), max_body_bytes=3) as plane:
        answer = await plane.exchange(POST + LAST)
        assert (_status(answer), _outcome(answer)) == (413, b'not-run')


async def _echo_digest(target, sock, data):
    head, _, body = data.partition(b'\r\n\r\n')
    lengths = [
        int(line.split(b':')[1])
        for line in head.lower().split(b'\r\n')
        if line.startswith(b'content-length')
    ]
    while len(body) < lengths[0]:
        body += await sock.recv(READ_BYTES)
    digest = hashlib.sha256(body).hexdigest().encode()
    await sock.sendall(
        b'HTTP/1.1 200 OK\r\nContent-Length: 64\r\n\r\n' + digest
    )


READ_BYTES = 65536


async def test_many_uploads_at_once_arrive_whole():
    """Each caller gets the digest of its own body."""
    rng = random.Random(7)
    bodies = [rng.randbytes(LARGE + number) for number in range(8)]

    async def upload(plane, body):  # noqa: WPS430
        head = b'PUT /quotes HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n'
        return await plane.exchange(head % len(body) + LAST + body)

    async with front(_echo_digest, _echo_digest) as plane:
        tasks = [await curio.spawn(upload, plane, body) for body in bodies]
        answers = [await task.join() for task in tasks]
    expected = [hashlib.sha256(body).hexdigest().encode() for body in bodies]
    assert [answer[-64:] for answer in answers] == expected


async def test_older_configuration_breaks_a_promise():
    """A process never goes back to an older version."""
    async with front(answering(OK)) as plane:
        active = plane.state.configuration
        assert active is not None
        with pytest.raises(PromiseError):
            plane.state.switch(active)


async def test_request_that_crashes_targets_is_refused():
    """After a few victims nothing more is sent, and the rest go on."""
    async with front(*[_crash_on_marked] * 6) as plane:
        for _ in range(5):
            answer = await plane.exchange(
                POST + b'Chicorybridge-Idempotent: no\r\n' + LAST + b'kill'
            )
        assert (_status(answer), _outcome(answer)) == (503, b'not-run')
        victims = sum(len(one.received) for one in plane.targets)
        assert 2 <= victims <= 3
        answer = await plane.exchange(POST + LAST + b'fine')
        assert _status(answer) == 200


async def _crash_on_marked(target, sock, data):
    if data.endswith(b'kill'):
        await sock.close()
        return
    await sock.sendall(OK)


async def test_wait_for_a_body_before_the_attempt_is_not_taken_off_it(
    monkeypatch,
):
    """A caller that sends its body late does not make a target look fast."""

    async def late(target, sock, data):  # noqa: WPS430
        await curio.sleep(0.1)
        await sock.sendall(OK)

    attempts = []
    async with front(late) as plane:
        finished = plane.policies.finished

        def record(number, attempt, *, now):  # noqa: WPS430
            attempts.append(attempt)
            finished(number, attempt, now=now)

        monkeypatch.setattr(plane.policies, 'finished', record)
        sock = await plane.connect()
        await sock.sendall(POST + LAST)
        await curio.sleep(0.2)
        await sock.sendall(b'body')
        await read_all(sock)
    assert attempts[0].elapsed_ms >= 90
