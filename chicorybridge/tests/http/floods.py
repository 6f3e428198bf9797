"""A peer that sends bytes faster than they are read, for tests."""

import time

from chicorybridge.common.clocks import Clock
from chicorybridge.http.target_exchanges import TargetExchange

# Reads fail after this time in seconds, so that a test ends even if the
# reader never yields.
FLOOD_S = 1


class FloodingSocket:
    """A socket on which reads never block and never reach an end."""

    def __init__(self, first: bytes, repeated: bytes) -> None:
        """Return `first` from the first read, then repeat `repeated`."""
        self._first = first
        self._repeated = repeated
        self._ends_at = time.monotonic() + FLOOD_S
        self.received_bytes = 0

    async def recv(self, size: int) -> bytes:
        """Return the first bytes, then as many whole repeats as fit."""
        if time.monotonic() > self._ends_at:
            raise OSError('the reader did not stop before the end of the flood')
        chunk = self._first or self._repeated * (size // len(self._repeated))
        self._first = b''
        self.received_bytes += len(chunk)
        return chunk

    async def sendall(self, sent: bytes) -> None:
        """Discard the bytes."""

    async def shutdown(self, how: int) -> None:
        """Ignore the shutdown and keep sending."""


async def flooded_exchange(first: bytes, repeated: bytes) -> TargetExchange:
    """Return an exchange that sent a request to a flooding target."""
    exchange = TargetExchange(
        sock=FloodingSocket(first, repeated),
        clock=Clock(),
        address='',
        allow_close_delimited=True,
    )
    await exchange.send_request(
        method=b'GET', path=b'/', headers=[(b'host', b'a')], body=b''
    )
    return exchange
