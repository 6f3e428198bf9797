"""Chunks of a body in memory; small ones are joined."""

from collections import deque

from chicorybridge.http import settings


class ChunkBuffer:
    """Bytes in the order of arrival.

    Large chunks are kept as they are. Small ones are joined, as an object for
    each takes many times the memory of its bytes.
    """

    def __init__(self) -> None:
        """Start empty."""
        self.count = 0
        self._chunks: deque[bytes] = deque()
        # The last chunk while small ones are added to it.
        self._joined = bytearray()

    def append(self, chunk: bytes) -> None:
        """Add a chunk at the end."""
        self.count += len(chunk)
        if len(chunk) < settings.JOINED_CHUNK_BYTES:
            self._joined += chunk
            if len(self._joined) < settings.JOINED_BUFFER_BYTES:
                return
            chunk = b''
        self._end_joined()
        if chunk:
            self._chunks.append(chunk)

    def pop_first(self) -> bytes:
        """Remove and return the first chunk; raise `IndexError` if empty."""
        if not self._chunks:
            self._end_joined()
        chunk = self._chunks.popleft()
        self.count -= len(chunk)
        return chunk

    def joined(self) -> bytes:
        """Return all bytes as one chunk and keep them so."""
        self._end_joined()
        if len(self._chunks) != 1:
            whole = b''.join(self._chunks)
            self._chunks.clear()
            self._chunks.append(whole)
        return self._chunks[0]

    def clear(self) -> None:
        """Drop all bytes."""
        self.count = 0
        self._chunks.clear()
        self._joined = bytearray()

    def _end_joined(self) -> None:
        if self._joined:
            self._chunks.append(bytes(self._joined))
            self._joined = bytearray()
