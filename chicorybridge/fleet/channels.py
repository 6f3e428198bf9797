"""UDP messages between hosts; delivery is not guaranteed.

A datagram may wait in the socket while the process stands still, so each
message is handled with a time after which it arrived.
"""

import dataclasses
import logging
import socket
from collections.abc import Awaitable, Callable, Collection, Iterable
from typing import Any

from curio import traps

from chicorybridge import settings
from chicorybridge.common import sockets
from chicorybridge.common.clocks import Clock, Millis
from chicorybridge.common.codecs import pack, unpack, wire
from chicorybridge.common.errors import ChicorybridgeError
from chicorybridge.common.identities import HostId

logger = logging.getLogger(__name__)

# Called with a message, its sender, and a time after which it arrived.
MessageHandler = Callable[[Any, HostId, Millis], None]


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Datagram:
    """Wrap a message with the host that sends it."""

    sender: HostId
    message: Any


async def _continue() -> None:
    """Do nothing."""


def _ignore(content: str, size: int, receivers: Collection[str]) -> None:
    """Count nothing."""


class Channel:
    """Send datagrams, and pass received messages to `on_message`."""

    def __init__(
        self,
        *,
        host_id: HostId,
        address: str,
        clock: Clock,
        on_message: MessageHandler,
    ) -> None:
        """Bind to `address`, IP:PORT."""
        self._clock = clock
        # When the socket was last known to be empty.
        self._emptied_at = clock.now()
        self._host_id = host_id
        self._on_message = on_message
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind(sockets.split_address(address))
        self._socket.setblocking(False)
        # Called after messages were handled.
        self.after_messages: Callable[[], Awaitable[None]] = _continue
        # Number of datagrams for which sendto() failed, and of received ones.
        self.unsent = 0
        self.received = 0
        # Called with the type, size and receivers of each message.
        self.on_sent: Callable[[str, int, Collection[str]], None] = _ignore

    def send(self, message: Any, addresses: Iterable[str]) -> None:
        """Send a message to each address without blocking."""
        body = pack(Datagram(sender=self._host_id, message=message))
        receivers = tuple(addresses)
        self.on_sent(type(message).__name__, len(body), receivers)
        for address in receivers:
            try:
                self._socket.sendto(body, sockets.split_address(address))
            except OSError as error:
                # A full send buffer is treated like loss in the network.
                self.unsent += 1
                logger.debug('datagram to %s not sent: %s', address, error)

    async def run(self) -> None:
        """Receive datagrams until cancelled."""
        while True:
            # A read of curio would first find the socket empty once more.
            await traps._read_wait(self._socket)
            self.receive_waiting()
            await self.after_messages()

    def receive_waiting(self) -> None:
        """Handle the datagrams that wait in the socket; don't block.

        Call this at each tick, too: the later the socket was last empty, the
        closer is the bound on when a datagram arrived.
        """
        while True:
            asked_at = self._clock.now()
            try:
                body, source = self._socket.recvfrom(
                    settings.MAX_DATAGRAM_BYTES
                )
            except BlockingIOError:
                self._emptied_at = asked_at
                return
            except ConnectionError as error:
                # ICMP port unreachable, caused by an earlier datagram.
                logger.debug(
                    'earlier datagram could not be delivered: %s', error
                )
                continue
            self._handle(body, source)

    def _handle(self, body: bytes, source: Any) -> None:
        self.received += 1
        try:
            datagram = unpack(body)
        except ChicorybridgeError as error:
            logger.warning(
                'dropped undecodable datagram from %s: %s', source, error
            )
            return
        if not isinstance(datagram, Datagram):
            logger.warning('dropped unexpected message from %s', source)
            return
        try:
            self._on_message(
                datagram.message, datagram.sender, self._emptied_at
            )
        except Exception:
            # Fields of the wrong type, say, must not end the process.
            logger.exception('failed to handle a datagram from %s', source)
