"""Client of control processes for the commands of operators."""

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

OPERATOR_ID_BYTES = 8

CONNECTION_ERRORS = (OSError, StreamError, curio.TaskTimeout)


class ControlError(ChicorybridgeError):
    """Report a control process that can't be reached or does not answer."""


class ControlClient:
    """A stream to one control process, used as a context manager."""

    def __init__(self, *, address: str, token: bytes) -> None:
        """Connect to `address`, IP:PORT; `token` is the key of operators."""
        self._address = address
        self._identity = Identity(
            role=Role.operator,
            host_id=HostId(
                'operator/{0}'.format(secrets.token_hex(OPERATOR_ID_BYTES))
            ),
            incarnation=Incarnation(1),
            keys_by_role={Role.operator: token},
        )
        self._stream: MessageStream | None = None

    async def __aenter__(self) -> 'ControlClient':
        """Open the stream; raise `ControlError` if that fails."""
        try:
            self._stream = await self._connect()
        except CONNECTION_ERRORS as error:
            raise self._unreachable_error(error or 'timeout') from error
        return self

    async def __aexit__(self, *raised: object) -> None:
        """Close the stream."""
        if self._stream is not None:
            await self._stream.close()

    async def send(self, message: Any) -> None:
        """Send one message; raise `ControlError` if the stream fails."""
        try:
            await self._open_stream.send(message)
        except CONNECTION_ERRORS as error:
            raise self._unreachable_error(error or 'timeout') from error

    async def receive(self, *, within_ms: float) -> Any:
        """Return the next message, or `None` after `within_ms` without one.

        Raise `ControlError` if the stream fails.
        """
        try:
            async with curio.timeout_after(as_seconds(within_ms)):
                return await self._open_stream.receive()
        except curio.TaskTimeout:
            return None
        except CONNECTION_ERRORS as error:
            raise self._unreachable_error(error or 'timeout') from error

    async def request(self, message: Any) -> Any:
        """Send a message and return the answer.

        Raise `ControlError` if none arrives in time or the stream fails.
        """
        await self.send(message)
        answer = await self.receive(within_ms=settings.OPERATOR_TIMEOUT_MS)
        if answer is None:
            raise self._unreachable_error('no answer')
        return answer

    @property
    def _open_stream(self) -> MessageStream:
        if self._stream is None:
            raise self._unreachable_error('the stream is not open')
        return self._stream

    async def _connect(self) -> MessageStream:
        async with curio.timeout_after(as_seconds(settings.CONNECT_TIMEOUT_MS)):
            sock = await sockets.connect(self._address)
            stream = MessageStream(sock=sock, identity=self._identity)
            await stream.open(accepted=False)
        return stream

    def _unreachable_error(self, reason: object) -> ControlError:
        return ControlError(
            code=ErrorCode.control_unreachable,
            detail=f'{self._address}: {reason}',
        )
