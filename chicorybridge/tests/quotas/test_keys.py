"""Requests with keys of workspaces through a host process."""

import logging
from types import MappingProxyType
from typing import Any

import curio
import pytest

from chicorybridge.common.addresses import parse_address
from chicorybridge.entry.calls import Call
from chicorybridge.http.servers import Request, Response
from chicorybridge.tests.hosts.deployments import (
    FETCH_TIMEOUT_MS,
    Deployment,
    Origin,
    deployed,
    on_curio,
    until,
)
from chicorybridge.tests.platform.rows import (
    configuration_row,
    route,
    tenant,
)

KEY = 'k-secret-1'
NAME_HEADER = 'x-tenant-id'
HEADERS = MappingProxyType(
    {
        'Host': 'quotes.example',
        'X-Request-Id': 'r',
        'X-Deadline-Ms': '4000',
        'X-Tenant-Id': 'forged',
    }
)


def _configure(deployment: Deployment, version: int, *tenants) -> None:
    row = configuration_row(
        route(),
        route(name='r-2', prefix='/open/', public=True),
        version=format(version, '08x'),
        tenants=list(tenants),
    )
    deployment.store.put('op', 'config', row)


async def _apply(deployment: Deployment, version: int, *tenants) -> None:
    _configure(deployment, version, *tenants)
    await until(lambda: deployment.host.state.version == version)


async def _send(deployment: Deployment, path: str, *keys: str) -> Response:
    headers = dict(HEADERS)
    if keys:
        headers['X-Key'] = keys[0]
    if keys[1:]:
        # A second header of the same name, as names ignore case.
        headers['x-key'] = keys[1]
    request = Request(method='GET', path=path, headers_by_name=headers)
    return await deployment.client.fetch(
        parse_address(deployment.front), request, timeout_ms=FETCH_TIMEOUT_MS
    )


def _no_target(call: Call) -> None:
    """Make a call wait."""


@on_curio
async def test_target_gets_the_name_of_the_workspace_and_no_key(caplog):
    caplog.set_level(logging.DEBUG)
    origin = Origin(target_id='i-1')
    async with deployed(origin) as deployment:
        await _apply(deployment, 13, tenant('acme', KEY))
        answer = await _send(deployment, '/lookup/7', KEY)
        refused = await _send(deployment, '/lookup/7', f'{KEY}0')
        metrics = deployment.host.metrics.text()
    headers = origin.requests[0].headers_by_name
    assert (answer.status, headers[NAME_HEADER]) == (200, 'acme')
    assert 'x-key' not in headers
    assert refused.status == 401
    for text in (caplog.text, metrics.decode(), refused.body.decode()):
        assert KEY not in text


@pytest.mark.parametrize(
    'keys', [(), ('',), ('k-other',), (KEY, KEY), (f'{KEY},{KEY}',)]
)
@on_curio
async def test_request_without_one_valid_key_is_not_forwarded(keys):
    origin = Origin(target_id='i-1')
    async with deployed(origin) as deployment:
        await _apply(deployment, 13, tenant('acme', KEY))
        answer = await _send(deployment, '/lookup/7', *keys)
    assert (answer.status, origin.requests) == (401, [])


@on_curio
async def test_public_route_needs_no_key_and_forwards_no_forged_name():
    origin = Origin(target_id='i-1')
    async with deployed(origin) as deployment:
        await _apply(deployment, 13, tenant('acme', KEY))
        for keys in ((), ('k-other',), (KEY,)):
            assert (await _send(deployment, '/open/7', *keys)).status == 200
    names = [
        request.headers_by_name.get(NAME_HEADER) for request in origin.requests
    ]
    assert names == [None, None, 'acme']
    assert not any('x-key' in sent.headers_by_name for sent in origin.requests)


@on_curio
async def test_headers_are_forwarded_without_workspaces():
    origin = Origin(target_id='i-1')
    async with deployed(origin) as deployment:
        await _send(deployment, '/lookup/7', KEY)
    headers = origin.requests[0].headers_by_name
    assert (headers['x-key'], headers[NAME_HEADER]) == (KEY, 'forged')


@on_curio
async def test_removed_key_stops_a_request_that_waits_for_a_target():
    async with deployed() as deployment:
        await _apply(deployment, 13, tenant('acme', KEY), tenant('zeta', 'k-2'))
        policies: Any = deployment.host.dispatcher._policies
        # All targets are busy.
        policies.select_target = _no_target
        waiting = [
            await curio.spawn(_send(deployment, '/lookup/7', key))
            for key in (KEY, 'k-2')
        ]
        await until(lambda: deployment.host.dispatcher.waiting_count == 2)
        await _apply(deployment, 14, tenant('zeta', 'k-2'))
        assert (await waiting[0].join()).status == 401
        assert deployment.host.dispatcher.waiting_count == 1
        assert (await waiting[1].join()).status == 503
        assert (await _send(deployment, '/lookup/7', KEY)).status == 401


@on_curio
async def test_removed_key_stops_a_request_that_waits_for_a_connection():
    origin = Origin(target_id='i-1')
    async with deployed(origin) as deployment:
        await _apply(deployment, 13, tenant('acme', KEY))
        connections: Any = deployment.host.dispatcher._connections
        acquire = connections.acquire

        async def acquire_late(*arguments, **options):  # noqa: WPS430
            await _apply(deployment, 14, tenant('zeta', 'k-2'))
            return await acquire(*arguments, **options)

        connections.acquire = acquire_late
        answer = await _send(deployment, '/lookup/7', KEY)
    assert (answer.status, origin.requests) == (401, [])


@on_curio
async def test_unknown_key_may_be_in_a_configuration_that_the_host_lacks():
    origin = Origin(target_id='i-1')
    async with deployed(origin) as deployment:
        await _apply(deployment, 13, tenant('acme', KEY))
        deployment.host.state.is_current = bool
        unknown = await _send(deployment, '/lookup/7', 'k-other')
        known = await _send(deployment, '/lookup/7', KEY)
        missing = await _send(deployment, '/lookup/7')
    assert (unknown.status, known.status, missing.status) == (503, 200, 401)


@on_curio
async def test_keys_are_refused_once_outdated_if_the_settings_say_so():
    origin = Origin(target_id='i-1')
    async with deployed(origin) as deployment:
        await _apply(deployment, 13, tenant('acme', KEY))
        deployment.host.state.age_ms = lambda: 6000
        trusted = await _send(deployment, '/lookup/7', KEY)
        deployment.host.state.max_key_age_ms = 5000
        refused = await _send(deployment, '/lookup/7', KEY)
        public = await _send(deployment, '/open/7', KEY)
        deployment.host.state.age_ms = lambda: None
        unknown = await _send(deployment, '/lookup/7', KEY)
    assert (trusted.status, refused.status, public.status) == (200, 503, 200)
    assert unknown.status == 503


@on_curio
async def test_malformed_header_line_with_a_key_is_not_logged(caplog):
    caplog.set_level(logging.DEBUG)
    origin = Origin(target_id='i-1')
    async with deployed(origin) as deployment:
        await _apply(deployment, 13, tenant('acme', KEY))
        sock = await curio.open_connection(*deployment.front.split(':'))
        await sock.sendall(f'GET / HTTP/1.1\r\nX-Key : {KEY}\r\n\r\n'.encode())
        answer = await sock.recv(10_000)
        await sock.close()
    assert answer.startswith(b'HTTP/1.1 400')
    assert KEY.encode() not in answer
    assert KEY not in caplog.text
