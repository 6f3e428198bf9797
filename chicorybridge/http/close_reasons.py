"""When and why a host closes connections from callers."""

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


class CloseReason(Enum):
    """Why a host closes a connection from a caller."""

    # No request arrived within the idle timeout.
    idle = 'idle'
    # The head of a request was not complete within the head timeout.
    slow_head = 'slow_head'
    # The caller neither sent nor received bytes during a request.
    stalled = 'stalled'
    # The caller closed its end during a request.
    caller_gone = 'caller_gone'
    # The process is stopping.
    stopping = 'stopping'


def close_reason(
    exchange: CallerExchange,
    limits: CallerLimits,
    *,
    limits_since: Millis,
    now: Millis,
) -> CloseReason | None:
    """Return why a connection must be closed now, `None` if it stays open.

    An idle time that began before `limits_since` counts from then, because
    the caller may rely on the limit that was configured before.
    """
    if not exchange.in_request:
        return _idle_close_reason(exchange, limits, limits_since, now)
    if exchange.waiting_since is not None:
        stalled = (
            now - exchange.waiting_since > settings.CALLER_STALL_TIMEOUT_MS
        )
        return CloseReason.stalled if stalled else None
    # A request that must not be cancelled continues without its caller, so
    # that its answer is kept.
    if exchange.cancel_on_disconnect and sockets.is_closed(exchange.sock):
        return CloseReason.caller_gone
    return None


def _idle_close_reason(
    exchange: CallerExchange,
    limits: CallerLimits,
    limits_since: Millis,
    now: Millis,
) -> CloseReason | None:
    """Return why a connection without a request must be closed now."""
    waiting_since = exchange.waiting_since
    if waiting_since is None:
        return None
    reason = CloseReason.idle
    waited_ms = now - max(waiting_since, limits_since)
    limit_ms = limits.idle_timeout_ms
    if exchange.head_started_at is not None:
        reason = CloseReason.slow_head
        waited_ms = now - exchange.head_started_at
        limit_ms = limits.head_timeout_ms
    # `_awaits_request` makes a system call, so it is called last, for the few
    # connections beyond their limit.
    if waited_ms > limit_ms and _awaits_request(exchange):
        return reason
    return None


def is_idle(exchange: CallerExchange) -> bool:
    """Return whether no byte of another request has arrived."""
    return exchange.head_started_at is None and _awaits_request(exchange)


def has_request(exchange: CallerExchange) -> bool:
    """Return whether a request, or a part of one, awaits an answer."""
    return not (exchange.lingering or is_idle(exchange))


def _awaits_request(exchange: CallerExchange) -> bool:
    """Return whether a connection waits to read and has no unread bytes.

    Only then is its task certain to be suspended. A task that is ready to
    run would be cancelled at its next blocking operation, after it has read
    a request.
    """
    if exchange.in_request or exchange.waiting_since is None:
        return False
    return sockets.is_idle(exchange.sock)


def _waited_ms(exchange: CallerExchange, now: Millis) -> int:
    since = exchange.waiting_since
    return 0 if since is None else round(now - since)


def close_event(
    exchange: CallerExchange,
    reason: CloseReason,
    now: Millis,
    *,
    ahead: int = 0,
) -> Event | None:
    """Return the log event of a connection that the host closes.

    `ahead` requests were read behind the unanswered one of `exchange`.
    `None` for a plain idle timeout, which is how most connections end.
    """
    unread = not sockets.is_idle(exchange.sock)
    if reason is CloseReason.idle and not unread:
        return None
    facts = {
        'ending': reason.value,
        'caller': exchange.caller_ip,
        'in_request': exchange.in_request,
        'unread': unread,
        'waited_ms': _waited_ms(exchange, now),
    }
    if ahead:
        facts['ahead'] = ahead
    return Event(kind=EventKind.connection_ended, facts=facts)


async def shut_down_writing(exchange: CallerExchange) -> None:
    """Shut down the sending side of the connection, without blocking."""
    try:
        await exchange.sock.shutdown(socket.SHUT_WR)
    except OSError as error:
        logger.debug(
            'caller %s closed the connection first: %s',
            exchange.caller_ip,
            error,
        )


async def linger(exchange: CallerExchange) -> None:
    """Discard input until the caller closes, for at most `DISCARD_TIMEOUT_MS`.

    Closing a socket with unread bytes resets the connection, and the caller
    could lose the answer.
    """
    exchange.lingering = True
    exchange.drop_received()
    await shut_down_writing(exchange)
    try:
        async with curio.timeout_after(as_seconds(settings.DISCARD_TIMEOUT_MS)):
            await _discard(exchange.sock)
    except (OSError, curio.TaskTimeout):
        return


async def _discard(sock: curio.io.Socket) -> None:
    # No variable keeps what was received while this waits for more.
    while await sock.recv(settings.RECEIVE_BYTES):
        # Reading does not block while bytes keep arriving.
        await curio.sleep(0)
