"""One attempt of a request at a target, and streaming of its answer."""

import contextlib
import dataclasses
import math
import socket
from collections.abc import Callable

import curio

from chicorybridge import settings
from chicorybridge.common.attempts import Attempt, AttemptOutcome
from chicorybridge.common.clocks import Clock, as_seconds
from chicorybridge.configuration.declarations import Target
from chicorybridge.entry.answers import (
    BufferedAnswer,
    answer_headers,
    buffered_answer,
    classify_answer,
    is_from_target,
    may_be_streamed,
    request_headers,
    retry_after_ms,
    says_leaving,
)
from chicorybridge.entry.calls import Call
from chicorybridge.entry.hedges import Hedge
from chicorybridge.http.answer_relays import AnswerRelay
from chicorybridge.http.target_connections import TargetConnections
from chicorybridge.http.exchanges import (
    CHUNKED_HEADER,
    ExchangeError,
    Head,
    protocol_error,
)
from chicorybridge.http.target_exchanges import (
    BrokenOffError,
    TargetExchange,
)


def _always() -> bool:
    return True


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AttemptLimits:
    """Time limits and the buffer size of one attempt.

    After `hedge_after_ms` the attempt is aborted as soon as `may_hedge`
    returns true, which means that another target can take the request. It
    ends at the deadline of the request at the latest. Connections that were
    idle for longer than `max_idle_ms` are not used. Nothing is sent unless
    `may_send` returns true once there is a connection. Answers up to
    `buffer_bytes` are buffered completely before they are sent to the
    caller.
    """

    hedge_after_ms: float = math.inf
    may_hedge: Callable[[], bool] = bool
    may_send: Callable[[], bool] = _always
    connect_timeout_ms: float = settings.CONNECT_TIMEOUT_MS
    max_idle_ms: float = settings.MAX_CONNECTION_IDLE_MS
    buffer_bytes: int = settings.BODY_BUFFER_BYTES


DEFAULT_LIMITS = AttemptLimits()
# A non-idempotent request cannot be retried when the target has closed an
# idle connection, so only recently used connections are used for it.
NON_IDEMPOTENT_LIMITS = AttemptLimits(
    max_idle_ms=settings.NON_IDEMPOTENT_MAX_IDLE_MS
)


class AttemptRunner:
    """Send one request to one target and read its answer.

    A small answer is buffered in `answer`, so that the request can be
    retried if the answer is incomplete. A large one is streamed to the
    caller as it arrives, unless it reports a failure. `head` is the head of
    the answer, once there is one.
    """

    def __init__(
        self,
        *,
        call: Call,
        target: Target,
        connections: TargetConnections,
        clock: Clock,
        limits: AttemptLimits = DEFAULT_LIMITS,
    ) -> None:
        """Prepare an attempt of `call` at `target`."""
        self._limits = limits
        self._hedge = Hedge(
            call=call,
            after_ms=limits.hedge_after_ms,
            may_hedge=limits.may_hedge,
        )
        self.answer: BufferedAnswer | None = None
        self._call = call
        self.target = target
        self._connections = connections
        self._clock = clock
        self._started_at = clock.now()
        self._exchange: TargetExchange | None = None
        self._sent_bytes_before = 0
        self._received_bytes_before = 0
        self._is_new_connection = False
        self._first_byte_ms: float | None = None
        self.head: Head | None = None
        # Time spent on waiting for the caller to read; not part of the latency
        # of the target.
        self._caller_wait_ms: float = 0
        self._body_wait_before_ms = call.body.wait_ms
        # At most one, removed when it is raised: its traceback would keep this
        # object, and with it the body, until a full garbage collection.
        self._body_errors: list[Exception] = []

    async def run(self) -> AttemptOutcome:
        """Make the attempt and return its outcome.

        Raise `CallerError` or `RequestError` if it was aborted because of
        the caller.
        """
        # Timeouts are not nested: curio raises no TaskTimeout if both expire
        # while the event loop is blocked.
        try:
            exchange = await self._connections.acquire(
                self.target.address,
                max_idle_ms=self._limits.max_idle_ms,
                connect_timeout_ms=min(
                    self._limits.connect_timeout_ms, self._remaining_ms
                ),
            )
        except OSError:
            return AttemptOutcome.unreachable
        except curio.TaskTimeout:
            if self._remaining_ms:
                return AttemptOutcome.unreachable
            return AttemptOutcome.timed_out
        try:
            async with curio.timeout_after(as_seconds(self._remaining_ms)):
                return await self._run(exchange)
        except (curio.TaskTimeout, BrokenOffError):
            return self._timeout_outcome()
        except ExchangeError:
            return AttemptOutcome.cut
        finally:
            await self._release()

    def result(self, outcome: AttemptOutcome) -> Attempt:
        """Return the record of the attempt so far, with `outcome`."""
        elapsed = self._clock.now() - self._started_at
        body_wait_ms = self._call.body.wait_ms - self._body_wait_before_ms
        return Attempt(
            service_id=self._call.service.service_id,
            target_id=self.target.target_id,
            route_id=self._call.route.route_id,
            outcome=outcome,
            started_at=self._started_at,
            elapsed_ms=max(0, elapsed - body_wait_ms - self._caller_wait_ms),
            first_byte_ms=self._first_byte_ms,
            retry_after_ms=retry_after_ms(self._call, self.head),
            sent_bytes=self._sent_bytes,
            received_bytes=self._received_bytes,
            new_connection=self._is_new_connection,
            leaving=says_leaving(self._call, self.head),
            marked_not_run=self._call.dialect.is_not_run(self.head),
        )

    @property
    def _sent_bytes(self) -> int:
        if self._exchange is None:
            return 0
        return self._exchange.sent_bytes - self._sent_bytes_before

    @property
    def _received_bytes(self) -> int:
        if self._exchange is None:
            return 0
        return self._exchange.received_bytes - self._received_bytes_before

    @property
    def _remaining_ms(self) -> float:
        return max(0, self._call.deadline_at - self._clock.now())

    async def _run(self, exchange: TargetExchange) -> AttemptOutcome:
        self._exchange = exchange
        self._is_new_connection = exchange.is_new
        self._sent_bytes_before = exchange.sent_bytes
        self._received_bytes_before = exchange.received_bytes
        if not self._remaining_ms:
            return AttemptOutcome.timed_out
        if self._call.body.is_evicted or not self._limits.may_send():
            return AttemptOutcome.withheld
        self._call.body.start_sending()
        body = self._call.body.buffered
        await exchange.send_request(
            method=self._call.head.method,
            path=self._call.head.path,
            headers=request_headers(
                self._call,
                body,
                target_id=self.target.target_id,
                now=self._clock.now(),
            ),
            body=body,
        )
        if math.isfinite(self._limits.hedge_after_ms):
            await self._hedge.start(exchange)
        if body is None:
            self.head = await self._upload(exchange)
        else:
            self.head = await self._read_head(exchange)
        self._first_byte_ms = self._clock.now() - self._started_at
        parts = await self._read_answer(exchange, self.head)
        if parts:
            await self._stream_answer(exchange, self.head, parts)
        return classify_answer(self._call, self.head)

    async def _read_head(self, exchange: TargetExchange) -> Head:
        """Return the head of the answer to this request.

        A target may send a late duplicate of an earlier answer first; such
        answers have another request id and are skipped. One without an id
        may be such a duplicate, too.
        """
        head = await exchange.read_head()
        dialect = self._call.dialect
        if dialect.request_id is None:
            return head
        own_id = self._call.head.header(dialect.request_id)
        while head.header(dialect.request_id) not in (own_id, None):
            await exchange.skip_answer()
            head = await exchange.read_head()
        target_id = self.target.target_id.encode()
        if head.header(
            dialect.request_id
        ) != own_id and not dialect.is_from_another(head, target_id):
            raise protocol_error('the answer does not name its request')
        if not is_from_target(dialect, head):
            raise protocol_error('the answer was not made by the target')
        return head

    async def _upload(self, exchange: TargetExchange) -> Head:
        """Send the body while waiting for the answer, which may come first."""
        body_task = await curio.spawn(self._send_body_in_background(exchange))
        try:
            head = await self._read_head(exchange)
        except ExchangeError:
            if self._body_errors:
                raise self._body_errors.pop() from None
            raise
        finally:
            await body_task.cancel()
        if self._body_errors:
            # The shutdown would look like the end of an answer.
            raise self._body_errors.pop()
        return head

    async def _send_body_in_background(self, exchange: TargetExchange) -> None:
        try:
            await self._send_body(exchange)
        except ExchangeError:
            # The target closed the connection; its answer may be readable.
            return
        except curio.CancelledError:
            # The answer came first; an error would keep the body in memory.
            return
        except Exception as error:
            # Without the rest of the body the answer cannot arrive, so the
            # shutdown ends the wait for it.
            self._body_errors.append(error)
            with contextlib.suppress(OSError):
                await exchange.sock.shutdown(socket.SHUT_RDWR)

    async def _send_body(self, exchange: TargetExchange) -> None:
        chunk = await self._call.body.next_chunk()
        while chunk:
            await exchange.send_chunk(chunk)
            chunk = await self._call.body.next_chunk()
        await exchange.finish()

    async def _read_answer(
        self, exchange: TargetExchange, head: Head
    ) -> list[bytes]:
        """Read a small answer, or return the part that fills the buffer.

        Nothing else refers to it, so that it is released once it is sent: a
        caller may take the rest slowly.
        """
        body, is_complete = await exchange.read_body(self._limits.buffer_bytes)
        if is_complete:
            self.answer = buffered_answer(self._call, head, body)
            return []
        if not may_be_streamed(self._call, head):
            raise protocol_error('error answer larger than the buffer')
        return [body]

    async def _stream_answer(
        self, exchange: TargetExchange, head: Head, parts: list[bytes]
    ) -> None:
        """Relay an answer that is read as fast as the target sends it.

        The caller may get its end later.
        """
        headers = answer_headers(self._call, head)
        if head.length is None:
            headers.append(CHUNKED_HEADER)
        self._call.committed = True
        relay = AnswerRelay(caller=self._call.exchange)
        self._call.relay = relay
        await relay.start(status=head.status, headers=headers)
        while parts:
            started_at = self._clock.now()
            await relay.add(parts.pop())
            self._caller_wait_ms += self._clock.now() - started_at
            chunk = await exchange.read_chunk()
            if chunk:
                parts.append(chunk)

    def _timeout_outcome(self) -> AttemptOutcome:
        relay = self._call.relay
        if relay is not None and relay.waiting_for_caller:
            return AttemptOutcome.cancelled
        if self._call.body.waiting_for_caller:
            return AttemptOutcome.cancelled
        return AttemptOutcome.timed_out

    async def _release(self) -> None:
        await self._hedge.stop()
        exchange = self._exchange
        if exchange is None:
            return
        if self.head is None:
            await self._connections.discard(exchange)
            return
        await self._connections.release(exchange)
