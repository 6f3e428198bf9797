"""Outgoing streams to the control processes of other hosts."""

import logging
from collections.abc import Callable
from typing import Any

import curio

from chicorybridge import settings
from chicorybridge.common import sockets
from chicorybridge.common.clocks import as_seconds
from chicorybridge.common.events import EventLog
from chicorybridge.common.identities import HostId
from chicorybridge.control.streams import Identity, MessageStream
from chicorybridge.entry.control_links import LINK_ERRORS

logger = logging.getLogger(__name__)

AddressOf = Callable[[HostId], str | None]


class PeerLinks:
    """Send messages to other hosts, over one outgoing stream for each.

    Messages of a host arrive on the stream that it opened itself, so that
    a path broken in one direction appears as silence in that direction.
    A message is dropped if the queue is full or the stream fails; the
    systems tolerate lost messages.
    """

    def __init__(
        self, *, identity: Identity, log: EventLog, address_of: AddressOf
    ) -> None:
        """Look up IP:PORT of a host with `address_of`."""
        self._identity = identity
        self._log = log
        self._address_of = address_of
        self._queues_by_host: dict[HostId, curio.Queue] = {}
        self._tasks_by_host: dict[HostId, curio.Task] = {}
        self.sent_bytes = 0
        self.sent_messages = 0

    async def send(self, to: HostId, message: Any) -> None:
        """Queue a message; open a stream if there is none."""
        queue = self._queues_by_host.get(to)
        if queue is None:
            queue = curio.Queue()
            self._queues_by_host[to] = queue
            self._tasks_by_host[to] = await curio.spawn(
                self._send_forever(to, queue), daemon=True
            )
        if queue.qsize() < settings.MAX_LINK_QUEUE_MESSAGES:
            await queue.put(message)

    async def close(self, host_id: HostId) -> None:
        """Close the stream to a host, and drop its queue."""
        self._queues_by_host.pop(host_id, None)
        task = self._tasks_by_host.pop(host_id, None)
        if task is not None:
            await task.cancel()

    async def flush(self) -> None:
        """Wait until the queues are empty, for at most `CONNECT_TIMEOUT_MS`."""
        async with curio.ignore_after(as_seconds(settings.CONNECT_TIMEOUT_MS)):
            while any(
                not queue.empty() for queue in self._queues_by_host.values()
            ):
                await curio.sleep(as_seconds(settings.TICK_MS))

    async def _send_forever(self, host_id: HostId, queue: curio.Queue) -> None:
        while True:
            message = await queue.get()
            try:
                await self._send_over_new_stream(host_id, queue, message)
            except LINK_ERRORS as error:
                logger.debug(
                    'stream to %s failed, message dropped: %s', host_id, error
                )
            await curio.sleep(as_seconds(settings.LINK_RETRY_DELAY_MS))

    async def _send_over_new_stream(
        self, host_id: HostId, queue: curio.Queue, message: Any
    ) -> None:
        address = self._address_of(host_id)
        if address is None:
            return
        async with curio.timeout_after(as_seconds(settings.CONNECT_TIMEOUT_MS)):
            sock = await sockets.connect(address)
        sockets.set_unacknowledged_timeout(sock)
        stream = MessageStream(
            sock=sock, identity=self._identity, log=self._log
        )
        try:
            await self._send_queued(stream, host_id, queue, message)
        finally:
            await stream.close()

    async def _send_queued(
        self,
        stream: MessageStream,
        host_id: HostId,
        queue: curio.Queue,
        message: Any,
    ) -> None:
        async with curio.timeout_after(as_seconds(settings.CONNECT_TIMEOUT_MS)):
            greeting = await stream.open(accepted=False)
        if greeting.host_id != host_id:
            # The address now belongs to another host.
            return
        while True:
            sent_before = stream.sent_bytes
            async with curio.timeout_after(
                as_seconds(settings.SEND_TIMEOUT_MS)
            ):
                await stream.send(message)
            self.sent_messages += 1
            self.sent_bytes += stream.sent_bytes - sent_before
            message = await queue.get()
