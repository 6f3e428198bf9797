"""Tests of requests through an entry process to scripted targets."""

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
    closing_after,
    open_front,
    read_all,
    read_until,
)

GET = b'GET /quotes/1 HTTP/1.1\r\nHost: h\r\n'
END_HEADERS = b'Connection: close\r\n\r\n'
POST = b'POST /quotes HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n'
TRUNCATED_ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf'
LARGE_BYTES = 300_000


def _status(answer: bytes) -> int:
    return int(answer.split(b' ', 2)[1])


def _outcome(answer: bytes) -> bytes:
    for line in answer.partition(b'\r\n\r\n')[0].split(b'\r\n'):
        name, _, text = line.partition(b': ')
        if name.lower() == b'chicorybridge-outcome':
            return text
    return b''


MALFORMED_HEADERS = MappingProxyType(
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


@pytest.mark.parametrize('name', sorted(MALFORMED_HEADERS))
async def test_malformed_request_is_refused_and_closed(name):
    """Nothing reaches a target; the answer is marked as not run."""
    async with open_front(answering(OK)) as front:
        answer = await front.exchange(
            b'POST /quotes HTTP/1.1\r\nHost: h\r\n%s' % MALFORMED_HEADERS[name]
        )
        assert _status(answer) in {400, 413}
        assert _outcome(answer) == b'not-run'
        assert front.targets[0].received == []


async def test_pipelined_requests_are_answered_in_order():
    """Answers on a connection are in the order of its requests."""
    bodies = [b'%d' % number for number in range(5)]
    answers = [
        b'HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n' + body
        for body in bodies
    ]
    async with open_front(answering(*answers)) as front:
        answer = await front.exchange(4 * (GET + b'\r\n') + GET + END_HEADERS)
    answered = [part[-1:] for part in answer.split(b'HTTP/1.1')[1:]]
    assert answered == bodies


async def test_continue_is_sent_before_the_body_is_read():
    """A caller that expects 100 Continue gets it after admission."""
    async with open_front(answering(OK)) as front:
        sock = await front.connect()
        await sock.sendall(POST + b'Expect: 100-continue\r\n' + END_HEADERS)
        first = await read_until(sock, b'\r\n\r\n')
        assert first.startswith(b'HTTP/1.1 100')
        await sock.sendall(b'body')
        assert (await read_all(sock)).endswith(b'ok')
    assert front.targets[0].received[0].endswith(b'body')


@pytest.mark.parametrize(
    ('method', 'answer_head'),
    [
        (b'HEAD', b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n'),
        (b'GET', b'HTTP/1.1 204 No Content\r\n\r\n'),
        (b'GET', b'HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n\r\n'),
    ],
)
async def test_next_request_is_answered_after_an_answer_without_body(
    method, answer_head
):
    """No body is awaited, even if the answer has a Content-Length."""
    async with open_front(answering(answer_head, OK)) as front:
        sock = await front.connect()
        await sock.sendall(method + GET[3:] + b'\r\n' + GET + END_HEADERS)
        answer = await read_all(sock)
    assert answer.count(b'HTTP/1.1 ') == 2
    assert answer.endswith(b'ok')


async def test_idempotent_request_is_retried_after_an_incomplete_answer():
    """The caller gets the complete answer of the second target."""
    async with open_front(
        answering(OK), closing_after(TRUNCATED_ANSWER)
    ) as front:
        for _ in range(2):
            answer = await front.exchange(GET + END_HEADERS)
            assert answer.endswith(b'\r\n\r\nok')
        assert front.targets[1].connections == 1


async def test_incomplete_answer_to_non_idempotent_request_is_unknown():
    """The request is sent once, and its outcome is reported as unknown."""
    async with open_front(*[closing_after(TRUNCATED_ANSWER)] * 3) as front:
        answer = await front.exchange(POST + END_HEADERS + b'body')
        assert _status(answer) == 502
        assert _outcome(answer) == b'unknown'
        assert sum(target.connections for target in front.targets) == 1


async def test_incomplete_streamed_answer_resets_the_connection():
    """A caller cannot mistake a truncated answer for a complete one."""
    head = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
    chunk = b'%x\r\n' % LARGE_BYTES + b'a' * LARGE_BYTES + b'\r\n'
    async with open_front(closing_after(head + chunk)) as front:
        sock = await front.connect()
        await sock.sendall(GET + END_HEADERS)
        with pytest.raises(OSError, match='reset'):
            await read_all(sock)


async def test_unexpected_answer_is_not_sent_to_a_caller():
    """A connection with bytes after its answer is not reused."""
    stray = b'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray'
    async with open_front(answering(OK + stray, OK)) as front:
        for _ in range(4):
            answer = await front.exchange(GET + END_HEADERS)
            assert answer.endswith(b'\r\n\r\nok')
        assert front.targets[0].connections > 1


async def test_late_answer_is_not_sent_to_a_caller():
    """The connection of a request that timed out is not reused."""

    async def answer_late(target, sock, data):  # noqa: WPS430
        if len(target.received) == 1:
            await curio.sleep(0.2)
            await sock.sendall(
                b'HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate'
            )
            return
        await sock.sendall(OK)

    async with open_front(answer_late, timeout_ms=100) as front:
        first = await front.exchange(POST + END_HEADERS + b'body')
        assert (_status(first), _outcome(first)) == (504, b'unknown')
        await curio.sleep(0.2)
        assert (await front.exchange(GET + END_HEADERS)).endswith(b'\r\n\r\nok')
        assert front.targets[0].connections == 2


async def test_request_is_cancelled_when_the_caller_disconnects():
    """The next sweep ends the connection of the caller."""

    async def never_answer(target, sock, data):  # noqa: WPS430
        await curio.sleep(60)

    async with open_front(never_answer) as front:
        sock = await front.connect()
        await sock.sendall(GET + b'\r\n')
        await curio.sleep(0.05)
        assert len(front.callers) == 1
        await sock.close()
        await curio.sleep(0.05)
        await front.callers.close_expired()
        await curio.sleep(0.05)
        assert len(front.callers) == 0


async def test_keyed_request_without_control_process_is_unknown():
    """Nothing is sent, but an earlier request with the key may have run."""
    async with open_front(answering(OK)) as front:
        answer = await front.exchange(
            POST + b'Idempotency-Key: k\r\n' + END_HEADERS + b'body'
        )
        assert (_status(answer), _outcome(answer)) == (503, b'unknown')
        assert front.targets[0].received == []


async def test_keyed_request_refused_early_is_unknown():
    """An earlier request with the key may have run before the refusal."""
    async with open_front(answering(OK)) as front:
        front.state.lease_until = Millis(0)
        answer = await front.exchange(
            POST + b'Idempotency-Key: k\r\n' + END_HEADERS + b'body'
        )
        assert (_status(answer), _outcome(answer)) == (503, b'unknown')


async def test_request_to_unreachable_targets_is_not_run():
    """No connection was opened, so the caller may send it again."""
    async with open_front(unreachable_targets=2) as front:
        answer = await front.exchange(POST + END_HEADERS + b'body')
        assert _outcome(answer) == b'not-run'
        assert _status(answer) in {502, 503}


async def test_request_is_retried_when_a_target_is_unreachable():
    """Nothing was sent, so even a non-idempotent request is retried."""
    async with open_front(answering(OK), unreachable_targets=1) as front:
        for _ in range(6):
            answer = await front.exchange(POST + END_HEADERS + b'body')
            assert _status(answer) == 200
        assert front.targets[0].connections > 0


async def test_unsent_attempts_do_not_use_the_retry_budget():
    """An attempt that opens no connection costs no retry.

    Requests succeed even if the unreachable target is tried again because
    the other one was slow.
    """

    async def slow_once(target, sock, data):  # noqa: WPS430
        if len(target.received) == 2:
            await curio.sleep(0.05)
        await sock.sendall(OK)

    async with open_front(slow_once, unreachable_targets=1) as front:
        for _ in range(6):
            answer = await front.exchange(POST + END_HEADERS + b'body')
            assert _status(answer) == 200


async def test_request_is_retried_when_a_target_sheds_it():
    """An answer marked not-run allows another attempt."""
    shed = (
        b'HTTP/1.1 503 Busy\r\nContent-Length: 0\r\nRetry-After: 1\r\n'
        b'Chicorybridge-Outcome: not-run\r\n\r\n'
    )
    async with open_front(answering(shed), answering(OK)) as front:
        for _ in range(6):
            answer = await front.exchange(POST + END_HEADERS + b'body')
            assert (_status(answer), _outcome(answer)) == (200, b'complete')


async def test_busy_answer_without_mark_is_forwarded():
    """Without the not-run mark the target may have run the request."""
    busy = b'HTTP/1.1 503 Busy\r\nContent-Length: 0\r\nRetry-After: 1\r\n\r\n'
    async with open_front(answering(busy), answering(busy)) as front:
        answer = await front.exchange(POST + END_HEADERS + b'body')
        assert (_status(answer), _outcome(answer)) == (503, b'complete')
        assert sum(len(target.received) for target in front.targets) == 1


async def test_host_with_expired_lease_refuses_requests():
    """A paused host could otherwise serve after its lease expired."""
    async with open_front(answering(OK)) as front:
        front.state.lease_until = Millis(0)
        answer = await front.exchange(GET + END_HEADERS)
        assert (_status(answer), _outcome(answer)) == (503, b'not-run')
        assert front.targets[0].received == []


async def test_too_large_body_is_refused_before_it_is_read():
    """The Content-Length suffices for the refusal."""
    async with open_front(answering(OK), max_body_bytes=3) as front:
        answer = await front.exchange(POST + END_HEADERS)
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


async def test_concurrent_uploads_arrive_complete():
    """Each caller gets the digest of its own body."""
    rng = random.Random(7)
    bodies = [rng.randbytes(LARGE_BYTES + number) for number in range(8)]

    async def upload(front, body):  # noqa: WPS430
        head = b'PUT /quotes HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n'
        return await front.exchange(head % len(body) + END_HEADERS + body)

    async with open_front(_echo_digest, _echo_digest) as front:
        tasks = [await curio.spawn(upload, front, body) for body in bodies]
        answers = [await task.join() for task in tasks]
    expected = [hashlib.sha256(body).hexdigest().encode() for body in bodies]
    assert [answer[-64:] for answer in answers] == expected


async def test_configuration_that_is_not_newer_raises_an_error():
    """A process never returns to an older version."""
    async with open_front(answering(OK)) as front:
        active = front.state.configuration
        assert active is not None
        with pytest.raises(PromiseError):
            front.state.switch(active)


async def test_request_that_crashes_targets_is_refused():
    """It is quarantined after two or three crashes; other requests run."""
    async with open_front(*[_crash_on_marked] * 6) as front:
        for _ in range(5):
            answer = await front.exchange(
                POST
                + b'Chicorybridge-Idempotent: no\r\n'
                + END_HEADERS
                + b'kill'
            )
        assert (_status(answer), _outcome(answer)) == (503, b'not-run')
        runs = sum(len(target.received) for target in front.targets)
        assert 2 <= runs <= 3
        answer = await front.exchange(POST + END_HEADERS + b'fine')
        assert _status(answer) == 200


async def _crash_on_marked(target, sock, data):
    if data.endswith(b'kill'):
        await sock.close()
        return
    await sock.sendall(OK)


async def test_body_wait_before_the_attempt_does_not_reduce_its_latency(
    monkeypatch,
):
    """A late body must not make a target look faster than it is."""

    async def answer_late(target, sock, data):  # noqa: WPS430
        await curio.sleep(0.1)
        await sock.sendall(OK)

    attempts = []
    async with open_front(answer_late) as front:
        finished = front.policies.finished

        def record(number, attempt, *, now):  # noqa: WPS430
            attempts.append(attempt)
            finished(number, attempt, now=now)

        monkeypatch.setattr(front.policies, 'finished', record)
        sock = await front.connect()
        await sock.sendall(POST + END_HEADERS)
        await curio.sleep(0.2)
        await sock.sendall(b'body')
        await read_all(sock)
    assert attempts[0].elapsed_ms >= 90
