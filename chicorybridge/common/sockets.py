"""Helpers for curio sockets: open, accept, poll without reading, reset."""

import contextlib
import errno
import functools
import logging
import os
import select
import socket
import struct
from collections.abc import Collection

import curio

from chicorybridge import settings
from chicorybridge.common.clocks import as_seconds

logger = logging.getLogger(__name__)

# Linger time of 0: closing resets the connection.
RESET_ON_CLOSE = struct.pack('ii', 1, 0)

LISTEN_BACKLOG = 1024

# Addresses of which the parts are kept; messages go to the same ones again.
MAX_SPLIT_ADDRESSES = 4096

# The kernel ends a connection whose bytes are not acknowledged for this time.
UNACKNOWLEDGED_TIMEOUT_MS = 1000


@functools.lru_cache(maxsize=MAX_SPLIT_ADDRESSES)
def split_address(address: str) -> tuple[str, int]:
    """Split IP:PORT into IP address and port."""
    host, _, port = address.rpartition(':')
    return host.strip('[]'), int(port)


def join_address(pair: tuple[str, int]) -> str:
    """Join an IP address and a port to IP:PORT."""
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
    """Return the next connection and the IP address of its peer.

    The connection has no Nagle delay. Raise `OSError` if the listener is
    closed.
    """
    while True:
        try:
            sock, source = await listener.accept()
            disable_delay(sock)
        except OSError as error:
            await _pause_after_failure(error)
            continue
        return sock, source[0]


async def _pause_after_failure(error: OSError) -> None:
    """Pause after a failed accept; raise if the listener is closed."""
    if error.errno == errno.EBADF:
        raise error
    logger.warning('could not accept a connection; trying again: %s', error)
    await curio.sleep(as_seconds(settings.ACCEPT_RETRY_DELAY_MS))


def bound_address(listener: curio.io.Socket) -> str:
    """Return the IP:PORT that a listening socket is bound to."""
    return join_address(listener.getsockname())


def peer_ip(sock: curio.io.Socket) -> str:
    """Return the IP address of the peer, '' if it is not connected."""
    try:
        name = sock.getpeername()
    except OSError:
        # The peer has reset the connection; the next read will fail.
        return ''
    return name[0] if name else ''


async def connect(address: str, *, receive_bytes: int = 0) -> curio.io.Socket:
    """Open a connection to IP:PORT; raise `OSError` if it fails.

    The kernel holds up to `receive_bytes` that are not read, and as much as it
    sees fit if that is 0.
    """
    host, port = split_address(address)
    family = socket.AF_INET6 if ':' in host else socket.AF_INET
    sock = curio.socket.socket(family, socket.SOCK_STREAM)
    try:
        if receive_bytes:
            # The kernel doubles the value, for its own records.
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes // 2
            )
        await sock.connect((host, port))
    except BaseException:
        await sock.close()
        raise
    disable_delay(sock)
    return sock


def disable_delay(sock: curio.io.Socket) -> None:
    """Disable the Nagle algorithm, so that small writes are sent at once."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


def is_idle(sock: curio.io.Socket) -> bool:
    """Return whether a socket is open with nothing to read or accept."""
    return not _has_events(sock, select.POLLIN | select.POLLRDHUP)


def is_closed(sock: curio.io.Socket) -> bool:
    """Return whether the peer has closed or reset the connection."""
    return _has_events(sock, select.POLLRDHUP)


def idle_ones(socks: Collection[curio.io.Socket]) -> list[bool]:
    """Return for each socket whether it is open with nothing to read."""
    poller = select.poll()
    descriptors = [sock.fileno() for sock in socks]
    for descriptor in descriptors:
        poller.register(descriptor, select.POLLIN | select.POLLRDHUP)
    busy = dict(poller.poll(0))
    return [number not in busy for number in descriptors]


def _has_events(sock: curio.io.Socket, events: int) -> bool:
    # Errors and resets are reported whatever `events` are.
    poller = select.poll()
    poller.register(sock.fileno(), events)
    return bool(poller.poll(0))


async def abort(sock: curio.io.Socket) -> None:
    """Reset the connection, so that a partial answer can't seem complete."""
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    except OSError:
        # The peer has already closed it.
        return
    finally:
        await sock.close()


def shut_down(sock: curio.io.Socket, how: int) -> None:
    """Shut down a connection without blocking; waiting reads return."""
    with contextlib.suppress(OSError):
        with socket.socket(fileno=os.dup(sock.fileno())) as duplicate:
            duplicate.shutdown(how)


def limit_buffers(
    listener: curio.io.Socket, *, receive_bytes: int, send_bytes: int
) -> None:
    """Limit what the kernel holds for each connection that is accepted.

    Without a limit it lets both buffers of a connection grow to megabytes.
    """
    # The kernel doubles the values, for its own records.
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes // 2)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, send_bytes // 2)


def set_unacknowledged_timeout(sock: curio.io.Socket) -> None:
    """Let the kernel end the connection if sent bytes are not acknowledged.

    This detects a network path that dropped the connection. A slow target
    is not affected, as its kernel still acknowledges.
    """
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS
    )
