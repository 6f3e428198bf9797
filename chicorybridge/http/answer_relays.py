"""Relay of a large answer to its caller, whatever the caller's pace."""

import collections
import socket

import curio

from chicorybridge.common import sockets
from chicorybridge.common.errors import ErrorCode
from chicorybridge.http import settings
from chicorybridge.http.bodies import CallerError
from chicorybridge.http.byte_budgets import HeldKind
from chicorybridge.http.caller_exchanges import CallerExchange
from chicorybridge.http.exchanges import ExchangeError, Headers


class AnswerRelay:
    """Hold what was read from the target until the caller has read it.

    A task sends it, so that a slow caller, or one whose earlier requests are
    unanswered, keeps the target waiting only while there is no room. What is
    held counts towards the budget of the connection.
    """

    def __init__(self, *, caller: CallerExchange) -> None:
        """Relay an answer to the request of `caller`."""
        self._caller = caller
        self._chunks: collections.deque[bytes] = collections.deque()
        # Bytes that were read from the target and that no write has begun to
        # send; a write counts its own.
        self.held_bytes = 0
        self._holding = caller.budget.open(
            kind=HeldKind.waiting, evict=self._evict
        )
        self._is_complete = False
        self._is_sent = False
        # At most one, removed when it is raised: its traceback would keep this
        # object until a full garbage collection.
        self._errors: list[Exception] = []
        self._sender: curio.Task | None = None
        # Set when a chunk is added or taken, and at the end of either.
        self._changed = curio.Event()
        # Whether `add` waits for the caller to read.
        self.waiting_for_caller = False

    async def start(self, *, status: int, headers: Headers) -> None:
        """Start to send an answer with this head."""
        self._sender = await curio.spawn(
            self._send(status, headers), daemon=True
        )

    async def add(self, chunk: bytes) -> None:
        """Add bytes of the body; return once there is room for more.

        Raise `CallerError` if the caller disconnects, and any other error
        of the task that sends.
        """
        self._chunks.append(chunk)
        self._count(len(chunk))
        # Held by the task that sends it from now on.
        del chunk  # noqa: WPS420
        await self._changed.set()
        self.waiting_for_caller = True
        while not self._has_room() and not self._has_ended():
            await self._wait_for_change()
        self.waiting_for_caller = False
        if self._has_ended():
            self._raise_error()

    async def finish(self) -> None:
        """Return once the answer was sent as a whole; raise as `add` does."""
        self._is_complete = True
        await self._changed.set()
        if self._sender is not None:
            await self._sender.wait()
        if not self._is_sent:
            self._raise_error()

    async def stop(self) -> None:
        """End the task that sends, whether or not all was sent."""
        self._holding.close()
        if self._sender is not None:
            await self._sender.cancel()
        self._chunks.clear()

    def _has_room(self) -> bool:
        """Return whether more may be read from the target.

        When much of the budget is used, no more is held than the caller
        gets in one write.
        """
        limit = settings.MAX_HELD_ANSWER_BYTES
        if not self._caller.budget.has_room_ahead:
            limit = 0
        return self.held_bytes <= limit

    def _has_ended(self) -> bool:
        return self._sender is not None and self._sender.terminated

    def _count(self, added: int) -> None:
        self.held_bytes += added
        self._holding.set_bytes(self.held_bytes)

    def _evict(self) -> bool:
        """Close the connection, as its caller makes no progress."""
        sockets.shut_down(self._caller.sock, socket.SHUT_RDWR)
        return True

    async def _send(self, status: int, headers: Headers) -> None:
        try:
            await self._send_answer(status, headers)
        except ExchangeError as error:
            self._errors.append(
                CallerError(code=error.code, detail=error.detail)
            )
        except Exception as error:
            # Raised again where the request is answered.
            self._errors.append(error)
        await self._changed.set()

    async def _send_answer(self, status: int, headers: Headers) -> None:
        await self._caller.turn.wait()
        self._holding.kind = HeldKind.answer
        self._holding.touch()
        await self._caller.send_head(status=status, headers=headers)
        while self._chunks or not self._is_complete:
            if not self._chunks:
                await self._wait_for_change()
                continue
            await self._caller.send_chunk(await self._take())
            self._holding.touch()
        await self._caller.finish()
        self._is_sent = True

    async def _take(self) -> bytes:
        chunk = self._chunks.popleft()
        self._count(-len(chunk))
        await self._changed.set()
        return chunk

    async def _wait_for_change(self) -> None:
        self._changed.clear()
        await self._changed.wait()

    def _raise_error(self) -> None:
        if self._errors:
            raise self._errors.pop()
        raise CallerError(
            code=ErrorCode.stream_closed, detail='the answer was not sent'
        )
