"""The decisions on one request: its next target, its patience, its retries."""

import dataclasses
import functools
import math
from collections.abc import Callable

from chicorybridge import settings
from chicorybridge.common.attempts import Attempt, AttemptOutcome
from chicorybridge.common.clocks import Clock, Millis
from chicorybridge.common.errors import ErrorCode
from chicorybridge.common.identities import ServiceId, TargetId
from chicorybridge.common.outcomes import was_not_run
from chicorybridge.entry.calls import Call
from chicorybridge.entry.forwards import Patience
from chicorybridge.entry.refusals import RefusalError
from chicorybridge.hosts.reports import Reporter
from chicorybridge.hosts.states import HostDuty, HostState
from chicorybridge.routing.allowances import RetryAllowances, RetryBound
from chicorybridge.routing.reputations import Sign, TargetSeen
from chicorybridge.routing.selections import Option, SelectionMode, Selector


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class UsualLatency:
    """What requests of a service took, as of `at`."""

    at: Millis
    usual_ms: float


class HostPolicies:
    """Choose targets for calls, and learn from how they fared."""

    def __init__(
        self,
        *,
        clock: Clock,
        selector: Selector,
        allowances: RetryAllowances,
        hosts: Callable[[], int],
        reporter: Reporter,
        state: HostState,
    ) -> None:
        """Join the parts.

        `hosts` returns the number of hosts that share the bound on
        retries; `reporter` tells others how targets did.
        """
        self._clock = clock
        self._selector = selector
        self._allowances = allowances
        self._hosts = hosts
        self._state = state
        self.reporter = reporter
        self._repeatable_at_by_id: dict[ServiceId, Millis] = {}
        self._usual_by_id: dict[ServiceId, UsualLatency] = {}

    def rebound(self, bound: RetryBound) -> None:
        """Take over another bound on retries."""
        self._allowances.update_bound(bound)

    def admit(self, call: Call) -> None:
        """Count a request that is about to be sent."""
        allowance = self._allowances.of(call.service.service_id)
        now = self._clock.now()
        allowance.record_request(now=now)
        if _is_repeatable(call):
            self._repeatable_at_by_id[call.service.service_id] = now

    def placed(self, call: Call) -> None:
        """Count a retry that is sent now."""
        if call.retry_taken_at is None:
            return
        allowance = self._allowances.of(call.service.service_id)
        allowance.record_sent(
            taken_at=call.retry_taken_at, now=self._clock.now()
        )
        call.retry_taken_at = None

    def choose(self, call: Call) -> Option | None:
        """Return the next target, `None` while waiting is better.

        Raise `RefusalError` if no target is left to wait for.
        """
        now = self._clock.now()
        service_id = call.service.service_id
        excluded = frozenset(one.target_id for one in call.attempts)
        option = self._selector.choose(
            service_id,
            self._manner(call, now),
            excluded=excluded,
            body_bytes=call.body_bytes,
            max_extra_loss=_wait_patience(call, now),
            now=now,
        )
        if option is None and not self._selector.has_targets(
            service_id, excluded=excluded
        ):
            raise RefusalError(
                code=ErrorCode.no_target,
                detail='no target may take the request now',
                outcome=call.outcome,
            )
        return option

    def patience(self, call: Call, target_id: TargetId) -> Patience:
        """Return how long to wait before another target is tried."""
        hedge_ms = math.inf
        if _is_repeatable(call) and _runs(call) + 1 < call.route.attempts:
            aim_ms = call.route.target_latency_ms or math.inf
            hedge_ms = max(self.slow_ms(call), aim_ms * settings.HEDGE_SHARE)
        return Patience(
            hedge_ms=hedge_ms,
            may_hedge=functools.partial(self._may_hedge, call, target_id),
            connect_ms=settings.HOST_CONNECT_MS,
            idle_ms=settings.HOST_IDLE_MS,
            buffer_bytes=settings.HOST_BUFFER_BYTES,
        )

    def slow_ms(self, call: Call) -> float:
        """Return the time after which an answer is unusually late.

        It follows what requests of the service take under the load of
        now, so that a service that is slow as a whole is not asked twice.
        """
        usual_ms = self.usual_ms(call.service.service_id)
        if not usual_ms:
            return call.route.target_latency_ms or settings.STALL_MS
        return usual_ms * settings.SLOW_FACTOR

    def usual_ms(self, service_id: ServiceId) -> float:
        """Return what requests of a service take now, 0 if none ended."""
        now = self._clock.now()
        known = self._usual_by_id.get(service_id)
        if known is not None and now - known.at < settings.USUAL_KEPT_MS:
            return known.usual_ms
        usual_ms = self._selector.mean_latency_ms(service_id, now=now) or 0
        self._usual_by_id[service_id] = UsualLatency(at=now, usual_ms=usual_ms)
        return usual_ms

    def finished(self, attempt: Attempt) -> None:
        """Learn from an attempt that ended."""
        self.reporter.finished(attempt.target_id)
        sign = _sign_of(attempt.outcome)
        if sign is None:
            return
        latency_ms = 0
        if sign is Sign.answered:
            latency_ms = round(attempt.elapsed_ms)
        self.reporter.observe(
            TargetSeen(
                target_id=attempt.target_id, sign=sign, latency_ms=latency_ms
            )
        )

    def stalled(self, target_id: TargetId) -> None:
        """Tell of a target that takes much longer than requests do."""
        seen = TargetSeen(target_id=target_id, sign=Sign.stalled)
        self.reporter.observe(seen)
        self.reporter.flush()

    def may_retry(self, call: Call) -> bool:
        """Decide whether a call goes on after its last attempt."""
        attempt = call.attempts[-1]
        now = self._clock.now()
        if call.deadline_at - now < settings.RETRY_LEAST_MS:
            return False
        if len(call.attempts) >= settings.HOST_TRIES:
            return False
        if not attempt.sent_bytes:
            # Nothing arrived, so nothing is added to the load.
            return attempt.outcome is AttemptOutcome.unreachable
        if call.body.whole is None:
            return False
        if not was_not_run(attempt):
            if not call.idempotent or _runs(call) >= call.route.attempts:
                return False
        allowance = self._allowances.of(call.service.service_id)
        if not allowance.take(hosts=self._hosts(), now=now):
            return False
        call.retry_taken_at = now
        return True

    def _may_hedge(self, call: Call, target_id: TargetId) -> bool:
        """Return whether a target besides this one would run a call now."""
        if self._state.duty is not HostDuty.serving:
            # The second attempt may not end before the host does.
            return False
        now = self._clock.now()
        service_id = call.service.service_id
        usual_ms = self.usual_ms(service_id)
        least_ms = max(
            settings.RETRY_LEAST_MS, usual_ms * settings.QUEUE_RUN_FACTOR
        )
        if call.deadline_at - now < least_ms:
            return False
        if len(call.attempts) + 1 >= settings.HOST_TRIES:
            return False
        allowance = self._allowances.of(service_id)
        if not allowance.allows(hosts=self._hosts(), now=now):
            return False
        tried = {one.target_id for one in call.attempts}
        option = self._selector.choose(
            service_id,
            SelectionMode.safest,
            excluded=tried | {target_id},
            body_bytes=call.body_bytes,
            max_extra_loss=_wait_patience(call, now),
            now=now,
        )
        return option is not None

    def _manner(self, call: Call, now: Millis) -> SelectionMode:
        if _is_repeatable(call):
            return (
                SelectionMode.safest
                if call.attempts
                else SelectionMode.exploring
            )
        last = self._repeatable_at_by_id.get(call.service.service_id)
        if last is None or now - last > settings.REPEATABLE_MEMORY_MS:
            return SelectionMode.returning
        return SelectionMode.safest


def _wait_patience(call: Call, now: Millis) -> float:
    """Return how much worse than the best a target may be by now."""
    whole_ms = max(1, call.deadline_at - call.started_at)
    waited = (now - call.started_at) / whole_ms
    return settings.WAIT_PATIENCE + settings.WAIT_PATIENCE_RISE * waited


def _is_repeatable(call: Call) -> bool:
    if not call.idempotent or call.body.whole is None:
        return False
    return call.route.attempts > 1


def _runs(call: Call) -> int:
    """Return how many targets may have run the call so far."""
    return sum(not was_not_run(attempt) for attempt in call.attempts)


def _sign_of(outcome: AttemptOutcome) -> Sign | None:
    match outcome:
        case AttemptOutcome.answered:
            return Sign.answered
        case AttemptOutcome.failed:
            return Sign.failed
        case AttemptOutcome.shed:
            return Sign.rejected
        case AttemptOutcome.unreachable:
            return Sign.unreachable
        case AttemptOutcome.cut:
            return Sign.broke
        case AttemptOutcome.timed_out:
            return Sign.stalled
        case _:
            # The caller went away first, which shows nothing.
            return None
