"""Planned stops of a host while callers keep sending requests."""

import contextlib

import curio

from chicorybridge import settings
from chicorybridge.common import sockets
from chicorybridge.common.clocks import as_seconds
from chicorybridge.tests.hosts.deployments import (
    Deployment,
    Origin,
    deployed,
    on_curio,
)

LOOKUP = (
    b'GET /lookup/7 HTTP/1.1\r\n'
    b'Host: quotes.example\r\n'
    b'X-Request-Id: r\r\n'
    b'X-Deadline-Ms: 4000\r\n\r\n'
)
RECEIVE_BYTES = 4096
CALLERS = 4
# Enough that a request is in flight at any moment.
BUSY_CALLERS = 24
# Delay after an answer before a caller closes its connection.
CLOSE_DELAY_S = 0.2
# Far above the time to answer or refuse the remaining requests.
FINISH_MARGIN_S = 0.5


@on_curio
async def test_new_connections_do_not_delay_a_stop():
    async with deployed(Origin(target_id='i-1')) as deployment:
        async with curio.TaskGroup() as callers:
            for _ in range(CALLERS):
                await callers.spawn(_send_repeatedly, deployment)
                await curio.sleep(CLOSE_DELAY_S / CALLERS)
            elapsed_s = await _stop(deployment)
            await callers.cancel_remaining()
    assert elapsed_s < _max_elapsed_s(deployment)


@on_curio
async def test_refused_requests_do_not_delay_a_stop():
    async with deployed(Origin(target_id='i-1')) as deployment:
        async with curio.TaskGroup() as callers:
            for _ in range(BUSY_CALLERS):
                await callers.spawn(_send_without_pause, deployment)
            elapsed_s = await _stop(deployment)
            await callers.cancel_remaining()
    assert elapsed_s < _max_elapsed_s(deployment)


async def _stop(deployment: Deployment) -> float:
    """Stop the host and return how many seconds it took."""
    started_at = await curio.clock()
    await deployment.host.drain(sockets.listen('127.0.0.1:0'))
    return await curio.clock() - started_at


def _max_elapsed_s(deployment: Deployment) -> float:
    grace_s = as_seconds(deployment.settings.bounds.grace_ms)
    return grace_s * settings.DRAIN_SERVE_SHARE + FINISH_MARGIN_S


async def _send_without_pause(deployment: Deployment) -> None:
    """Send requests without a pause, each on a new connection."""
    while True:
        with contextlib.suppress(OSError):
            await _send(deployment, close_after_s=0)
        await curio.sleep(0)


async def _send_repeatedly(deployment: Deployment) -> None:
    while True:
        await _send(deployment, close_after_s=CLOSE_DELAY_S)


async def _send(deployment: Deployment, *, close_after_s: float) -> None:
    """Send a request, and close `close_after_s` after its answer."""
    sock = await sockets.connect(deployment.front)
    try:
        await sock.sendall(LOOKUP)
        await sock.recv(RECEIVE_BYTES)
        await curio.sleep(close_after_s)
    finally:
        await sock.close()
