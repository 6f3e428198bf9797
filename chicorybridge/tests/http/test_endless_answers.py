"""Answers of targets that never end, and come faster than they are read."""

import curio
import pytest

from chicorybridge.tests.http.floods import asked

CHUNKED = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
UNFRAMED = b'HTTP/1.1 200 OK\r\n\r\n'
SIZED = b'HTTP/1.1 200 OK\r\nContent-Length: 9999999999999\r\n\r\n'
BRIEF_S = 0.1


async def _read_all(exchange):
    chunk = await exchange.read_chunk()
    while chunk:
        chunk = await exchange.read_chunk()


@pytest.mark.parametrize(
    ('head', 'repeated'),
    [
        (CHUNKED, b'1\r\na\r\n'),
        (CHUNKED, b'10;a=b\r\n0123456789abcdef\r\n'),
        (UNFRAMED, b'bytes'),
        (SIZED, b'bytes'),
    ],
)
async def test_endless_body_does_not_starve_other_tasks(head, repeated):
    """Reading that never waits gives way, so that its time limit holds."""
    exchange = await asked(head, repeated)
    await exchange.read_head()
    with pytest.raises(curio.TaskTimeout):
        async with curio.timeout_after(BRIEF_S):
            await _read_all(exchange)
