"""The server for streams that other processes open to a control process."""

from collections.abc import Awaitable, Callable
from typing import Any, Protocol

import curio

from chicorybridge import settings
from chicorybridge.claims.claim_messages import EntryId, EntryLost
from chicorybridge.common import sockets
from chicorybridge.common.clocks import Clock, as_seconds
from chicorybridge.common.errors import StreamError
from chicorybridge.common.events import EventLog
from chicorybridge.common.identities import HostId
from chicorybridge.control.sessions import EntrySession, EntryTable, Session
from chicorybridge.control.streams import Identity, MessageStream, Role
from chicorybridge.entry.entry_messages import EntryOpened, EventsReport


class MessageHandler(Protocol):
    """Callback that passes a message to the systems."""

    async def __call__(self, message: Any, *, sender: HostId) -> None:
        """Handle `message` of the host or operator `sender`."""


class StreamServer:
    """Accept streams of peers, entry processes and operators."""

    def __init__(
        self,
        *,
        identity: Identity,
        clock: Clock,
        log: EventLog,
        entries: EntryTable,
        on_message: MessageHandler,
        on_operator_message: Callable[[HostId, Any], Awaitable[None]],
    ) -> None:
        """Pass messages to the callback for their sender.

        `on_operator_message` gets the messages of operators, `on_message`
        those of peers and of entry processes.
        """
        self.operators_by_id: dict[HostId, Session] = {}
        self._identity = identity
        self._clock = clock
        self._log = log
        self._entries = entries
        self._on_message = on_message
        self._on_operator_message = on_operator_message

    async def accept(self, listener: curio.io.Socket) -> None:
        """Accept streams until cancelled."""
        while True:
            sock, _ = await sockets.accept(listener)
            await curio.spawn(self._serve(sock), daemon=True)

    async def _serve(self, sock: curio.io.Socket) -> None:
        stream = MessageStream(
            sock=sock, identity=self._identity, log=self._log
        )
        try:
            await self._serve_stream(stream)
        except (StreamError, curio.TaskTimeout):
            # The other end reconnects if it still needs the stream.
            return
        finally:
            await stream.close()

    async def _serve_stream(self, stream: MessageStream) -> None:
        async with curio.timeout_after(as_seconds(settings.CONNECT_TIMEOUT_MS)):
            greeting = await stream.open(accepted=True)
        match greeting.role:
            case Role.peer:
                await self._serve_peer(stream, greeting.host_id)
            case Role.entry:
                await self._serve_entry(stream)
            case Role.operator:
                await self._serve_operator(stream, greeting.host_id)

    async def _serve_peer(self, stream: MessageStream, peer: HostId) -> None:
        while True:
            await self._on_message(await stream.receive(), sender=peer)

    async def _serve_entry(self, stream: MessageStream) -> None:
        opened = await stream.receive()
        if not isinstance(opened, EntryOpened):
            return
        session = EntrySession(
            stream=stream, opened=opened, received_at=self._clock.now()
        )
        await self._entries.add(session)
        send_task = await curio.spawn(_send_queued(session))
        try:
            while True:
                await self._handle_entry_message(
                    session, await stream.receive()
                )
        finally:
            await send_task.cancel()
            await self._remove_entry(opened)

    async def _remove_entry(self, opened: EntryOpened) -> None:
        self._entries.sessions_by_id.pop(opened.entry_id, None)
        lost = EntryLost(entry_id=EntryId(opened.entry_id))
        await self._on_message(lost, sender=self._identity.host_id)

    async def _serve_operator(
        self, stream: MessageStream, operator: HostId
    ) -> None:
        session = Session(stream=stream)
        self.operators_by_id[operator] = session
        send_task = await curio.spawn(_send_queued(session))
        try:
            while True:
                await self._on_operator_message(
                    operator, await stream.receive()
                )
        finally:
            self.operators_by_id.pop(operator, None)
            await send_task.cancel()

    async def _handle_entry_message(
        self, session: EntrySession, message: Any
    ) -> None:
        now = self._clock.now()
        if isinstance(message, EventsReport):
            self._log.extend(message.records)
            return
        if not self._entries.handle(session, message, now=now):
            await self._on_message(message, sender=self._identity.host_id)


async def _send_queued(session: Session) -> None:
    try:
        while True:
            await session.stream.send(await session.queue.get())
    except StreamError:
        # The receive loop fails as well and closes the stream.
        return
