"""When and why a host ends connections of callers."""

import logging
import socket
from enum import Enum

import curio

from chicorybridge import settings
from chicorybridge.common import sockets
from chicorybridge.common.clocks import Millis, as_seconds
from chicorybridge.common.events import Event, EventKind
from chicorybridge.http.caller_exchanges import CallerExchange
from chicorybridge.http.caller_limits import CallerLimits

logger = logging.getLogger(__name__)


class Ending(Enum):
    """Why a host ends a connection of a caller."""

    # No request came for longer than the limit.
    idle = 'idle'
    # The head of a request took longer than the limit.
    slow_head = 'slow_head'
    # The caller neither sent nor took bytes of a request under way.
    stalled = 'stalled'
    # The caller has closed its end.
    caller_gone = 'caller_gone'
    # The process stops.
    stopping = 'stopping'


def ending_of(
    exchange: CallerExchange,
    limits: CallerLimits,
    *,
    limits_since: Millis,
    now: Millis,
) -> Ending | None:
    """Return why a connection is to end now, `None` if it goes on.

    Waits that began before `limits_since` count from there: a caller may
    go by the limit that was in force before.
    """
    if not exchange.busy:
        return _ending_of_waiting(exchange, limits, limits_since, now)
    if exchange.waiting_since is not None:
        stalled = (
            now - exchange.waiting_since > settings.CALLER_STALL_TIMEOUT_MS
        )
        return Ending.stalled if stalled else None
    # The caller of a request that may run once gets its answer kept.
    if exchange.abandonable and sockets.is_closed(exchange.sock):
        return Ending.caller_gone
    return None


def _ending_of_waiting(
    exchange: CallerExchange,
    limits: CallerLimits,
    limits_since: Millis,
    now: Millis,
) -> Ending | None:
    """Return why a connection without a request is to end now."""
    waiting_since = exchange.waiting_since
    if waiting_since is None:
        return None
    ending = Ending.idle
    waited_ms = now - max(waiting_since, limits_since)
    limit_ms = limits.idle_ms
    if exchange.head_since is not None:
        ending = Ending.slow_head
        waited_ms = now - exchange.head_since
        limit_ms = limits.head_ms
    # Asking the kernel comes last: most connections are within their limit.
    if waited_ms > limit_ms and _waits_quietly(exchange):
        return ending
    return None


def is_idle(exchange: CallerExchange) -> bool:
    """Return whether no byte of another request has come."""
    return exchange.head_since is None and _waits_quietly(exchange)


def is_pending(exchange: CallerExchange) -> bool:
    """Return whether a request has come, at least in part."""
    return not (exchange.lingering or is_idle(exchange))


def _waits_quietly(exchange: CallerExchange) -> bool:
    """Return whether a connection waits for a request and nothing has come.

    Only such a task is surely suspended: a task that is ready to run would
    be cancelled at its next blocking operation, with a request in hand.
    """
    if exchange.busy or exchange.waiting_since is None:
        return False
    return sockets.is_idle(exchange.sock)


def _waited_ms(exchange: CallerExchange, now: Millis) -> int:
    since = exchange.waiting_since
    return 0 if since is None else round(now - since)


def ending_event(
    exchange: CallerExchange, ending: Ending, now: Millis
) -> Event | None:
    """Return what the log tells of a connection that the host ends.

    `None` for the usual end of most connections.
    """
    unread = not sockets.is_idle(exchange.sock)
    if ending is Ending.idle and not unread:
        return None
    facts = {
        'ending': ending.value,
        'caller': exchange.caller,
        'in_request': exchange.busy,
        'unread': unread,
        'waited_ms': _waited_ms(exchange, now),
    }
    return Event(kind=EventKind.connection_ended, facts=facts)


async def end_output(exchange: CallerExchange) -> None:
    """Tell the caller that nothing more comes; it does so without a wait."""
    try:
        await exchange.sock.shutdown(socket.SHUT_WR)
    except OSError as error:
        logger.debug('%s has closed first: %s', exchange.caller, error)


async def linger(exchange: CallerExchange) -> None:
    """Let the answer arrive before the connection is closed.

    Closing with unread bytes would reset the connection and may take
    the answer from the caller.
    """
    exchange.lingering = True
    await end_output(exchange)
    try:
        async with curio.timeout_after(as_seconds(settings.DISCARD_TIMEOUT_MS)):
            await _discard(exchange.sock)
    except (OSError, curio.TaskTimeout):
        return


async def _discard(sock: curio.io.Socket) -> None:
    chunk = await sock.recv(settings.RECEIVE_BYTES)
    while chunk:
        # Reading does not wait while bytes keep coming.
        await curio.sleep(0)
        chunk = await sock.recv(settings.RECEIVE_BYTES)
