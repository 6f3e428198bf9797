"""The operators' side of streams to control processes."""

import secrets
from typing import Any

import curio

from chicorybridge import settings
from chicorybridge.common import sockets
from chicorybridge.common.clocks import as_seconds
from chicorybridge.common.errors import (
    ChicorybridgeError,
    ErrorCode,
    StreamError,
)
from chicorybridge.common.identities import HostId, Incarnation
from chicorybridge.control.streams import Identity, MessageStream, Role

ID_BYTES = 8

UNREACHED = (OSError, StreamError, curio.TaskTimeout)


class ControlError(ChicorybridgeError):
    """Report a control process that is not reached or does not answer."""


class ControlClient:
    """A stream to one control process; use it as a context."""

    def __init__(self, *, address: str, token: bytes) -> None:
        """Connect to IP:PORT with the operators' token."""
        self._address = address
        self._identity = Identity(
            role=Role.operator,
            host_id=HostId('operator/{0}'.format(secrets.token_hex(ID_BYTES))),
            incarnation=Incarnation(1),
            keys_by_role={Role.operator: token},
        )
        self._stream: MessageStream | None = None

    async def __aenter__(self) -> 'ControlClient':
        """Open the stream; raise `ControlError`."""
        try:
            self._stream = await self._open()
        except UNREACHED as error:
            raise self._unreached(error or 'timeout') from error
        return self

    async def __aexit__(self, *raised: object) -> None:
        """Close the stream."""
        if self._stream is not None:
            await self._stream.close()

    async def send(self, message: Any) -> None:
        """Send one message; raise `ControlError`."""
        try:
            await self._opened.send(message)
        except UNREACHED as error:
            raise self._unreached(error or 'timeout') from error

    async def receive(self, *, within_ms: float) -> Any:
        """Return the next message, `None` if none comes in time."""
        try:
            async with curio.timeout_after(as_seconds(within_ms)):
                return await self._opened.receive()
        except curio.TaskTimeout:
            return None
        except UNREACHED as error:
            raise self._unreached(error or 'timeout') from error

    async def ask(self, message: Any) -> Any:
        """Send a message and return the answer; raise `ControlError`."""
        await self.send(message)
        answer = await self.receive(within_ms=settings.OPERATOR_TIMEOUT_MS)
        if answer is None:
            raise self._unreached('no answer')
        return answer

    @property
    def _opened(self) -> MessageStream:
        if self._stream is None:
            raise self._unreached('not open')
        return self._stream

    async def _open(self) -> MessageStream:
        async with curio.timeout_after(as_seconds(settings.CONNECT_TIMEOUT_MS)):
            sock = await sockets.connect(self._address)
            stream = MessageStream(sock=sock, identity=self._identity)
            await stream.open(accepted=False)
        return stream

    def _unreached(self, reason: object) -> ControlError:
        return ControlError(
            code=ErrorCode.control_unreachable,
            detail=f'{self._address}: {reason}',
        )
