"""Answers without an end to requests of the fleet itself."""

import socket

import curio
import pytest

from chicorybridge.http.fetchers import ClientConnection
from chicorybridge.http.services import Request
from chicorybridge.tests.http.floods import FloodingSocket

HEALTH = Request(method='GET', path='/health')
CHUNKED = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
BRIEF_S = 0.1


async def _fetch(first, repeated):
    with socket.socket() as raw:
        connection = ClientConnection(raw=raw)
        connection.sock = FloodingSocket(first, repeated)
        await connection.exchange(HEALTH, host='a')


@pytest.mark.parametrize(
    ('first', 'repeated'),
    [
        (b'', b'HTTP/1.1 100 Continue\r\n\r\n'),
        (CHUNKED, b'1\r\na\r\n'),
    ],
)
async def test_endless_fetch_does_not_starve_other_tasks(first, repeated):
    """Reading that never waits gives way, so that its time limit holds."""
    with pytest.raises(curio.TaskTimeout):
        async with curio.timeout_after(BRIEF_S):
            await _fetch(first, repeated)
