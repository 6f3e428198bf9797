"""The side of a control process that other processes open streams to."""

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


class Take(Protocol):
    """Pass a message to the systems."""

    async def __call__(self, message: Any, *, sender: HostId) -> None:
        """Take in `message` of `sender`."""


class StreamServer:
    """Accept streams of peers, entry processes and operators."""

    def __init__(
        self,
        *,
        identity: Identity,
        clock: Clock,
        log: EventLog,
        entries: EntryTable,
        take: Take,
        take_of_operator: Callable[[HostId, Any], Awaitable[None]],
    ) -> None:
        """Hand what comes in to `take` and `take_of_operator`."""
        self.operators_by_id: dict[HostId, Session] = {}
        self._identity = identity
        self._clock = clock
        self._log = log
        self._entries = entries
        self._take = take
        self._take_of_operator = take_of_operator

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
            # The other end opens a new stream when it wants one.
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
            await self._take(await stream.receive(), sender=peer)

    async def _serve_entry(self, stream: MessageStream) -> None:
        opened = await stream.receive()
        if not isinstance(opened, EntryOpened):
            return
        session = EntrySession(
            stream=stream, opened=opened, heard_at=self._clock.now()
        )
        await self._entries.add(session)
        sender = await curio.spawn(_send_all(session))
        try:
            while True:
                await self._take_of_entry(session, await stream.receive())
        finally:
            await sender.cancel()
            await self._lose(opened)

    async def _lose(self, opened: EntryOpened) -> None:
        self._entries.sessions_by_id.pop(opened.entry_id, None)
        lost = EntryLost(entry_id=EntryId(opened.entry_id))
        await self._take(lost, sender=self._identity.host_id)

    async def _serve_operator(
        self, stream: MessageStream, operator: HostId
    ) -> None:
        session = Session(stream=stream)
        self.operators_by_id[operator] = session
        sender = await curio.spawn(_send_all(session))
        try:
            while True:
                await self._take_of_operator(operator, await stream.receive())
        finally:
            self.operators_by_id.pop(operator, None)
            await sender.cancel()

    async def _take_of_entry(self, session: EntrySession, message: Any) -> None:
        now = self._clock.now()
        if isinstance(message, EventsReport):
            self._log.extend(message.records)
            return
        if not self._entries.take(session, message, now=now):
            await self._take(message, sender=self._identity.host_id)


async def _send_all(session: Session) -> None:
    try:
        while True:
            await session.stream.send(await session.queue.get())
    except StreamError:
        # The receiving side of the stream notices and closes it.
        return
