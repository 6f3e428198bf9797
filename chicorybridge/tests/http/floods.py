"""An other end that sends bytes faster than they are read, for tests."""

import time

from chicorybridge.common.clocks import Clock
from chicorybridge.http.target_exchanges import TargetExchange

# A reader that never lets go ends after this time, in seconds.
FLOOD_S = 1


class FloodingSocket:
    """A socket on which reading never has to wait."""

    def __init__(self, first: bytes, repeated: bytes) -> None:
        """Give `first`, then `repeated` without end."""
        self._first = first
        self._repeated = repeated
        self._ends_at = time.monotonic() + FLOOD_S
        self.received = 0

    async def recv(self, size: int) -> bytes:
        """Return as many whole repeats as fit, at once."""
        if time.monotonic() > self._ends_at:
            raise OSError('reading went on to the end of the flood')
        given = self._first or self._repeated * (size // len(self._repeated))
        self._first = b''
        self.received += len(given)
        return given

    async def sendall(self, sent: bytes) -> None:
        """Take everything."""

    async def shutdown(self, how: int) -> None:
        """Go on sending."""


async def asked(first: bytes, repeated: bytes) -> TargetExchange:
    """Return an exchange that has asked a target that floods."""
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
