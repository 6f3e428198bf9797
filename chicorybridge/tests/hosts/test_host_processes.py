"""The process of a host, from a caller's request to its answer."""

import json
from http import HTTPStatus

import curio
import pytest

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
async def test_answer_of_a_target_comes_whole_and_signed():
    async with deployed(Origin(target_id='i-1')) as deployment:
        response = await deployment.send('/lookup/7')
    headers = response.headers_by_name
    assert (response.status, response.body) == (200, b'i-1')
    assert headers['x-server-signature'] == 'i-1'
    assert headers['x-request-id'] == 'r'


@on_curio
async def test_target_gets_its_id_and_no_more_time_than_is_left():
    async with deployed(Origin(target_id='i-1')) as deployment:
        await deployment.send('/lookup/7')
        asked = deployment.origins['i-1'].asked[0]
    assert asked.headers_by_name['x-expect-instance'] == 'i-1'
    assert int(asked.headers_by_name['x-deadline-ms']) <= 2000


@on_curio
async def test_repeatable_request_is_tried_elsewhere():
    first, second = _origins()
    first.resetting = True

    async with deployed(first, second) as deployment:
        statuses = []
        for serial in range(6):
            response = await deployment.send(
                '/lookup/7', request_id=f'r{serial}'
            )
            statuses.append(response.status)
        found = statuses
    assert found == [200] * 6


@on_curio
async def test_request_that_may_run_once_is_never_sent_twice():
    first, second = _origins()
    first.resetting = True
    second.resetting = True

    async with deployed(first, second) as deployment:
        response = await deployment.send('/accept/7', method='POST')
    assert response.status == 502
    assert first.runs + second.runs == 1


@on_curio
async def test_request_that_no_target_took_is_told_when_to_come_back():
    first, second = _origins()
    first.full = True
    second.full = True

    async with deployed(first, second) as deployment:
        response = await deployment.send('/accept/7', method='POST')
    assert response.status == 503
    assert float(response.headers_by_name['retry-after']) > 0
    assert first.runs + second.runs == 0


@on_curio
async def test_refusing_target_is_passed_over_for_work_that_may_run_once():
    first, second = _origins()
    first.full = True

    async with deployed(first, second) as deployment:
        found = [
            (await deployment.send('/accept/7', method='POST')).status
            for _ in range(4)
        ]
    assert found == [200] * 4
    assert second.runs == 4


@pytest.mark.parametrize('status', [408, 421, 429, 503])
@on_curio
async def test_status_after_a_run_does_not_promise_that_nothing_ran(status):
    origin = Origin(target_id='i-1', status=status, signed=False)

    async with deployed(origin) as deployment:
        found = await deployment.send('/accept/7', method='POST')
    expected = 503 if status == 421 else 502
    assert found.status == expected


@on_curio
async def test_unsigned_success_is_no_success():
    origin = Origin(target_id='i-1', signed=False)
    async with deployed(origin) as deployment:
        response = await deployment.send('/accept/7', method='POST')
    assert response.status == 502


@on_curio
async def test_route_times_out_while_its_target_hangs():
    origin = Origin(target_id='i-1', work_s=3)
    async with deployed(origin) as deployment:
        response = await deployment.send('/accept/7', method='POST')
    assert response.status == 504


@on_curio
async def test_address_used_by_another_server_runs_nothing():
    origin = Origin(target_id='i-2')

    async with deployed(origin) as deployment:
        entry = server_row(address=origin.address)
        deployment.store.remove('servers', 'i-2')
        deployment.store.put('servers', 'i-1', entry)
        entries = deployment.host.fleet_view.directory.entries_by_id
        await until(lambda: list(entries) == ['i-1'])
        found = await deployment.send('/accept/7', method='POST')
    assert found.status == 503
    assert not origin.runs


@on_curio
async def test_host_without_a_configuration_refuses_and_is_not_ready():
    async with deployed(ready=False) as deployment:
        host_settings = deployment.settings
        await until(lambda: deployment.store.calls)
        readiness = await deployment.call(host_settings.readiness, '/readiness')
        response, readiness = await deployment.send('/lookup/7'), readiness
    assert (response.status, readiness.status) == (503, 503)


@on_curio
async def test_newer_configuration_governs_and_older_is_left_out():
    async with deployed(Origin(target_id='i-1')) as deployment:
        deployment.store.put('op', 'config', configuration_row(version='0' * 8))
        deployment.store.put(
            'op', 'config', configuration_row(version='00000020')
        )
        await until(lambda: deployment.host.state.version == 32)
        found = await deployment.send('/lookup/7')
    assert found.status == 404


@on_curio
async def test_leaving_target_gets_no_new_work():
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
async def test_store_that_is_away_stops_nothing():
    async with deployed(Origin(target_id='i-1')) as deployment:
        deployment.store.refusing = HTTPStatus.SERVICE_UNAVAILABLE
        await curio.sleep(1)
        response = await deployment.send('/lookup/7')
        deployment.store.refusing = None
        deployment.store.put(
            'op', 'config', configuration_row(version='00000020')
        )
        await until(lambda: deployment.host.state.version == 32)
        found = response
    assert found.status == 200


@on_curio
async def test_caller_is_told_the_addresses_and_how_long_they_count():
    async with deployed(Origin(target_id='i-1')) as deployment:
        path = '/resolve?name=quotes.example&region=noord&zone=groningen'
        address = deployment.settings.directory
        front, response = deployment.front, await deployment.call(address, path)
    document = json.loads(response.body)
    assert document == {'addresses': [front], 'ttl_s': 1}


@on_curio
async def test_stop_finishes_what_is_under_way_and_refuses_the_rest():
    origin = Origin(target_id='i-1', work_s=0.9)

    async with deployed(origin) as deployment:
        sent = await curio.spawn(deployment.send('/accept/7', method='POST'))
        await until(lambda: origin.runs)
        stop = await curio.spawn(deployment.host.drain, None)
        await curio.sleep(0.1)
        ready = await deployment.call(
            deployment.settings.readiness, '/readiness'
        )
        answer = await sent.join()
        await stop.cancel()
        answer, ready = answer, ready
    assert (answer.status, ready.status) == (200, 503)
    assert answer.headers_by_name['connection'] == 'close'


@on_curio
async def test_request_that_crashes_targets_is_refused_after_few():
    origins = [Origin(target_id=f'i-{serial}') for serial in range(6)]
    async with deployed(*origins) as deployment:
        for origin in origins:
            origin.crashing_path = '/accept/bad'
        statuses = []
        for serial in range(6):
            response = await deployment.send(
                '/accept/bad', method='POST', request_id=f'r{serial}'
            )
            statuses.append(response.status)
            await curio.sleep(0.2)
        other = await deployment.send('/accept/good', method='POST')
    assert statuses[-1] == HTTPStatus.SERVICE_UNAVAILABLE
    assert sum(origin.runs for origin in origins if origin.crashed) <= 3
    assert other.status == HTTPStatus.OK


@on_curio
async def test_request_at_a_target_that_resets_is_not_to_blame():
    first, second = _origins()
    first.resetting = True
    second.resetting = True
    async with deployed(first, second) as deployment:
        for serial in range(5):
            await deployment.send(
                '/accept/7', method='POST', request_id=f'r{serial}'
            )
            await curio.sleep(0.1)
        first.resetting = False
        second.resetting = False
        response = await deployment.send('/accept/7', method='POST')
    assert response.status == HTTPStatus.OK


@on_curio
async def test_slow_service_is_not_asked_twice():
    first = Origin(target_id='i-1', work_s=0.8)
    second = Origin(target_id='i-2', work_s=0.8)
    async with deployed(first, second) as deployment:
        # Both answers take longer than the share of the target latency.
        await deployment.send('/lookup/7', request_id='r1')
        first.runs = 0
        second.runs = 0
        response = await deployment.send('/lookup/7', request_id='r2')
    assert response.status == HTTPStatus.OK
    assert first.runs + second.runs == 1


@on_curio
async def test_requests_beyond_the_slots_wait_for_their_turn():
    origin = Origin(target_id='i-1', slots=1, work_s=0.2)
    async with deployed(origin) as deployment:
        found = await deployment.accept_at_once(4)
    assert [answer.status for answer in found] == [HTTPStatus.OK] * 4
    # One besides the slots keeps the target busy.
    assert (origin.runs, origin.busiest) == (4, 2)


@on_curio
async def test_request_that_finds_no_room_in_time_is_refused_without_running():
    origin = Origin(target_id='i-1', slots=1, work_s=0.6)
    async with deployed(origin) as deployment:
        found = await deployment.accept_at_once(5)
    refused = [
        response
        for response in found
        if response.status == HTTPStatus.SERVICE_UNAVAILABLE
    ]
    assert refused
    assert origin.runs + len(refused) == 5
    assert all(
        float(response.headers_by_name['retry-after']) > 0
        for response in refused
    )


@on_curio
async def test_request_that_ran_in_vain_is_not_told_that_it_did_not():
    origin = Origin(target_id='i-1', resetting=True)

    async with deployed(origin) as deployment:
        response = await deployment.send('/lookup/7')
    assert origin.runs == 1
    assert response.status == HTTPStatus.BAD_GATEWAY


@on_curio
async def test_stop_refuses_requests_that_still_wait():
    origin = Origin(target_id='i-1', slots=1, work_s=0.8)
    async with deployed(origin) as deployment:
        running = [
            await curio.spawn(
                deployment.send('/accept/7', method='POST', request_id=name)
            )
            for name in ('r0', 'r1')
        ]
        await until(lambda: origin.busy == 2)
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
