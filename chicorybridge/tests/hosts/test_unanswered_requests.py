"""Every request that a host has read gets an answer that is true."""

import time
from http import HTTPStatus

import curio
import pytest

from chicorybridge import settings
from chicorybridge.common import sockets
from chicorybridge.common.events import EventKind
from chicorybridge.entry import answers
from chicorybridge.entry.attempt_runners import AttemptRunner
from chicorybridge.http.bodies import RequestBody
from chicorybridge.http.caller_exchanges import CallerExchange
from chicorybridge.http.servers import Response
from chicorybridge.tests.fronts import read_all
from chicorybridge.tests.hosts.deployments import (
    Deployment,
    Origin,
    deployed,
    on_curio,
    until,
)
from chicorybridge.tests.platform.rows import (
    configuration_row,
    route,
    server_row,
)

CLOSE = b'Connection: close\r\n'


class RetryAfterOrigin(Origin):
    """A target that rejects all requests and sends `Retry-After`."""

    retry_after = ''

    async def answer(self, connection, request):
        """Reject one request."""
        await connection.read_body()
        headers = {
            'X-Request-Id': request.headers_by_name['x-request-id'],
            'X-Not-Executed': '1',
            'Retry-After': self.retry_after,
        }
        await connection.respond(Response(status=503, headers_by_name=headers))


class LargeOrigin(Origin):
    """A target whose answers exceed the buffer of the host."""

    async def answer(self, connection, request):
        """Answer one request."""
        await connection.read_body()
        body = bytes(2 * settings.HOST_BODY_BUFFER_BYTES)
        headers = {
            'X-Request-Id': request.headers_by_name['x-request-id'],
            'X-Server-Signature': self.target_id,
        }
        await connection.respond(
            Response(status=200, headers_by_name=headers, body=body)
        )


async def _exchange(deployment: Deployment, *requests: bytes) -> bytes:
    """Send requests on one connection and read until it is closed."""
    sock = await sockets.connect(deployment.front)
    await sock.sendall(b''.join(requests))
    return await read_all(sock)


def _request(start: bytes, *lines: bytes, body: bytes = b'') -> bytes:
    head = b'%s HTTP/1.1\r\nHost: quotes.example\r\nX-Request-Id: r\r\n' % start
    return b''.join((head, *lines, b'\r\n', body))


def _status(answer: bytes) -> int:
    return int(answer.split(b' ', 2)[1])


@pytest.mark.parametrize(
    ('path', 'status'),
    [
        (b'/nowhere/', HTTPStatus.NOT_FOUND),
        (b'/lookup/7', HTTPStatus.SERVICE_UNAVAILABLE),
    ],
)
@on_curio
async def test_refused_head_request_is_answered_without_a_body(path, status):
    async with deployed(Origin(target_id='i-1', rejects=True)) as deployment:
        answer = await _exchange(deployment, _request(b'HEAD ' + path, CLOSE))
    assert _status(answer) == status
    assert answer.endswith(b'\r\n\r\n')


@on_curio
async def test_requests_sent_at_once_are_answered_in_order():
    async with deployed(Origin(target_id='i-1')) as deployment:
        answer = await _exchange(
            deployment,
            _request(b'POST /accept/7', b'Content-Length: 2\r\n', body=b'ok'),
            _request(b'HEAD /nowhere/'),
            _request(b'GET /lookup/7', CLOSE),
        )
    statuses = [_status(part) for part in answer.split(b'HTTP/1.1')[1:]]
    assert statuses == [HTTPStatus.OK, HTTPStatus.NOT_FOUND, HTTPStatus.OK]


@pytest.mark.parametrize('digits', [400, 5000])
@on_curio
async def test_deadline_with_too_many_digits_is_ignored(digits):
    deadline = b'X-Deadline-Ms: %s\r\n' % (b'9' * digits)
    async with deployed(Origin(target_id='i-1')) as deployment:
        answer = await _exchange(
            deployment, _request(b'GET /lookup/7', deadline, CLOSE)
        )
    assert _status(answer) == HTTPStatus.OK


@pytest.mark.parametrize('digits', [1, 400, 5000])
@on_curio
async def test_refusal_with_a_huge_retry_after_reaches_the_caller(digits):
    origin = RetryAfterOrigin(target_id='i-1')
    origin.retry_after = '9' * digits
    async with deployed(origin) as deployment:
        answer = await _exchange(deployment, _request(b'POST /accept/7', CLOSE))
    assert _status(answer) == HTTPStatus.SERVICE_UNAVAILABLE


@on_curio
async def test_host_header_named_in_connection_is_forwarded():
    options = b'Connection: close, Host, Content-Length\r\n'
    async with deployed(Origin(target_id='i-1')) as deployment:
        answer = await _exchange(
            deployment, _request(b'GET /lookup/7', options)
        )
    assert _status(answer) == HTTPStatus.OK


@on_curio
async def test_target_with_an_invalid_port_gives_a_refusal():
    async with deployed(Origin(target_id='i-1')) as deployment:
        entry = server_row(address='127.0.0.1:99999')
        deployment.store.put('servers', 'i-2', entry)
        deployment.store.remove('servers', 'i-1')
        entries = deployment.host.fleet_view.directory.entries_by_id
        await until(lambda: 'i-1' not in entries)
        answer = await _exchange(deployment, _request(b'POST /accept/7', CLOSE))
    assert _status(answer) == HTTPStatus.SERVICE_UNAVAILABLE


@on_curio
async def test_cancellation_during_the_answer_releases_the_slot(
    monkeypatch,
):
    run = AttemptRunner.run

    async def run_and_cancel(runner):  # noqa: WPS430
        outcome = await run(runner)
        task = await curio.current_task()
        await task.cancel(blocking=False)
        return outcome

    monkeypatch.setattr(AttemptRunner, 'run', run_and_cancel)
    async with deployed(Origin(target_id='i-1')) as deployment:
        answer = await _exchange(deployment, _request(b'POST /accept/7', CLOSE))
        idle = deployment.host.fleet_view.workloads.is_idle
    assert idle
    assert _status(answer) == HTTPStatus.OK


async def _block_loop(seconds: float) -> None:
    time.sleep(seconds)


@on_curio
async def test_blocked_loop_during_a_connect_gives_a_refusal(
    monkeypatch,
):
    connect = sockets.connect
    connected = curio.Event()
    released = curio.Event()

    async def connect_and_wait(address, **options):  # noqa: WPS430
        sock = await connect(address, **options)
        await connected.set()
        await released.wait()
        return sock

    async with deployed(Origin(target_id='i-1')) as deployment:
        sock = await sockets.connect(deployment.front)
        monkeypatch.setattr(sockets, 'connect', connect_and_wait)
        deadline = b'X-Deadline-Ms: 460\r\n'
        await sock.sendall(_request(b'POST /accept/7', deadline, CLOSE))
        await connected.wait()
        # Exceeds the connect timeout, then the timeout of the attempt.
        await _block_loop(0.32)
        await curio.spawn(_block_loop, 0.12, daemon=True)
        await released.set()
        answer = await read_all(sock)
    assert _status(answer) == HTTPStatus.SERVICE_UNAVAILABLE


def _fail(*args, **kwargs):
    raise LookupError('unexpected failure')


async def _fail_async(*args, **kwargs):
    _fail()


def _failures(deployment: Deployment) -> list[str]:
    return [
        record['error']
        for record in deployment.host.log.recent()
        if record['number'] == EventKind.request_failed.value
    ]


@pytest.mark.parametrize(
    ('step', 'status'),
    [('attempt_started', HTTPStatus.SERVICE_UNAVAILABLE), ('record', 502)],
)
@on_curio
async def test_internal_error_is_answered_with_the_true_outcome(
    monkeypatch, step, status
):
    origin = Origin(target_id='i-1')
    async with deployed(origin) as deployment:
        dispatcher = deployment.host.dispatcher
        monkeypatch.setattr(dispatcher.reporter, step, _fail)
        answer = await _exchange(deployment, _request(b'POST /accept/7', CLOSE))
        failures = _failures(deployment)
    assert _status(answer) == status
    # A refusal (503) means that the request did not run.
    assert origin.runs == (status == HTTPStatus.BAD_GATEWAY)
    assert failures == ['LookupError: unexpected failure']
    assert not dispatcher.calls_by_number


@on_curio
async def test_error_before_recording_an_attempt_does_not_deny_the_run(
    monkeypatch,
):
    monkeypatch.setattr(AttemptRunner, 'result', _fail)
    origin = Origin(target_id='i-1')
    async with deployed(origin) as deployment:
        answer = await _exchange(deployment, _request(b'POST /accept/7', CLOSE))
    assert origin.runs == 1
    assert _status(answer) == HTTPStatus.BAD_GATEWAY


@pytest.mark.parametrize(
    'route_fields',
    [
        {'service': 'missing'},
        {'backends': [{'service': 'quotes', 'weight': 0}]},
    ],
)
@on_curio
async def test_route_without_a_service_is_answered_with_a_refusal(route_fields):
    async with deployed(Origin(target_id='i-1')) as deployment:
        row = configuration_row(route(**route_fields), version='00000020')
        deployment.store.put('op', 'config', row)
        await until(lambda: deployment.host.state.version == 32)
        answer = await _exchange(deployment, _request(b'GET /lookup/7', CLOSE))
        failures = _failures(deployment)
    assert _status(answer) == HTTPStatus.SERVICE_UNAVAILABLE
    assert len(failures) == 1


@on_curio
async def test_error_after_the_start_of_an_answer_resets_the_connection(
    monkeypatch,
):
    monkeypatch.setattr(CallerExchange, 'send_chunk', _fail_async)
    async with deployed(LargeOrigin(target_id='i-1')) as deployment:
        with pytest.raises(ConnectionResetError):
            await _exchange(deployment, _request(b'GET /lookup/7', CLOSE))
        failures = _failures(deployment)
        endings = [record['event'] for record in deployment.host.log.recent()]
    assert failures == ['LookupError: unexpected failure']
    assert 'request_cut' in endings
    assert 'caller_gone' not in endings


@on_curio
async def test_answer_with_an_invalid_header_is_replaced(monkeypatch):
    unsendable = [(b'bad name', b'')]
    monkeypatch.setattr(
        answers, 'answer_headers', lambda call, head: unsendable
    )
    async with deployed(Origin(target_id='i-1')) as deployment:
        answer = await _exchange(deployment, _request(b'GET /lookup/7', CLOSE))
        failures = _failures(deployment)
    assert _status(answer) == HTTPStatus.BAD_GATEWAY
    assert len(failures) == 1


@on_curio
async def test_error_while_forwarding_a_body_ends_the_attempt(
    monkeypatch,
):
    body = bytes(settings.HOST_BODY_BUFFER_BYTES + 1)
    length = b'Content-Length: %d\r\n' % len(body)
    monkeypatch.setattr(RequestBody, 'next_chunk', _fail_async)
    async with deployed(Origin(target_id='i-1')) as deployment:
        sock = await sockets.connect(deployment.front)
        await sock.sendall(
            _request(b'POST /accept/7', length, CLOSE, body=body)
        )
        answer = await sock.recv(settings.RECEIVE_BYTES)
        await sock.close()
        failures = _failures(deployment)
    assert _status(answer) == HTTPStatus.BAD_GATEWAY
    assert failures == ['LookupError: unexpected failure']
