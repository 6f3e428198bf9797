"""The connection of an entry process to the control process of its host."""

import logging
from collections.abc import Awaitable, Callable
from typing import Any

import curio

from chicorybridge import settings
from chicorybridge.common import sockets
from chicorybridge.common.clocks import as_seconds
from chicorybridge.common.errors import StreamError
from chicorybridge.common.events import EventLog
from chicorybridge.control.streams import Identity, MessageStream

logger = logging.getLogger(__name__)

# Errors after which a link is reopened.
LINK_ERRORS = (OSError, StreamError, curio.TaskTimeout)


class ControlLink:
    """Keep a stream to the control process open, reconnecting when it fails.

    Outgoing messages wait in a bounded queue while the link is open. None
    are queued while it is closed, and those left in the queue are dropped
    when it closes; `on_close` reports that.
    """

    def __init__(
        self,
        *,
        address: str,
        identity: Identity,
        log: EventLog,
        on_message: Callable[[Any], Awaitable[None]],
        on_open: Callable[[], Awaitable[None]],
        on_close: Callable[[], Awaitable[None]],
    ) -> None:
        """Set up the link to the process at `address`; `run` opens it."""
        self._address = address
        self._identity = identity
        self._log = log
        self._on_message = on_message
        self._on_open = on_open
        self._on_close = on_close
        self._queue = curio.Queue()
        self.is_open = False

    async def post(self, message: Any) -> bool:
        """Queue a message; return `False` if closed or if the queue is full."""
        if (
            not self.is_open
            or self._queue.qsize() >= settings.MAX_LINK_QUEUE_MESSAGES
        ):
            return False
        await self._queue.put(message)
        return True

    async def run(self) -> None:
        """Keep the link open until cancelled."""
        while True:
            try:
                await self._connect_once()
            except LINK_ERRORS as error:
                logger.debug(
                    'link to the control process failed, reconnecting: %s',
                    error,
                )
            await curio.sleep(as_seconds(settings.LINK_RETRY_DELAY_MS))

    async def _connect_once(self) -> None:
        sock = await sockets.connect(self._address)
        stream = MessageStream(
            sock=sock, identity=self._identity, log=self._log
        )
        try:
            await self._exchange_messages(stream)
        finally:
            await self._close(stream)

    async def _close(self, stream: MessageStream) -> None:
        self.is_open = False
        self._queue = curio.Queue()
        await stream.close()
        await self._on_close()

    async def _exchange_messages(self, stream: MessageStream) -> None:
        async with curio.timeout_after(as_seconds(settings.CONNECT_TIMEOUT_MS)):
            await stream.open(accepted=False)
        self.is_open = True
        await self._on_open()
        send_task = await curio.spawn(self._send_queued(stream))
        try:
            while True:
                await self._on_message(await stream.receive())
        finally:
            await send_task.cancel()

    async def _send_queued(self, stream: MessageStream) -> None:
        try:
            while True:
                await stream.send(await self._queue.get())
        except StreamError:
            # The receive loop fails as well and reopens the stream.
            return
