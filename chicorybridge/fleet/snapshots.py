"""Transfer of complete state from one host to another over TCP."""

import dataclasses
import logging
import math
import zlib
from collections.abc import Callable, Hashable

import curio

from chicorybridge import settings
from chicorybridge.common import sockets
from chicorybridge.common.clocks import Clock, Millis, as_seconds
from chicorybridge.common.codecs import (
    MESSAGE_DECODE_ERRORS,
    pack,
    unpack,
    wire,
)
from chicorybridge.common.errors import ChicorybridgeError
from chicorybridge.fleet.configurations import HostConfiguration
from chicorybridge.fleet.directories import TargetsChanged
from chicorybridge.fleet.host_tables import FleetMember

logger = logging.getLogger(__name__)

# Errors on decoding a snapshot sent by another version of the program.
DECODE_ERRORS = (ChicorybridgeError, *MESSAGE_DECODE_ERRORS)


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Snapshot:
    """The shared state of a host; `age_ms` is the age of its store data."""

    configuration: HostConfiguration | None
    targets: TargetsChanged
    hosts: tuple[FleetMember, ...]
    age_ms: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class EncodedSnapshot:
    """A snapshot as it is sent, and the state that it has."""

    state_key: Hashable
    encoded_at: Millis
    body: bytes


class SnapshotServer:
    """Send a snapshot on each accepted connection, then close it."""

    def __init__(
        self,
        *,
        clock: Clock,
        build_snapshot: Callable[[], Snapshot],
        state_key: Callable[[], Hashable],
    ) -> None:
        """Send the snapshots that `build_snapshot` returns.

        While `state_key` returns the same, one is sent several times.
        """
        self._clock = clock
        self._build_snapshot = build_snapshot
        self._state_key = state_key
        self._sends = 0
        self._encoded = EncodedSnapshot(
            state_key=None, encoded_at=Millis(-math.inf), body=b''
        )

    async def run(self, listener: curio.io.Socket) -> None:
        """Accept connections until cancelled; close those that are too many."""
        while True:
            sock, _ = await sockets.accept(listener)
            if self._sends < settings.MAX_SNAPSHOT_SENDS:
                await curio.spawn(self._serve(sock), daemon=True)
            else:
                await sock.close()

    async def _serve(self, sock: curio.io.Socket) -> None:
        self._sends += 1
        body = self._encode()
        try:
            async with curio.timeout_after(
                as_seconds(settings.SNAPSHOT_TIMEOUT_MS)
            ):
                await sock.sendall(body)
        except (OSError, curio.TaskTimeout) as error:
            logger.warning('failed to send snapshot: %s', error)
        finally:
            self._sends -= 1
            await sock.close()

    def _encode(self) -> bytes:
        now = self._clock.now()
        state_key = self._state_key()
        reuse_ends_at = self._encoded.encoded_at + settings.SNAPSHOT_REUSE_MS
        if self._encoded.state_key != state_key or now >= reuse_ends_at:
            snapshot = self._build_snapshot()
            # The age when it is sent for the last time.
            snapshot = dataclasses.replace(
                snapshot, age_ms=snapshot.age_ms + settings.SNAPSHOT_REUSE_MS
            )
            self._encoded = EncodedSnapshot(
                state_key=state_key,
                encoded_at=now,
                body=zlib.compress(pack(snapshot), 1),
            )
        return self._encoded.body


async def fetch_snapshot(address: str) -> Snapshot | None:
    """Fetch the snapshot of the host at IP:PORT, or `None` on failure."""
    try:
        async with curio.timeout_after(
            as_seconds(settings.SNAPSHOT_TIMEOUT_MS)
        ):
            body = await _read(address)
        snapshot = unpack(zlib.decompress(body))
    except (OSError, curio.TaskTimeout, zlib.error) as error:
        logger.warning('failed to fetch snapshot from %s: %r', address, error)
        return None
    except DECODE_ERRORS as error:
        logger.warning('failed to decode snapshot from %s: %s', address, error)
        return None
    return snapshot if isinstance(snapshot, Snapshot) else None


async def _read(address: str) -> bytes:
    sock = await sockets.connect(address)
    chunks = []
    try:
        chunk = await sock.recv(settings.RECEIVE_BYTES)
        while chunk:
            chunks.append(chunk)
            chunk = await sock.recv(settings.RECEIVE_BYTES)
    finally:
        await sock.close()
    return b''.join(chunks)
