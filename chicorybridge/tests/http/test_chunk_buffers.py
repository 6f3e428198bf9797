"""Memory and order of buffered chunks."""

import sys
import tracemalloc

import pytest

from chicorybridge.http.chunk_buffers import ChunkBuffer

BODY_BYTES = 256 * 1024


@pytest.mark.parametrize('chunk_bytes', [1, 2, 4, 16, 5000, 65536])
def test_body_takes_about_as_much_memory_as_it_has_bytes(chunk_bytes):
    """An object for each chunk of 2 bytes took 22 times the bytes."""
    buffer = ChunkBuffer()
    tracemalloc.start()
    for _ in range(BODY_BYTES // chunk_bytes):
        buffer.append(bytes(chunk_bytes))
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert held < 1.2 * BODY_BYTES


def test_chunks_come_back_in_order_and_large_ones_unchanged():
    """A body that is streamed keeps the chunks of its caller if not small."""
    large = bytes(range(250)) * 40
    buffer = ChunkBuffer()
    for chunk in (b'ab', large, b'c', b'd', large):
        buffer.append(chunk)
    popped = []
    while buffer.count:
        popped.append(buffer.pop_first())
    assert popped == [b'ab', large, b'cd', large]
    assert popped[1] is large


def test_joined_bytes_are_copied_once():
    buffer = ChunkBuffer()
    buffer.append(b'ab' * 4000)
    buffer.append(b'cd')
    whole = buffer.joined()
    assert whole == b'ab' * 4000 + b'cd'
    assert buffer.joined() is whole
    assert sys.getsizeof(whole) < 2 * len(whole)


def test_empty_body_is_joined_and_cleared():
    buffer = ChunkBuffer()
    assert buffer.joined() == b''
    buffer.append(b'ab')
    buffer.clear()
    assert not buffer.count
    assert buffer.joined() == b''
