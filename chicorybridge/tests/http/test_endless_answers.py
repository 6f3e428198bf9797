"""Answers of targets that never end, and come faster than they are read."""

import curio
import pytest

from chicorybridge import settings
from chicorybridge.http.exchanges import ExchangeError
from chicorybridge.tests.http.floods import asked

CHUNKED = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
UNFRAMED = b'HTTP/1.1 200 OK\r\n\r\n'
SIZED = b'HTTP/1.1 200 OK\r\nContent-Length: 9999999999999\r\n\r\n'
LATE = b'HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nold'
LATE_EMPTY = b'HTTP/1.1 204 No Content\r\n\r\n'
BRIEF_S = 0.1
# One more read may be under way.
MOST_BYTES = settings.AHEAD_BYTES + settings.RECEIVE_BYTES


async def _read_all(exchange):
    chunk = await exchange.read_chunk()
    while chunk:
        chunk = await exchange.read_chunk()


async def _skip_all(exchange):
    while True:
        await exchange.read_head()
        await exchange.skip_answer()


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


@pytest.mark.parametrize('status', [b'100', b'103'])
async def test_informational_answers_without_end_are_refused(status):
    """A time limit alone would let them keep the process busy."""
    exchange = await asked(b'', b'HTTP/1.1 %s \r\nA: b\r\n\r\n' % status)
    with pytest.raises(ExchangeError, match='too much ahead'):
        await exchange.read_head()
    assert exchange.sock.received <= MOST_BYTES


@pytest.mark.parametrize(
    ('head', 'repeated'), [(b'', LATE), (b'', LATE_EMPTY), (UNFRAMED, b'bytes')]
)
async def test_late_answers_without_end_are_refused(head, repeated):
    """So is one whose body has no end."""
    exchange = await asked(head, repeated)
    with pytest.raises(ExchangeError, match='too much ahead'):
        await _skip_all(exchange)
    assert exchange.sock.received <= MOST_BYTES
