"""Endless answers of targets that arrive faster than they are read."""

import tracemalloc

import curio
import pytest

from chicorybridge import settings
from chicorybridge.http.exchanges import ExchangeError
from chicorybridge.tests.http.floods import flooded_exchange

CHUNKED = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
CLOSE_DELIMITED = b'HTTP/1.1 200 OK\r\n\r\n'
SIZED = b'HTTP/1.1 200 OK\r\nContent-Length: 9999999999999\r\n\r\n'
THREE_BYTES = b'HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n'
EMPTY = b'HTTP/1.1 204 No Content\r\n\r\n'
TIMEOUT_S = 0.1
BODY_BYTES = 16 * 1024
# The limit is checked after a read, which may exceed it.
MAX_BYTES = settings.MAX_SKIPPED_BYTES + settings.RECEIVE_BYTES
MAX_READ_HEAD_BYTES = settings.MAX_HEAD_BYTES + settings.RECEIVE_BYTES


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
        (CLOSE_DELIMITED, b'bytes'),
        (SIZED, b'bytes'),
    ],
)
async def test_endless_body_does_not_block_other_tasks(head, repeated):
    """Reads that never block still yield, so that the timeout takes effect."""
    exchange = await flooded_exchange(head, repeated)
    await exchange.read_head()
    with pytest.raises(curio.TaskTimeout):
        async with curio.timeout_after(TIMEOUT_S):
            await _read_all(exchange)


@pytest.mark.parametrize('status', [b'100', b'103'])
async def test_endless_informational_answers_are_an_error(status):
    """With a timeout alone, they would use the CPU until it expires."""
    exchange = await flooded_exchange(
        b'', b'HTTP/1.1 %s \r\nA: b\r\n\r\n' % status
    )
    with pytest.raises(ExchangeError, match='too many answers before'):
        await exchange.read_head()
    assert exchange.sock.received_bytes <= MAX_BYTES


@pytest.mark.parametrize(
    ('head', 'repeated'),
    [(b'', THREE_BYTES + b'old'), (b'', EMPTY), (CLOSE_DELIMITED, b'bytes')],
)
async def test_endless_skipped_answers_are_an_error(head, repeated):
    """A skipped answer with an endless body is an error too."""
    exchange = await flooded_exchange(head, repeated)
    with pytest.raises(
        ExchangeError, match='too (many answers|much data) before'
    ):
        await _skip_all(exchange)
    assert exchange.sock.received_bytes <= MAX_BYTES


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
async def test_endless_head_is_an_error_at_the_size_limit(first, repeated):
    exchange = await flooded_exchange(first, repeated)
    with pytest.raises(ExchangeError):
        await exchange.read_head()
    assert exchange.sock.received_bytes <= MAX_READ_HEAD_BYTES
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
async def test_endless_chunk_framing_is_an_error_at_the_size_limit(
    first, repeated
):
    exchange = await flooded_exchange(CHUNKED + first, repeated)
    await exchange.read_head()
    with pytest.raises(ExchangeError):
        await _read_all(exchange)
    assert exchange.sock.received_bytes <= MAX_READ_HEAD_BYTES
    assert not exchange.next_cycle()


@pytest.mark.parametrize('head', [THREE_BYTES, EMPTY])
async def test_bytes_after_an_answer_are_not_read(head):
    """The connection is not reused, and endless bytes stay unread."""
    exchange = await flooded_exchange(head + b'newx', b'x')
    await exchange.read_head()
    await _read_all(exchange)
    assert exchange.sock.received_bytes == len(head) + len(b'newx')
    assert not exchange.next_cycle()


async def test_memory_of_a_body_in_tiny_chunks_is_limited():
    exchange = await flooded_exchange(CHUNKED, b'2\r\nab\r\n')
    await exchange.read_head()
    tracemalloc.start()
    body, is_complete = await exchange.read_body(BODY_BYTES)
    _, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert (len(body), is_complete) == (BODY_BYTES, False)
    assert peak < 4 * settings.RECEIVE_BYTES
