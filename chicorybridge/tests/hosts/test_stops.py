"""Planned stops of a host: what it takes, it answers within the grace."""

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
# A request sent later than this after the signal may not be cut.
EXCUSED_S = 3


def _lengthen_grace(deployment: Deployment) -> None:
    bounds = dataclasses.replace(deployment.settings.bounds, grace_ms=GRACE_MS)
    deployment.host.reload(
        dataclasses.replace(deployment.settings, bounds=bounds)
    )


@on_curio
async def test_long_grace_takes_no_request_that_may_outlast_it():
    async with deployed(Origin(target_id='i-1')) as deployment:
        _lengthen_grace(deployment)
        stop = await curio.spawn(deployment.host.drain, None)
        await until(
            lambda: deployment.host.state.phase is HostPhase.closing,
            within_s=EXCUSED_S,
        )
        await stop.cancel()
