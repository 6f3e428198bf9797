"""Connections and requests that a host ends: what its logs tell of them."""

from http import HTTPStatus

import curio

from chicorybridge.common import sockets
from chicorybridge.common.binaries import serve
from chicorybridge.common.events import EventKind
from chicorybridge.common.processes import StopSignals
from chicorybridge.hosts.host_processes import HostProcess
from chicorybridge.hosts.policies import HostPolicies
from chicorybridge.hosts.states import HostPhase
from chicorybridge.tests.hosts.deployments import (
    Deployment,
    Origin,
    deployed,
    on_curio,
    until,
)

LOOKUP = (
    b'GET /lookup/7 HTTP/1.1\r\n'
    b'Host: quotes.example\r\n'
    b'X-Request-Id: r\r\n'
    b'X-Deadline-Ms: 4000\r\n\r\n'
)

UPLOAD = (
    b'POST /accept/7 HTTP/1.1\r\n'
    b'Host: quotes.example\r\n'
    b'X-Request-Id: r\r\n'
    b'X-Deadline-Ms: 4000\r\n'
    b'Content-Length: 10\r\n\r\n'
)


def _events(deployment: Deployment, kind: EventKind) -> list[dict]:
    records = deployment.host.log.recent()
    return [one for one in records if one['number'] == kind.value]


async def _idle_connection(deployment: Deployment) -> curio.io.Socket:
    """Open a connection and return once the host waits for a request."""
    sock = await sockets.connect(deployment.front)
    connections = deployment.host.callers._connections_by_number
    await until(
        lambda: any(
            one.exchange.waiting_since is not None
            for one in connections.values()
        )
    )
    return sock


@on_curio
async def test_caller_that_left_is_told_from_a_request_that_the_host_cut():
    async with deployed(Origin(target_id='i-1', work_s=1)) as deployment:
        sock = await sockets.connect(deployment.front)
        await sock.sendall(LOOKUP)
        calls = deployment.host.dispatcher.calls_by_number
        await until(lambda: len(calls) == 1)
        await sock.close()
        await until(lambda: not calls)
        assert _events(deployment, EventKind.caller_gone)
        assert not _events(deployment, EventKind.request_cut)


@on_curio
async def test_request_that_fails_inside_the_host_is_logged_with_its_error(
    monkeypatch,
):
    def fail(policies, call):  # noqa: WPS430
        raise RuntimeError('no such luck')

    monkeypatch.setattr(HostPolicies, 'record_request', fail)
    async with deployed(Origin(target_id='i-1')) as deployment:
        sock = await sockets.connect(deployment.front)
        await sock.sendall(LOOKUP)
        answer = await sock.recv(65536)
        await sock.close()
        failed = _events(deployment, EventKind.request_failed)[0]
        assert not _events(deployment, EventKind.request_cut)
    assert failed['request'] == 'r'
    assert failed['error'] == 'RuntimeError: no such luck'
    assert answer.startswith(b'HTTP/1.1 503 ')


@on_curio
async def test_connection_that_the_host_ends_is_logged_with_the_reason():
    async with deployed(Origin(target_id='i-1')) as deployment:
        sock = await _idle_connection(deployment)
        await deployment.host.callers.close_idle()
        await sock.close()
        ended = _events(deployment, EventKind.connection_ended)[0]
    assert (ended['ending'], ended['unread']) == ('stopping', False)


@on_curio
async def test_connection_with_unread_bytes_is_not_ended():
    async with deployed(Origin(target_id='i-1')) as deployment:
        sock = await _idle_connection(deployment)
        # Sent by the caller and not yet seen by the task that waits for it.
        sock._socket.send(LOOKUP)
        await deployment.host.callers.close_idle()
        await until(lambda: _events(deployment, EventKind.request_ended))
        assert not _events(deployment, EventKind.connection_ended)


@on_curio
async def test_stop_refuses_an_upload_that_it_has_read_and_does_not_run_it():
    origin = Origin(target_id='i-1')
    async with deployed(origin) as deployment:
        sock = await sockets.connect(deployment.front)
        stop = await curio.spawn(deployment.host.drain, None)
        await curio.sleep(0.6)
        await sock.sendall(UPLOAD + b'photo')
        await until(lambda: deployment.host.state.phase is HostPhase.closing)
        await curio.sleep(0.2)
        assert not stop.terminated
        await sock.sendall(b'graph')
        answer = await sock.recv(65536)
        await sock.close()
        await stop.join()
    assert answer.startswith(b'HTTP/1.1 503 ')
    assert not origin.runs


class NoSignals(StopSignals):
    """Never asks the process to stop."""

    def __init__(self) -> None:
        """Catch nothing."""

    async def wait(self) -> int:
        """Wait for ever."""
        await curio.Event().wait()
        return 0


@on_curio
async def test_request_under_way_outlives_a_failing_part_of_the_process(
    monkeypatch,
):
    async def run(host, listener):  # noqa: WPS430
        await serve(host, listener, NoSignals())

    async def fail(host):  # noqa: WPS430
        raise RuntimeError('no such luck')

    origin = Origin(target_id='i-1', work_s=0.5)
    async with deployed(origin, run=run) as deployment:
        sent = await curio.spawn(deployment.send('/accept/7', method='POST'))
        await until(lambda: origin.runs)
        monkeypatch.setattr(HostProcess, '_tick', fail)
        answer = await sent.join()
        assert deployment.host.state.phase is HostPhase.closing
    assert answer.status == HTTPStatus.OK
