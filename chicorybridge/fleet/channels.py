"""Datagrams between hosts: small, frequent and allowed to get lost."""

import dataclasses
import logging
import socket
from collections.abc import Callable, Iterable
from typing import Any

import curio

from chicorybridge import settings
from chicorybridge.common import sockets
from chicorybridge.common.codecs import pack, unpack, wire
from chicorybridge.common.errors import ChicorybridgeError
from chicorybridge.common.identities import HostId

logger = logging.getLogger(__name__)

MessageHandler = Callable[[Any, HostId], None]


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Datagram:
    """A message and the host that sent it."""

    sender: HostId
    message: Any


class Channel:
    """Send datagrams to hosts, and hand those that come to `take`."""

    def __init__(
        self, *, host_id: HostId, address: str, on_message: MessageHandler
    ) -> None:
        """Bind to `address`, IP:PORT."""
        self._host_id = host_id
        self._on_message = on_message
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind(sockets.split_address(address))
        self._socket.setblocking(False)
        # What the kernel refused to send, by the error.
        self.unsent = 0

    def send(self, message: Any, addresses: Iterable[str]) -> None:
        """Send a message to each address, without waiting."""
        body = pack(Datagram(sender=self._host_id, message=message))
        for address in addresses:
            try:
                self._socket.sendto(body, sockets.split_address(address))
            except OSError as error:
                # A full queue loses datagrams, as the network does.
                self.unsent += 1
                logger.debug('datagram to %s not sent: %s', address, error)

    async def run(self) -> None:
        """Take datagrams until cancelled."""
        reader = curio.io.Socket(self._socket)
        while True:
            try:
                body, source = await reader.recvfrom(settings.DATAGRAM_BYTES)
            except ConnectionError as error:
                # An earlier datagram met a port where nothing listens.
                logger.debug('datagram came back: %s', error)
                continue
            self._handle(body, source)

    def _handle(self, body: bytes, source: Any) -> None:
        try:
            datagram = unpack(body)
        except ChicorybridgeError as error:
            logger.warning('datagram of %s dropped: %s', source, error)
            return
        if not isinstance(datagram, Datagram):
            logger.warning('datagram of %s dropped: no message', source)
            return
        self._on_message(datagram.message, datagram.sender)
