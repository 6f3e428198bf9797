"""Planned stops: a host answers accepted requests within the grace period."""

import dataclasses
from http import HTTPStatus

import curio

from chicorybridge import settings
from chicorybridge.common.clocks import MILLIS_PER_SECOND, Clock
from chicorybridge.common.identities import ServiceId
from chicorybridge.hosts.states import HostPhase
from chicorybridge.tests.hosts.deployments import (
    Deployment,
    Origin,
    deployed,
    on_curio,
    until,
)

GRACE_MS = 20_000
# Longer than what is left of the grace period when the host still serves.
SLOW_S = 1.7
# Longest time from the signal to the refusal of new requests; any that is
# accepted later must not be cut.
MAX_OPEN_S = 3


def _lengthen_grace(deployment: Deployment) -> None:
    bounds = dataclasses.replace(deployment.settings.bounds, grace_ms=GRACE_MS)
    deployment.host.reload(
        dataclasses.replace(deployment.settings, bounds=bounds)
    )


@on_curio
async def test_host_closes_before_a_request_could_outlast_the_grace():
    async with deployed(Origin(target_id='i-1')) as deployment:
        _lengthen_grace(deployment)
        stop = await curio.spawn(deployment.host.drain, None)
        await until(
            lambda: deployment.host.state.phase is HostPhase.closing,
            within_s=MAX_OPEN_S,
        )
        await stop.cancel()


async def _send_while_slow(deployment: Deployment) -> int:
    """Make the service slow, then send a request in a planned stop."""
    origin = deployment.origins['i-1']
    origin.delay_s = SLOW_S
    known = deployment.host.fleet_view.results.latencies
    for _ in range(settings.MIN_QUANTILE_SAMPLES):
        known.of(ServiceId('quotes')).add(
            SLOW_S * MILLIS_PER_SECOND, now=Clock().now()
        )
    stop = await curio.spawn(deployment.host.drain, None)
    await until(lambda: deployment.host.state.phase is HostPhase.draining)
    await curio.sleep(0.5)
    answer = await deployment.send('/accept/7', method='POST')
    await stop.cancel()
    return answer.status


@on_curio
async def test_request_that_a_stop_would_cut_is_refused():
    """It was passed on, and cut without an answer when the process ended."""
    async with deployed(Origin(target_id='i-1')) as deployment:
        status = await _send_while_slow(deployment)
        runs = deployment.origins['i-1'].runs
    assert status == HTTPStatus.SERVICE_UNAVAILABLE
    assert not runs


@on_curio
async def test_request_late_in_the_grace_period_is_not_passed_on():
    async with deployed(Origin(target_id='i-1', delay_s=0.9)) as deployment:
        stop = await curio.spawn(deployment.host.drain, None)
        await until(lambda: deployment.host.state.phase is HostPhase.draining)
        sent = await curio.spawn(deployment.send('/accept/7', method='POST'))
        await until(lambda: deployment.host.state.phase is HostPhase.closing)
        late = await deployment.send('/accept/7', method='POST')
        first = await sent.join()
        await stop.cancel()
        runs = deployment.origins['i-1'].runs
    assert late.status == HTTPStatus.SERVICE_UNAVAILABLE
    assert (first.status, runs) == (HTTPStatus.OK, 1)
