"""Answers that exceed the buffer of the host and are streamed."""

import socket

import curio

from chicorybridge.common import sockets
from chicorybridge.tests.hosts.deployments import Origin, deployed, on_curio

LOOKUP = (
    b'GET /lookup/7 HTTP/1.1\r\n'
    b'Host: quotes.example\r\n'
    b'X-Request-Id: r\r\n'
    b'X-Deadline-Ms: 4000\r\n\r\n'
)
# More than socket buffers hold for a caller that does not read.
LARGE_BYTES = 7_000_000
# Longer than the hedging delay of a first attempt.
PAUSE_S = 1.2
RECEIVE_TIMEOUT_S = 2


@on_curio
async def test_streamed_answer_is_not_cut_at_the_hedging_delay():
    origins = [
        Origin(target_id=target_id, answer_body=bytes(LARGE_BYTES))
        for target_id in ('i-1', 'i-2')
    ]
    async with deployed(*origins) as deployment:
        sock = await sockets.connect(deployment.front)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65_536)
        await sock.sendall(LOOKUP)
        await curio.sleep(PAUSE_S)
        assert await _count_received(sock) > LARGE_BYTES


async def _count_received(sock: curio.io.Socket) -> int:
    """Return how many bytes arrive before the answer is complete or cut."""
    count = 0
    async with curio.ignore_after(RECEIVE_TIMEOUT_S):
        while count < LARGE_BYTES:
            received = await sock.recv(1_000_000)
            if not received:
                break
            count += len(received)
    return count
