"""Requests of callers through a running host process."""

import json
from http import HTTPStatus

import curio
import pytest

from chicorybridge.common.clocks import Clock
from chicorybridge.common.identities import TargetId
from chicorybridge.hosts.states import HostPhase
from chicorybridge.tests.hosts.deployments import (
    Origin,
    deployed,
    on_curio,
    until,
)
from chicorybridge.tests.platform.rows import configuration_row, server_row


def _origins() -> tuple[Origin, Origin]:
    return Origin(target_id='i-1'), Origin(target_id='i-2')


@on_curio
async def test_answer_is_relayed_complete_with_its_signature():
    async with deployed(Origin(target_id='i-1')) as deployment:
        response = await deployment.send('/lookup/7')
    headers = response.headers_by_name
    assert (response.status, response.body) == (200, b'i-1')
    assert headers['x-server-signature'] == 'i-1'
    assert headers['x-request-id'] == 'r'


@on_curio
async def test_target_gets_its_id_and_the_remaining_deadline():
    async with deployed(Origin(target_id='i-1')) as deployment:
        await deployment.send('/lookup/7')
        received = deployment.origins['i-1'].requests[0]
    assert received.headers_by_name['x-expect-instance'] == 'i-1'
    assert int(received.headers_by_name['x-deadline-ms']) <= 2000


@on_curio
async def test_idempotent_request_is_retried_at_another_target():
    first, second = _origins()
    first.resets = True

    async with deployed(first, second) as deployment:
        statuses = []
        for number in range(6):
            response = await deployment.send(
                '/lookup/7', request_id=f'r{number}'
            )
            statuses.append(response.status)
        received_statuses = statuses
    assert received_statuses == [200] * 6


@on_curio
async def test_non_idempotent_request_is_never_sent_twice():
    first, second = _origins()
    first.resets = True
    second.resets = True

    async with deployed(first, second) as deployment:
        response = await deployment.send('/accept/7', method='POST')
    assert response.status == 502
    assert first.runs + second.runs == 1


@on_curio
async def test_request_that_all_targets_reject_gets_retry_after():
    first, second = _origins()
    first.rejects = True
    second.rejects = True

    async with deployed(first, second) as deployment:
        response = await deployment.send('/accept/7', method='POST')
    assert response.status == 503
    assert float(response.headers_by_name['retry-after']) > 0
    assert first.runs + second.runs == 0


@on_curio
async def test_non_idempotent_request_is_retried_after_a_rejection():
    first, second = _origins()
    first.rejects = True

    async with deployed(first, second) as deployment:
        statuses = [
            (await deployment.send('/accept/7', method='POST')).status
            for _ in range(4)
        ]
    assert statuses == [200] * 4
    assert second.runs == 4


@pytest.mark.parametrize('status', [408, 421, 429, 503])
@on_curio
async def test_status_that_denies_a_run_is_replaced_after_a_run(status):
    origin = Origin(target_id='i-1', status=status, sends_signature=False)

    async with deployed(origin) as deployment:
        response = await deployment.send('/accept/7', method='POST')
    expected = 503 if status == 421 else 502
    assert response.status == expected


@on_curio
async def test_success_without_a_signature_is_an_error():
    origin = Origin(target_id='i-1', sends_signature=False)
    async with deployed(origin) as deployment:
        response = await deployment.send('/accept/7', method='POST')
    assert response.status == 502


@on_curio
async def test_route_times_out_while_its_target_hangs():
    origin = Origin(target_id='i-1', delay_s=3)
    async with deployed(origin) as deployment:
        response = await deployment.send('/accept/7', method='POST')
    assert response.status == 504


@on_curio
async def test_server_at_a_reused_address_runs_nothing():
    origin = Origin(target_id='i-2')

    async with deployed(origin) as deployment:
        entry = server_row(address=origin.address)
        deployment.store.remove('servers', 'i-2')
        deployment.store.put('servers', 'i-1', entry)
        entries = deployment.host.fleet_view.directory.entries_by_id
        await until(lambda: list(entries) == ['i-1'])
        response = await deployment.send('/accept/7', method='POST')
    assert response.status == 503
    assert not origin.runs


@on_curio
async def test_host_without_a_configuration_refuses_and_is_not_ready():
    async with deployed(ready=False) as deployment:
        host_settings = deployment.settings
        await until(lambda: deployment.store.calls)
        readiness = await deployment.get(host_settings.readiness, '/readiness')
        response, readiness = await deployment.send('/lookup/7'), readiness
    assert (response.status, readiness.status) == (503, 503)


@on_curio
async def test_newer_configuration_is_applied_and_older_ignored():
    async with deployed(Origin(target_id='i-1')) as deployment:
        deployment.store.put('op', 'config', configuration_row(version='0' * 8))
        deployment.store.put(
            'op', 'config', configuration_row(version='00000020')
        )
        await until(lambda: deployment.host.state.version == 32)
        response = await deployment.send('/lookup/7')
    assert response.status == 404


@on_curio
async def test_leaving_target_gets_no_new_requests():
    first, second = _origins()

    async with deployed(first, second) as deployment:
        entry = server_row(address=first.address, state='draining')
        deployment.store.put('servers', 'i-1', entry)
        entries = deployment.host.fleet_view.directory.entries_by_id
        await until(lambda: entries[TargetId('i-1')].leaving)
        first.runs = 0
        for _ in range(6):
            await deployment.send('/lookup/7')
    assert (first.runs, second.runs) == (0, 6)


@on_curio
async def test_host_serves_while_the_store_is_unavailable():
    async with deployed(Origin(target_id='i-1')) as deployment:
        deployment.store.error_status = HTTPStatus.SERVICE_UNAVAILABLE
        await curio.sleep(1)
        response = await deployment.send('/lookup/7')
        deployment.store.error_status = None
        deployment.store.put(
            'op', 'config', configuration_row(version='00000020')
        )
        await until(lambda: deployment.host.state.version == 32)
        outage_response = response
    assert outage_response.status == 200


@on_curio
async def test_host_that_may_lack_a_route_does_not_deny_it():
    async with deployed(Origin(target_id='i-1')) as deployment:
        known = await deployment.send('/nowhere/')
        deployment.store.error_status = HTTPStatus.SERVICE_UNAVAILABLE
        schedule = deployment.host.fleet_view.targets.schedule
        await until(lambda: not schedule.is_current(now=Clock().now()))
        unknown = await deployment.send('/nowhere/')
        served = await deployment.send('/lookup/7')
    assert (known.status, unknown.status, served.status) == (404, 503, 200)
    assert float(unknown.headers_by_name['retry-after']) > 0


@on_curio
async def test_directory_returns_addresses_and_their_ttl():
    async with deployed(Origin(target_id='i-1')) as deployment:
        path = '/resolve?name=quotes.example&region=noord&zone=groningen'
        address = deployment.settings.directory
        front, response = deployment.front, await deployment.get(address, path)
    document = json.loads(response.body)
    assert document == {'addresses': [front], 'ttl_s': 1}


@on_curio
async def test_drain_finishes_requests_in_flight_and_is_not_ready():
    origin = Origin(target_id='i-1', delay_s=0.9)

    async with deployed(origin) as deployment:
        sent = await curio.spawn(deployment.send('/accept/7', method='POST'))
        await until(lambda: origin.runs)
        stop = await curio.spawn(deployment.host.drain, None)
        await curio.sleep(0.1)
        ready = await deployment.get(
            deployment.settings.readiness, '/readiness'
        )
        answer = await sent.join()
        await stop.cancel()
        answer, ready = answer, ready
    assert (answer.status, ready.status) == (200, 503)
    assert answer.headers_by_name['connection'] == 'close'


@on_curio
async def test_request_that_crashes_targets_is_quarantined():
    origins = [Origin(target_id=f'i-{number}') for number in range(6)]
    async with deployed(*origins) as deployment:
        for origin in origins:
            origin.crashing_path = '/accept/bad'
        statuses = []
        for number in range(6):
            response = await deployment.send(
                '/accept/bad', method='POST', request_id=f'r{number}'
            )
            statuses.append(response.status)
            await curio.sleep(0.2)
        other = await deployment.send('/accept/good', method='POST')
    assert statuses[-1] == HTTPStatus.SERVICE_UNAVAILABLE
    assert sum(origin.runs for origin in origins if origin.crashed) <= 3
    assert other.status == HTTPStatus.OK


@on_curio
async def test_request_that_crashes_targets_into_silence_is_quarantined():
    origins = [
        Origin(target_id=f'i-{number}', crashes_into_silence=True)
        for number in range(6)
    ]
    async with deployed(*origins) as deployment:
        for origin in origins:
            origin.crashing_path = '/accept/bad'
        for number in range(4):
            response = await deployment.send(
                '/accept/bad', method='POST', request_id=f'r{number}'
            )
            await curio.sleep(0.4)
        other = await deployment.send('/accept/good', method='POST')
    assert response.status == HTTPStatus.SERVICE_UNAVAILABLE
    assert sum(origin.crashed for origin in origins) <= 3
    assert other.status == HTTPStatus.OK


@on_curio
async def test_request_that_times_out_at_live_targets_is_not_quarantined():
    origins = [
        Origin(target_id=f'i-{number}', delay_s=1.5) for number in range(3)
    ]
    async with deployed(*origins) as deployment:
        for number in range(3):
            response = await deployment.send(
                '/accept/7', method='POST', request_id=f'r{number}'
            )
            assert response.status == HTTPStatus.GATEWAY_TIMEOUT
            await curio.sleep(0.1)
        for origin in origins:
            origin.delay_s = 0
        response = await deployment.send('/accept/7', method='POST')
    assert response.status == HTTPStatus.OK


@on_curio
async def test_request_at_a_resetting_target_is_not_quarantined():
    first, second = _origins()
    first.resets = True
    second.resets = True
    async with deployed(first, second) as deployment:
        for number in range(5):
            await deployment.send(
                '/accept/7', method='POST', request_id=f'r{number}'
            )
            await curio.sleep(0.1)
        first.resets = False
        second.resets = False
        response = await deployment.send('/accept/7', method='POST')
    assert response.status == HTTPStatus.OK


@on_curio
async def test_requests_of_a_slow_service_are_not_duplicated():
    first = Origin(target_id='i-1', delay_s=0.8)
    second = Origin(target_id='i-2', delay_s=0.8)
    async with deployed(first, second) as deployment:
        # Both targets are slower than the earliest time for a hedge.
        await deployment.send('/lookup/7', request_id='r1')
        first.runs = 0
        second.runs = 0
        response = await deployment.send('/lookup/7', request_id='r2')
    assert response.status == HTTPStatus.OK
    assert first.runs + second.runs == 1


@on_curio
async def test_requests_beyond_the_slots_are_queued():
    origin = Origin(target_id='i-1', slots=1, delay_s=0.2)
    async with deployed(origin) as deployment:
        responses = await deployment.send_concurrently(4)
    assert [answer.status for answer in responses] == [HTTPStatus.OK] * 4
    # One request more than the slots is sent to keep the target busy.
    assert (origin.runs, origin.max_in_flight) == (4, 2)


@on_curio
async def test_request_without_a_free_slot_in_time_is_refused():
    origin = Origin(target_id='i-1', slots=1, delay_s=0.6)
    async with deployed(origin) as deployment:
        responses = await deployment.send_concurrently(5)
    refused = [
        response
        for response in responses
        if response.status == HTTPStatus.SERVICE_UNAVAILABLE
    ]
    assert refused
    assert origin.runs + len(refused) == 5
    assert all(
        float(response.headers_by_name['retry-after']) > 0
        for response in refused
    )


@on_curio
async def test_request_that_may_have_run_gets_no_refusal():
    origin = Origin(target_id='i-1', resets=True)

    async with deployed(origin) as deployment:
        response = await deployment.send('/lookup/7')
    assert origin.runs == 1
    assert response.status == HTTPStatus.BAD_GATEWAY


@on_curio
async def test_closing_host_refuses_queued_requests():
    origin = Origin(target_id='i-1', slots=1, delay_s=0.8)
    async with deployed(origin) as deployment:
        running = [
            await curio.spawn(
                deployment.send('/accept/7', method='POST', request_id=name)
            )
            for name in ('r0', 'r1')
        ]
        await until(lambda: origin.in_flight == 2)
        waiting = await curio.spawn(
            deployment.send('/accept/7', method='POST', request_id='r2')
        )
        await until(lambda: deployment.host.dispatcher.waiting_count)
        deployment.host.state.phase = HostPhase.closing
        statuses = [(await task.join()).status for task in (*running, waiting)]
    assert statuses == [
        HTTPStatus.OK,
        HTTPStatus.OK,
        HTTPStatus.SERVICE_UNAVAILABLE,
    ]
    assert origin.runs == 2


@pytest.mark.parametrize(
    ('key', 'fields'),
    [
        ('i-2', {'zone': '\ud800'}),
        ('\ud800', {}),
        ('i-2', {'address': '127.0.0.1:65536'}),
        ('i-2', {'capacity': 10**400}),
    ],
)
@on_curio
async def test_odd_entry_of_another_writer_does_not_stop_the_host(key, fields):
    async with deployed(Origin(target_id='i-1')) as deployment:
        store = deployment.store
        store.put('servers', key, server_row(**fields))
        entry = server_row(address=deployment.origins['i-1'].address)
        store.put('servers', 'i-3', entry)
        entries = deployment.host.fleet_view.directory.entries_by_id
        await until(lambda: 'i-3' in entries)
        answer = await deployment.send('/lookup/7')
    assert answer.status in {200, 502}
    assert set(entries) == {'i-1', 'i-3'}
