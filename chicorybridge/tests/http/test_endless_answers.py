"""Answers of targets that never end, and come faster than they are read."""

import tracemalloc

import curio
import pytest

from chicorybridge import settings
from chicorybridge.http.exchanges import ExchangeError
from chicorybridge.tests.http.floods import asked

CHUNKED = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
UNFRAMED = b'HTTP/1.1 200 OK\r\n\r\n'
SIZED = b'HTTP/1.1 200 OK\r\nContent-Length: 9999999999999\r\n\r\n'
OF_THREE = b'HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n'
EMPTY = b'HTTP/1.1 204 No Content\r\n\r\n'
BRIEF_S = 0.1
KEPT_BYTES = 16 * 1024
# One more read may be under way.
MOST_BYTES = settings.MAX_SKIPPED_BYTES + settings.RECEIVE_BYTES
MOST_HEAD_BYTES = settings.MAX_HEAD_BYTES + settings.RECEIVE_BYTES


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
    ('head', 'repeated'),
    [(b'', OF_THREE + b'old'), (b'', EMPTY), (UNFRAMED, b'bytes')],
)
async def test_late_answers_without_end_are_refused(head, repeated):
    """So is one whose body has no end."""
    exchange = await asked(head, repeated)
    with pytest.raises(ExchangeError, match='too much ahead'):
        await _skip_all(exchange)
    assert exchange.sock.received <= MOST_BYTES


@pytest.mark.parametrize(
    ('first', 'repeated'),
    [
        (b'HTTP/1.1 200 OK\r\n', b'Name: of a header\r\n'),
        (b'HTTP/1.1 200 OK\r\nName: ', b'of a header'),
        (b'HTTP/1.1 200 OK\r\nName: a\r\n', b' folded\r\n'),
        (b'HTTP/1.1 200 ', b'reason'),
        (b'', b'\r\n'),
        (b'', b'\n'),
        (b'', b'\x00'),
        (b'', b'no answer'),
        (b'', b'no answer\r\n'),
    ],
)
async def test_head_without_an_end_is_refused_early(first, repeated):
    exchange = await asked(first, repeated)
    with pytest.raises(ExchangeError):
        await exchange.read_head()
    assert exchange.sock.received <= MOST_HEAD_BYTES
    assert not exchange.next_cycle()


@pytest.mark.parametrize(
    ('first', 'repeated'),
    [
        (b'', b'0'),
        (b'1', b' '),
        (b'1;name=', b'extension'),
        (b'1\r\na', b'a'),
        (b'0\r\n', b'Name: of a trailer\r\n'),
        (b'0\r\nName: ', b'of a trailer'),
        (b'', b'no chunk\r\n'),
    ],
)
async def test_framing_of_chunks_without_an_end_is_refused_early(
    first, repeated
):
    exchange = await asked(CHUNKED + first, repeated)
    await exchange.read_head()
    with pytest.raises(ExchangeError):
        await _read_all(exchange)
    assert exchange.sock.received <= MOST_HEAD_BYTES
    assert not exchange.next_cycle()


@pytest.mark.parametrize('head', [OF_THREE, EMPTY])
async def test_bytes_after_an_answer_are_not_read(head):
    """What follows without end is left where it is."""
    exchange = await asked(head + b'newx', b'x')
    await exchange.read_head()
    await _read_all(exchange)
    assert exchange.sock.received == len(head) + len(b'newx')
    assert not exchange.next_cycle()


async def test_body_in_tiny_chunks_takes_no_more_memory_than_its_bytes():
    exchange = await asked(CHUNKED, b'2\r\nab\r\n')
    await exchange.read_head()
    tracemalloc.start()
    body, ended = await exchange.read_body(KEPT_BYTES)
    _, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert (len(body), ended) == (KEPT_BYTES, False)
    assert peak < 4 * settings.RECEIVE_BYTES
