"""Requests that crash targets, through a running host process."""

import dataclasses
from http import HTTPStatus

import curio
import pytest
from chicorybridge.common.errors import ErrorCode
from chicorybridge.common.identities import TargetId
from chicorybridge.hosts.announcers import Announcer
from chicorybridge.http.servers import Request, ServerConnection
from chicorybridge.quarantine.crash_evidence import CrashedRun
from chicorybridge.quarantine.crash_reports import CrashMessage
from chicorybridge.tests.hosts.deployments import (
    Origin,
    deployed,
    on_curio,
    until,
)
from chicorybridge.tests.platform.rows import server_row

CRASHING_PATH = '/accept/bad'
# Crashes, and retries after the third of them.
MAX_RUNS = 6
REQUESTS = 12
# More than a target with one slot takes.
SLOW_REQUESTS = 4


@dataclasses.dataclass(kw_only=True)
class RestartingOrigin(Origin):
    """A target that ends under a request and is back at once."""

    starts: int = 0
    crashing_path: str = CRASHING_PATH

    async def answer(
        self, connection: ServerConnection, request: Request
    ) -> None:
        """Answer one request."""
        if request.path != self.crashing_path:
            await super().answer(connection, request)
            return
        await connection.read_body()
        self.runs += 1
        self.starts += 1
        await connection.close()


@on_curio
async def test_request_that_crashes_targets_that_restart_at_once_is_refused():
    origins = [RestartingOrigin(target_id=f'i-{number}') for number in range(8)]
    async with deployed(*origins) as deployment:
        for number in range(REQUESTS):
            response = await deployment.send(
                CRASHING_PATH, method='POST', request_id=f'r{number}'
            )
            for origin in origins:
                born = 1_790_000_000_000 + origin.starts
                entry = server_row(address=origin.address, born=born)
                deployment.store.put('servers', origin.target_id, entry)
            await curio.sleep(0.1)
        other = await deployment.send('/accept/good', method='POST')
    assert response.status == HTTPStatus.SERVICE_UNAVAILABLE
    assert sum(origin.starts for origin in origins) <= MAX_RUNS
    assert other.status == HTTPStatus.OK


@on_curio
async def test_request_that_waits_is_checked_again_before_it_is_sent():
    origin = Origin(target_id='i-1', slots=1, delay_s=0.15)
    async with deployed(origin) as deployment:
        slow = [
            await curio.spawn(
                deployment.send(
                    '/accept/slow', method='POST', request_id=f's{number}'
                )
            )
            for number in range(SLOW_REQUESTS)
        ]
        dispatcher = deployment.host.dispatcher
        await until(lambda: dispatcher.waiting_count)
        waiting = await curio.spawn(
            deployment.send(CRASHING_PATH, method='POST', request_id='bad')
        )
        await until(lambda: len(dispatcher.calls_by_number) > SLOW_REQUESTS)
        call = max(
            dispatcher.calls_by_number.values(),
            key=lambda call: call.started_at,
        )
        assert call.head.path == CRASHING_PATH.encode()
        quarantine = deployment.host.fleet_view.quarantine
        for number in range(3):
            run = CrashedRun(
                digest=call.digest,
                target_id=TargetId(f'gone-{number}'),
                started_at=call.started_at,
            )
            quarantine.suspect(run, now=call.started_at)
        answer = await waiting.join()
        for sent in slow:
            await sent.join()
    assert ErrorCode.request_quarantined.value in answer.body.decode()
    assert CRASHING_PATH not in {request.path for request in origin.requests}


@pytest.mark.parametrize(
    ('method', 'is_told'), [('GET', False), ('POST', True)]
)
@on_curio
async def test_only_requests_that_fail_in_the_end_are_told_to_others(
    method, is_told, monkeypatch
):
    """The second target answers what the first one breaks off."""
    told: list[CrashMessage] = []

    def record(_announcer, message, *_):  # noqa: WPS430
        if isinstance(message, CrashMessage):
            told.append(message)

    monkeypatch.setattr(Announcer, 'broadcast', record)
    monkeypatch.setattr(Announcer, 'send_to_hosts', record)
    first = Origin(target_id='i-1', resets=True)
    second = Origin(target_id='i-2')
    async with deployed(first, second) as deployment:
        path = '/lookup/7' if method == 'GET' else '/accept/7'
        while not first.runs:
            await deployment.send(path, method=method)
        await curio.sleep(0.2)
    assert bool(told) is is_told
