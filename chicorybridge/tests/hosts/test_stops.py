"""Planned stops: a host answers accepted requests within the grace period."""

import dataclasses

import curio

from chicorybridge.hosts.states import HostPhase
from chicorybridge.tests.hosts.deployments import (
    Deployment,
    Origin,
    deployed,
    on_curio,
    until,
)

GRACE_MS = 20_000
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
