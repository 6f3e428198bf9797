"""Log lines of connections and requests that a host ends."""

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
    return [record for record in records if record['number'] == kind.value]


async def _idle_connection(deployment: Deployment) -> curio.io.Socket:
    """Open a connection and return once the host waits for a request."""
    sock = await sockets.connect(deployment.front)
    connections = deployment.host.callers._connections_by_number
    await until(
        lambda: any(
            connection.exchange.waiting_since is not None
            for connection in connections.values()
        )
    )
    return sock


@on_curio
async def test_disconnected_caller_is_not_logged_as_cut_by_the_host():
    async with deployed(Origin(target_id='i-1', delay_s=1)) as deployment:
        sock = await sockets.connect(deployment.front)
        await sock.sendall(LOOKUP)
        calls = deployment.host.dispatcher.calls_by_number
        await until(lambda: len(calls) == 1)
        await sock.close()
        await until(lambda: not calls)
        assert _events(deployment, EventKind.caller_gone)
        assert not _events(deployment, EventKind.request_cut)


@on_curio
async def test_internal_error_of_a_request_is_logged(
    monkeypatch,
):
    def fail(policies, call):  # noqa: WPS430
        raise RuntimeError('unexpected failure')

    monkeypatch.setattr(HostPolicies, 'record_request', fail)
    async with deployed(Origin(target_id='i-1')) as deployment:
        sock = await sockets.connect(deployment.front)
        await sock.sendall(LOOKUP)
        answer = await sock.recv(65536)
        await sock.close()
        failed = _events(deployment, EventKind.request_failed)[0]
        assert not _events(deployment, EventKind.request_cut)
    assert failed['request'] == 'r'
    assert failed['error'] == 'RuntimeError: unexpected failure'
    assert answer.startswith(b'HTTP/1.1 503 ')


@on_curio
async def test_closed_connection_is_logged_with_the_reason():
    async with deployed(Origin(target_id='i-1')) as deployment:
        sock = await _idle_connection(deployment)
        await deployment.host.callers.close_idle()
        await sock.close()
        ended = _events(deployment, EventKind.connection_ended)[0]
    assert (ended['ending'], ended['unread']) == ('stopping', False)


@on_curio
async def test_connection_with_unread_bytes_is_not_closed_as_idle():
    async with deployed(Origin(target_id='i-1')) as deployment:
        sock = await _idle_connection(deployment)
        # Bypasses curio, so the waiting task has not read the bytes yet.
        sock._socket.send(LOOKUP)
        await deployment.host.callers.close_idle()
        await until(lambda: _events(deployment, EventKind.request_ended))
        assert not _events(deployment, EventKind.connection_ended)


@on_curio
async def test_upload_completed_after_closing_is_refused_without_a_run():
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
        """Install no signal handlers."""

    async def wait(self) -> int:
        """Wait forever."""
        await curio.Event().wait()
        return 0


@on_curio
async def test_request_in_flight_is_finished_when_a_task_fails(
    monkeypatch,
):
    async def run(host, listener):  # noqa: WPS430
        await serve(host, listener, NoSignals())

    async def fail(host):  # noqa: WPS430
        raise RuntimeError('unexpected failure')

    origin = Origin(target_id='i-1', delay_s=0.5)
    async with deployed(origin, run=run) as deployment:
        sent = await curio.spawn(deployment.send('/accept/7', method='POST'))
        await until(lambda: origin.runs)
        monkeypatch.setattr(HostProcess, '_tick', fail)
        answer = await sent.join()
        assert deployment.host.state.phase is HostPhase.closing
    assert answer.status == HTTPStatus.OK
