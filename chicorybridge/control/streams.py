"""Authenticated MessagePack streams between processes.

Both ends first send a `Greeting` with a random nonce. Every later frame
is an array of sequence number, logical time, body and a keyed digest
(BLAKE2b) of both greetings and the first three elements, so that a frame
can't be forged, replayed, reordered or moved to another stream.
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
from chicorybridge.common.codecs import (
    MESSAGE_DECODE_ERRORS,
    pack,
    unpack,
    wire,
)
from chicorybridge.common.errors import ErrorCode, StreamError
from chicorybridge.common.events import EventLog
from chicorybridge.common.identities import HostId, Incarnation

NONCE_BYTES = 16
DIGEST_BYTES = 16
FRAME_FIELDS = 4


@wire
class Role(Enum):
    """The kind of process that opens a stream; each role has a key."""

    peer = 'peer'
    entry = 'entry'
    operator = 'operator'


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Greeting:
    """The first message of each end; later digests authenticate it."""

    role: Role
    host_id: HostId
    incarnation: Incarnation
    nonce: bytes


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Identity:
    """What a process sends in its greetings, and the keys that it holds."""

    role: Role
    host_id: HostId
    incarnation: Incarnation
    keys_by_role: dict[Role, bytes]

    def new_greeting(self) -> Greeting:
        """Return a greeting with a new random nonce."""
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
        """Use the connected `sock`; `open` must be called first.

        `log` keeps the logical clock; without it, sent times are 0 and
        received ones are ignored.
        """
        self._sock = sock
        self._identity = identity
        self._log = log
        self._unpacker = msgpack.Unpacker(
            use_list=False, max_buffer_size=settings.MAX_MESSAGE_BYTES
        )
        self._key = b''
        self._send_prefix = b''
        self._receive_prefix = b''
        self._sent_frames = 0
        self._received_frames = 0
        self._greeting: Greeting = identity.new_greeting()
        self.peer: Greeting = self._greeting
        self.sent_bytes = 0
        self.received_bytes = 0

    async def open(self, *, accepted: bool) -> Greeting:
        """Exchange greetings and return that of the other end.

        `accepted` is true at the end that accepted the connection. Raise
        `StreamError` if there is no key for the role of the end that
        opened it, or if the keys differ.
        """
        own_bytes = pack(self._greeting)
        await self._send_raw(msgpack.packb(own_bytes))
        peer_bytes = await self._next_frame()
        greeting = unpack(peer_bytes) if isinstance(peer_bytes, bytes) else None
        if not isinstance(greeting, Greeting):
            raise _authentication_error('first frame is not a greeting')
        role = greeting.role if accepted else self._identity.role
        key = self._identity.keys_by_role.get(role)
        if not key:
            raise _authentication_error(f'no key for role {role.name}')
        self.peer = greeting
        self._key = key
        self._send_prefix = own_bytes + peer_bytes
        self._receive_prefix = peer_bytes + own_bytes
        # Proves to both ends that they share the key before any other message.
        await self.send(None)
        await self.receive()
        return greeting

    async def send(self, message: Any) -> None:
        """Send one message."""
        await self._send_raw(self.encode_frame(message))

    def encode_frame(self, message: Any) -> bytes:
        """Return the frame of a message; send frames in order of encoding."""
        body = pack(message)
        logical_time = self._log.logical_time if self._log else 0
        self._sent_frames += 1
        digest = self._digest(
            self._send_prefix, self._sent_frames, logical_time, body
        )
        return msgpack.packb((self._sent_frames, logical_time, body, digest))

    async def receive(self) -> Any:
        """Return the next message.

        Raise `StreamError` if the connection is closed, the frame is not
        authentic or its body is malformed.
        """
        frame = await self._next_frame()
        if not isinstance(frame, tuple) or len(frame) != FRAME_FIELDS:
            raise _authentication_error('frame is not an array of 4 elements')
        sequence, logical_time, body, digest = frame
        self._received_frames += 1
        expected = self._digest(
            self._receive_prefix, self._received_frames, logical_time, body
        )
        if sequence != self._received_frames:
            raise _authentication_error('frame sequence number is out of order')
        if not hmac.compare_digest(expected, digest):
            raise _authentication_error('frame digest does not match')
        if self._log:
            self._log.advance_logical_time(logical_time=logical_time)
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
            raise _closed_error(str(error)) from error
        self.sent_bytes += len(frame)

    async def _next_frame(self) -> Any:
        while True:
            try:
                return self._unpacker.unpack()
            except msgpack.OutOfData:
                await self._fill()
            except MESSAGE_DECODE_ERRORS as error:
                raise _authentication_error(str(error)) from error

    async def _fill(self) -> None:
        try:
            data = await self._sock.recv(settings.RECEIVE_BYTES)
        except OSError as error:
            raise _closed_error(str(error)) from error
        if not data:
            raise _closed_error('connection closed by the other end')
        self.received_bytes += len(data)
        self._unpacker.feed(data)


def _authentication_error(detail: str) -> StreamError:
    return StreamError(code=ErrorCode.stream_unauthenticated, detail=detail)


def _closed_error(detail: str) -> StreamError:
    return StreamError(code=ErrorCode.stream_closed, detail=detail)
