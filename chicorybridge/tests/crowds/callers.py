"""Callers that send too much, stop short of the end or read too slowly."""

import contextlib
import dataclasses
import socket
from types import MappingProxyType

import curio

from chicorybridge.common import sockets

HOST = b'Host: quotes.example\r\n'
POST = b'POST /accept/x HTTP/1.1\r\n' + HOST
DOWNLOAD = b'GET /download/x HTTP/1.1\r\n' + HOST
ANNOUNCED = POST + b'Content-Length: %d\r\n\r\n'
CHUNKED = POST + b'Transfer-Encoding: chunked\r\n\r\n'
# How long a caller tries to send one piece, before it leaves it at that.
SEND_TIMEOUT_S = 4
# What the kernel of a slow reader takes without the reader.
SMALL_BUFFER_BYTES = 4096
WRITE_BYTES = 65536


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Script:
    """What a caller sends, in pieces; it then keeps the connection open."""

    pieces: tuple[bytes, ...]
    pause_s: float = 0
    reads_slowly: bool = False


def whole_body(*, announced: int, sent: int, pieces: int = 1) -> Script:
    """Return a body of `announced` bytes of which `sent` are sent."""
    piece = bytes(sent // pieces)
    return Script(
        pieces=(ANNOUNCED % announced, *(piece for _ in range(pieces))),
        pause_s=0.05 if pieces > 1 else 0,
    )


def chunked_body(*, chunk_bytes: int, count: int) -> Script:
    """Return `count` chunks without the one that ends the body."""
    chunk = b'%x\r\n%b\r\n' % (chunk_bytes, b'a' * chunk_bytes)
    per_piece = max(1, WRITE_BYTES // len(chunk))
    piece = chunk * per_piece
    pieces = (piece for _ in range(count // per_piece))
    return Script(pieces=(CHUNKED, *pieces, chunk * (count % per_piece)))


def slow_download() -> Script:
    """Return a request whose answer is never read."""
    return Script(
        pieces=(b'%bX-Request-Id: slow\r\n\r\n' % DOWNLOAD,),
        reads_slowly=True,
    )


SCRIPTS_BY_NAME = MappingProxyType(
    {
        'whole': whole_body(announced=500_000, sent=499_990),
        'pieces': whole_body(announced=500_000, sent=499_990, pieces=10),
        'large chunks': chunked_body(chunk_bytes=61_440, count=8),
        'small chunks': chunked_body(chunk_bytes=2, count=11_000),
        'far over, announced': whole_body(announced=900_000_000, sent=499_990),
        'far over, chunked': chunked_body(chunk_bytes=61_440, count=32),
        'slow readers': slow_download(),
    }
)


def mixed_scripts(count: int) -> list[Script]:
    """Return up to `count` scripts, as many of each kind."""
    scripts = list(SCRIPTS_BY_NAME.values())
    return scripts * (count // len(scripts))


class Crowd:
    """Callers of one host, each with its script."""

    def __init__(self, *, address: str) -> None:
        """Connect to the host at `address`."""
        self._address = address
        self._connections: list[curio.io.Socket] = []

    async def send(self, scripts: list[Script]) -> None:
        """Carry out the scripts at once; return when all have ended."""
        async with curio.TaskGroup() as tasks:
            for script in scripts:
                await tasks.spawn(self._carry_out, script)

    async def close(self) -> None:
        """Close all connections."""
        while self._connections:
            await self._connections.pop().close()

    async def _carry_out(self, script: Script) -> None:
        connection = curio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._connections.append(connection)
        if script.reads_slowly:
            connection.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES
            )
        # The host may refuse the caller or close the connection.
        with contextlib.suppress(OSError, curio.TaskTimeout):
            await connection.connect(sockets.split_address(self._address))
            for piece in script.pieces:
                async with curio.timeout_after(SEND_TIMEOUT_S):
                    await connection.sendall(piece)
                await curio.sleep(script.pause_s)
