"""Authenticated MessagePack streams between processes.

Both ends open with a `Greeting` that carries a random nonce. Every frame
after it is an array of sequence number, logical time, body and a keyed
digest (BLAKE2b) over both greetings and the first three, so that a frame
can't be forged, repeated, reordered or moved to another stream.
"""

import dataclasses
import hashlib
import hmac
import secrets
from enum import Enum
from typing import Any

import curio
import msgpack

from chicorybridge import settings
from chicorybridge.common.codecs import MALFORMED, pack, unpack, wire
from chicorybridge.common.errors import ErrorCode, StreamError
from chicorybridge.common.events import EventLog
from chicorybridge.common.identities import HostId, Incarnation

NONCE_BYTES = 16
DIGEST_BYTES = 16
FRAME_FIELDS = 4


@wire
class Role(Enum):
    """Who opens a stream; each role has its own key."""

    peer = 'peer'
    entry = 'entry'
    operator = 'operator'


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Greeting:
    """The first message of either end; authenticated by those after it."""

    role: Role
    host_id: HostId
    incarnation: Incarnation
    nonce: bytes


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Identity:
    """What this end says of itself, and the keys it knows by role."""

    role: Role
    host_id: HostId
    incarnation: Incarnation
    keys_by_role: dict[Role, bytes]

    def greet(self) -> Greeting:
        """Return a greeting with a new nonce."""
        return Greeting(
            role=self.role,
            host_id=self.host_id,
            incarnation=self.incarnation,
            nonce=secrets.token_bytes(NONCE_BYTES),
        )


class MessageStream:
    """Send and receive typed messages over one connection."""

    def __init__(
        self,
        *,
        sock: curio.io.Socket,
        identity: Identity,
        log: EventLog | None = None,
    ) -> None:
        """Take over an open connection; call `open` before anything else."""
        self._sock = sock
        self._identity = identity
        self._log = log
        self._unpacker = msgpack.Unpacker(
            use_list=False, max_buffer_size=settings.MAX_MESSAGE_BYTES
        )
        self._key = b''
        self._send_prefix = b''
        self._receive_prefix = b''
        self._sent = 0
        self._received = 0
        self._own: Greeting = identity.greet()
        self.peer: Greeting = self._own
        self.sent_bytes = 0
        self.received_bytes = 0

    async def open(self, *, accepted: bool) -> Greeting:
        """Exchange greetings; `accepted` tells the side of the listener.

        Raise `StreamError` when the other end's role has no key here.
        """
        own = pack(self._own)
        await self._send_raw(msgpack.packb(own))
        other = await self._next_frame()
        greeting = unpack(other) if isinstance(other, bytes) else None
        if not isinstance(greeting, Greeting):
            raise _refused('no greeting')
        role = greeting.role if accepted else self._identity.role
        key = self._identity.keys_by_role.get(role)
        if not key:
            raise _refused(f'no key for role {role.name}')
        self.peer = greeting
        self._key = key
        self._send_prefix = own + other
        self._receive_prefix = other + own
        # Proves to both ends, before any work, that they share the key.
        await self.send(None)
        await self.receive()
        return greeting

    async def send(self, message: Any) -> None:
        """Send one message."""
        await self._send_raw(self.seal(message))

    def seal(self, message: Any) -> bytes:
        """Return the frame of one message, to be sent in this order."""
        body = pack(message)
        logical_time = self._log.logical_time if self._log else 0
        self._sent += 1
        digest = self._digest(self._send_prefix, self._sent, logical_time, body)
        return msgpack.packb((self._sent, logical_time, body, digest))

    async def receive(self) -> Any:
        """Return the next message; raise `StreamError` at the end."""
        frame = await self._next_frame()
        if not isinstance(frame, tuple) or len(frame) != FRAME_FIELDS:
            raise _refused('not a frame')
        sequence, logical_time, body, digest = frame
        self._received += 1
        expected = self._digest(
            self._receive_prefix, self._received, logical_time, body
        )
        if sequence != self._received:
            raise _refused('frame out of order')
        if not hmac.compare_digest(expected, digest):
            raise _refused('wrong digest')
        if self._log:
            self._log.observe(logical_time=logical_time)
        return unpack(body)

    async def close(self) -> None:
        """Close the connection."""
        await self._sock.close()

    def _digest(
        self, prefix: bytes, sequence: int, logical_time: int, body: bytes
    ) -> bytes:
        position = msgpack.packb((sequence, logical_time))
        return hashlib.blake2b(
            prefix + position + body, key=self._key, digest_size=DIGEST_BYTES
        ).digest()

    async def _send_raw(self, frame: bytes) -> None:
        try:
            await self._sock.sendall(frame)
        except OSError as error:
            raise _closed(str(error)) from error
        self.sent_bytes += len(frame)

    async def _next_frame(self) -> Any:
        while True:
            try:
                return self._unpacker.unpack()
            except msgpack.OutOfData:
                await self._fill()
            except MALFORMED as error:
                raise _refused(str(error)) from error

    async def _fill(self) -> None:
        try:
            data = await self._sock.recv(settings.RECEIVE_BYTES)
        except OSError as error:
            raise _closed(str(error)) from error
        if not data:
            raise _closed('closed by the other end')
        self.received_bytes += len(data)
        self._unpacker.feed(data)


def _refused(detail: str) -> StreamError:
    return StreamError(code=ErrorCode.stream_unauthenticated, detail=detail)


def _closed(detail: str) -> StreamError:
    return StreamError(code=ErrorCode.stream_closed, detail=detail)
