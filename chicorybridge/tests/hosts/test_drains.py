"""Planned stops of a host whose callers go on coming."""

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
# Enough that a request is under way at any moment.
CROWD = 24
# Callers take so long to close a connection on which they got an answer.
CLOSE_S = 0.2
# Far above what it takes to answer or refuse what has come.
FINISH_S = 0.5


@on_curio
async def test_stop_is_not_held_up_by_callers_that_come_after_it():
    async with deployed(Origin(target_id='i-1')) as deployment:
        async with curio.TaskGroup() as callers:
            for _ in range(CALLERS):
                await callers.spawn(_send_on, deployment)
                await curio.sleep(CLOSE_S / CALLERS)
            lasted_s = await _stop(deployment)
            await callers.cancel_remaining()
    assert lasted_s < _allowed_s(deployment)


@on_curio
async def test_stop_is_not_held_up_by_requests_that_it_refuses():
    async with deployed(Origin(target_id='i-1')) as deployment:
        async with curio.TaskGroup() as callers:
            for _ in range(CROWD):
                await callers.spawn(_send_at_once, deployment)
            lasted_s = await _stop(deployment)
            await callers.cancel_remaining()
    assert lasted_s < _allowed_s(deployment)


async def _stop(deployment: Deployment) -> float:
    """Stop the host and return how many seconds it took."""
    began_at = await curio.clock()
    await deployment.host.drain(sockets.listen('127.0.0.1:0'))
    return await curio.clock() - began_at


def _allowed_s(deployment: Deployment) -> float:
    grace_s = as_seconds(deployment.settings.bounds.grace_ms)
    return grace_s * settings.DRAIN_SERVE_SHARE + FINISH_S


async def _send_at_once(deployment: Deployment) -> None:
    """Send requests one after the other, each on a new connection."""
    while True:
        with contextlib.suppress(OSError):
            await _send(deployment, for_s=0)
        await curio.sleep(0)


async def _send_on(deployment: Deployment) -> None:
    while True:
        await _send(deployment, for_s=CLOSE_S)


async def _send(deployment: Deployment, *, for_s: float) -> None:
    """Send a request, and close `for_s` after its answer."""
    sock = await sockets.connect(deployment.front)
    try:
        await sock.sendall(LOOKUP)
        await sock.recv(RECEIVE_BYTES)
        await curio.sleep(for_s)
    finally:
        await sock.close()
