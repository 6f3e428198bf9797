"""Sockets of curio: opening, probing without reading, aborting."""

import errno
import logging
import select
import socket
import struct

import curio

from chicorybridge import settings
from chicorybridge.common.clocks import as_seconds

logger = logging.getLogger(__name__)

# Zero linger: closing resets the connection instead of ending it.
NO_LINGER = struct.pack('ii', 1, 0)

LISTEN_BACKLOG = 1024

# Unacknowledged bytes end a connection after this time, in milliseconds.
UNACKNOWLEDGED_TIMEOUT_MS = 1000


def split_address(address: str) -> tuple[str, int]:
    """Split IP:PORT."""
    host, _, port = address.rpartition(':')
    return host.strip('[]'), int(port)


def join_address(pair: tuple[str, int]) -> str:
    """Join an IP number and a port to IP:PORT."""
    host, port = pair[:2]
    return f'[{host}]:{port}' if ':' in host else f'{host}:{port}'


def listen(address: str) -> curio.io.Socket:
    """Return a listening socket bound to IP:PORT; port 0 picks one."""
    host, port = split_address(address)
    family = socket.AF_INET6 if ':' in host else socket.AF_INET
    return curio.network.tcp_server_socket(
        host, port, family=family, backlog=LISTEN_BACKLOG
    )


async def accept(listener: curio.io.Socket) -> tuple[curio.io.Socket, str]:
    """Return the next connection and the IP number of its other end.

    It sends small writes at once. Raise `OSError` if the listener is closed.
    """
    while True:
        try:
            sock, source = await listener.accept()
            disable_delay(sock)
        except OSError as error:
            await _pass_over(error)
            continue
        return sock, source[0]


async def _pass_over(error: OSError) -> None:
    """Wait after a failed connection; raise if the listener is closed."""
    if error.errno == errno.EBADF:
        raise error
    logger.warning('connection not accepted: %s', error)
    await curio.sleep(as_seconds(settings.ACCEPT_RETRY_DELAY_MS))


def bound_address(listener: curio.io.Socket) -> str:
    """Return the IP:PORT that a listening socket is bound to."""
    return join_address(listener.getsockname())


def peer_ip(sock: curio.io.Socket) -> str:
    """Return the IP number of the other end, empty if it has none."""
    try:
        name = sock.getpeername()
    except OSError:
        # Reset between its arrival and now; reading tells.
        return ''
    return name[0] if name else ''


async def connect(address: str) -> curio.io.Socket:
    """Open a connection to IP:PORT; raise `OSError` if it fails."""
    host, port = split_address(address)
    family = socket.AF_INET6 if ':' in host else socket.AF_INET
    sock = curio.socket.socket(family, socket.SOCK_STREAM)
    try:
        await sock.connect((host, port))
    except BaseException:
        await sock.close()
        raise
    disable_delay(sock)
    return sock


def disable_delay(sock: curio.io.Socket) -> None:
    """Send small writes at once."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


def is_idle(sock: curio.io.Socket) -> bool:
    """Return whether an idle connection is open with nothing to read."""
    return not _ready(sock, select.POLLIN | select.POLLRDHUP)


def is_closed(sock: curio.io.Socket) -> bool:
    """Return whether the other end has closed or reset the connection."""
    return _ready(sock, select.POLLRDHUP)


def _ready(sock: curio.io.Socket, events: int) -> bool:
    # Errors and resets are reported whatever is asked for.
    poller = select.poll()
    poller.register(sock.fileno(), events)
    return bool(poller.poll(0))


async def abort(sock: curio.io.Socket) -> None:
    """Reset the connection, so that no answer looks whole."""
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
    except OSError:
        # Already closed by the other end.
        return
    finally:
        await sock.close()


def set_unacknowledged_timeout(sock: curio.io.Socket) -> None:
    """Let the kernel end a connection on which nothing is acknowledged.

    This tells a path that lost track of the connection from a target
    that is slow: the kernel of a slow target still acknowledges.
    """
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS
    )
