"""Decisions on one request: its next target, timeouts, hedging, retries."""

import dataclasses
import functools
import math
from collections.abc import Callable, Collection

from chicorybridge import settings
from chicorybridge.common.attempts import Attempt, AttemptOutcome
from chicorybridge.common.clocks import Clock, Millis
from chicorybridge.common.errors import ErrorCode
from chicorybridge.common.identities import RouteId, ServiceId, TargetId
from chicorybridge.common.outcomes import was_not_run
from chicorybridge.entry.attempt_runners import AttemptLimits
from chicorybridge.entry.calls import Call
from chicorybridge.entry.refusals import RefusalError
from chicorybridge.fleet.directories import TargetEntry
from chicorybridge.hosts.reporters import Reporter
from chicorybridge.hosts.states import HostPhase, HostState
from chicorybridge.hosts.target_lists import TargetList
from chicorybridge.routing.allowances import RetryAllowances, RetryBound
from chicorybridge.routing.hedging import SilentAttempt, hedge_delay_ms
from chicorybridge.routing.reputations import Sign, TargetSeen
from chicorybridge.routing.selections import Option, SelectionMode, Selector
from chicorybridge.routing.service_latencies import LatencySummary, LatencyTable
from chicorybridge.routing.settings import INCLUDED_ANSWER_BYTES
from chicorybridge.routing.target_limits import LimitSeen
from chicorybridge.routing.target_signs import LeavingSeen


def _no_bytes(_: RouteId) -> float:
    return 0


class HostPolicies:  # noqa: WPS214
    """Select targets for calls and record the results of attempts."""

    def __init__(  # noqa: WPS211
        self,
        *,
        clock: Clock,
        selector: Selector,
        allowances: RetryAllowances,
        host_count: Callable[[], int],
        reporter: Reporter,
        state: HostState,
        latencies: LatencyTable,
        targets: TargetList,
        answer_bytes: Callable[[RouteId], float] = _no_bytes,
    ) -> None:
        """Combine the components.

        `host_count` returns the number of hosts that share the bound on
        retries; `reporter` sends results of attempts to other hosts;
        `answer_bytes` returns the expected size of an answer,
        0 if it is not to count.
        """
        self._answer_bytes = answer_bytes
        self._clock = clock
        self._selector = selector
        self._allowances = allowances
        self._host_count = host_count
        self._state = state
        self._latencies = latencies
        self._targets = targets
        self.reporter = reporter
        self._retryable_at_by_id: dict[ServiceId, Millis] = {}

    def set_retry_bound(self, bound: RetryBound) -> None:
        """Replace the bound on retries."""
        self._allowances.update_bound(bound)

    def record_request(self, call: Call) -> None:
        """Count a new request of a caller."""
        allowance = self._allowances.of(call.service.service_id)
        now = self._clock.now()
        allowance.record_request(now=now)
        if _is_retryable(call):
            self._retryable_at_by_id[call.service.service_id] = now

    def record_retry(self, call: Call) -> None:
        """Count the retry, if this is one, as sent now."""
        if call.retry_taken_at is None:
            return
        allowance = self._allowances.of(call.service.service_id)
        allowance.record_sent(
            taken_at=call.retry_taken_at, now=self._clock.now()
        )
        call.retry_taken_at = None

    def select_target(self, call: Call) -> Option | None:
        """Return the next target, `None` if the call should wait for one.

        A request to the target that is returned counts as sent.

        Raise `RefusalError` if no untried target can be waited for.
        """
        now = self._clock.now()
        service_id = call.service.service_id
        excluded = frozenset(attempt.target_id for attempt in call.attempts)
        option = self._selector.choose(
            service_id,
            self._selection_mode(call, now),
            excluded=excluded,
            body_bytes=self._moved_bytes(call),
            max_extra_loss=_max_extra_loss(call, now),
            now=now,
        )
        if option is None:
            self._check_available(call, excluded, now)
            return None
        self._selector.take(option, now=now)
        return dataclasses.replace(
            option, list_age_ms=self._targets.list_age_ms
        )

    def attempt_limits(self, call: Call, option: Option) -> AttemptLimits:
        """Return the timeouts of an attempt and when it may be hedged."""
        hedge_after_ms = math.inf
        if (
            _is_retryable(call)
            and _possible_runs(call) + 1 < call.route.attempts
        ):
            hedge_after_ms = self._hedge_delay_ms(call, option)
        return AttemptLimits(
            hedge_after_ms=hedge_after_ms,
            may_hedge=functools.partial(
                self._may_hedge, call, option.entry.target_id
            ),
            may_send=functools.partial(self._may_send, option.entry),
            connect_timeout_ms=settings.HOST_CONNECT_TIMEOUT_MS,
            max_idle_ms=settings.HOST_CONNECTION_IDLE_MS,
            buffer_bytes=settings.HOST_BODY_BUFFER_BYTES,
        )

    def stall_ms(self, call: Call, option: Option) -> float:
        """Return the time after which an attempt without answer is a stall.

        It follows the current latencies of the service, so that its targets
        are not doubted while the service as a whole is slow.
        """
        summary = self.latencies(call.service.service_id)
        unusual_ms = summary.quantile_ms(1 - settings.SOUND_STALLED_SHARE)
        if unusual_ms is None:
            return _target_latency_ms(call)
        if option.entry.warming:
            return unusual_ms * settings.WARMING_LATENCY_FACTOR
        return unusual_ms

    def latencies(self, service_id: ServiceId) -> LatencySummary:
        """Return the latencies of recent answers of a service."""
        return self._latencies.of(service_id).summary(now=self._clock.now())

    def record_attempt(
        self, attempt: Attempt, entry: TargetEntry, *, rate_per_s: float | None
    ) -> None:
        """Record the result of an attempt at the target of `entry`.

        `rate_per_s` is the limit that its answer names, infinite if it
        names none, `None` if that is not known.
        """
        self.reporter.attempt_finished(attempt.target_id)
        self._selector.record_freed(entry, now=self._clock.now())
        if attempt.leaving:
            self.reporter.record_sign(
                LeavingSeen(
                    target_id=entry.target_id,
                    started_at_ms=entry.started_at_ms,
                )
            )
        if rate_per_s is not None:
            self.reporter.record_sign(
                LimitSeen(
                    target_id=entry.target_id,
                    started_at_ms=entry.started_at_ms,
                    rate_per_s=(
                        rate_per_s if math.isfinite(rate_per_s) else None
                    ),
                )
            )
        if attempt.retry_after_ms is not None:
            self.reporter.record_pause(entry, pause_ms=attempt.retry_after_ms)
        sign = _sign_of(attempt.outcome)
        if sign is None:
            return
        latency_ms = 0
        if sign is Sign.answered:
            latency_ms = round(attempt.elapsed_ms)
        self.reporter.record(
            TargetSeen(
                target_id=attempt.target_id, sign=sign, latency_ms=latency_ms
            )
        )

    def record_stall(self, target_id: TargetId) -> None:
        """Report at once that a target takes unusually long to answer."""
        observation = TargetSeen(target_id=target_id, sign=Sign.stalled)
        self.reporter.record(observation)
        self.reporter.flush()

    def may_retry(self, call: Call) -> bool:
        """Return whether to retry a call, and reserve the retry if so."""
        attempt = call.attempts[-1]
        now = self._clock.now()
        if call.deadline_at - now < settings.MIN_RETRY_REMAINING_MS:
            return False
        if len(call.attempts) >= settings.MAX_HOST_ATTEMPTS:
            return False
        if not attempt.sent_bytes:
            # Nothing was sent, so another attempt adds no load.
            return attempt.outcome is AttemptOutcome.unreachable
        if call.body.buffered is None:
            return False
        if not was_not_run(attempt):
            if (
                not call.idempotent
                or _possible_runs(call) >= call.route.attempts
            ):
                return False
        allowance = self._allowances.of(call.service.service_id)
        if not allowance.take(hosts=self._host_count(), now=now):
            return False
        call.retry_taken_at = now
        return True

    def _moved_bytes(self, call: Call) -> int:
        """Return the bytes that count towards the cost of another zone."""
        answer_bytes = self._answer_bytes(call.route.route_id)
        # The cost of another region includes an answer of some kilobytes.
        beyond = max(0, answer_bytes - INCLUDED_ANSWER_BYTES)
        return call.body_bytes + round(beyond)

    def _hedge_delay_ms(self, call: Call, option: Option) -> float:
        now = self._clock.now()
        service_id = call.service.service_id
        target_latency_ms = _target_latency_ms(call)
        allowance = self._allowances.of(service_id)
        attempt = SilentAttempt(
            soundness=option.soundness,
            aim_left_ms=call.started_at + target_latency_ms - now,
            left_ms=call.deadline_at - now,
            spent_share=allowance.spent_share(
                hosts=self._host_count(), now=now
            ),
        )
        return hedge_delay_ms(attempt, self.latencies(service_id))

    def _may_send(self, entry: TargetEntry) -> bool:
        """Return whether a target that was chosen may still get a request."""
        return self._targets.is_usable() and self._selector.may_send(entry)

    def _may_hedge(self, call: Call, target_id: TargetId) -> bool:
        """Return whether another target can run the call now."""
        if self._state.phase is not HostPhase.serving:
            # A second attempt might outlast the process.
            return False
        now = self._clock.now()
        service_id = call.service.service_id
        fitting_ms = self.latencies(service_id).quantile_ms(
            settings.MIN_HEDGE_FIT_SHARE
        )
        min_ms = max(settings.MIN_RETRY_REMAINING_MS, fitting_ms or 0)
        if call.deadline_at - now < min_ms:
            return False
        if len(call.attempts) + 1 >= settings.MAX_HOST_ATTEMPTS:
            return False
        allowance = self._allowances.of(service_id)
        if not allowance.allows(hosts=self._host_count(), now=now):
            return False
        tried_ids = {attempt.target_id for attempt in call.attempts}
        option = self._selector.choose(
            service_id,
            SelectionMode.safest,
            excluded=tried_ids | {target_id},
            body_bytes=self._moved_bytes(call),
            max_extra_loss=_max_extra_loss(call, now),
            now=now,
        )
        if option is None:
            return False
        # The next choice draws anew, and might find none with room.
        self._selector.record_freed(option.entry, now=now)
        return True

    def _check_available(
        self, call: Call, excluded: Collection[TargetId], now: Millis
    ) -> None:
        """Raise `RefusalError` if no target can be waited for."""
        available_at = self._selector.available_at(
            call.service.service_id, excluded=excluded, now=now
        )
        if available_at is None or available_at >= call.deadline_at:
            raise RefusalError(
                code=ErrorCode.no_target,
                detail='no target is available for this request',
                outcome=call.outcome,
            )

    def _selection_mode(self, call: Call, now: Millis) -> SelectionMode:
        if _is_retryable(call):
            return (
                SelectionMode.safest
                if call.attempts
                else SelectionMode.exploring
            )
        retryable_at = self._retryable_at_by_id.get(call.service.service_id)
        if (
            retryable_at is None
            or now - retryable_at > settings.RETRYABLE_WINDOW_MS
        ):
            return SelectionMode.returning
        return SelectionMode.safest


def _target_latency_ms(call: Call) -> float:
    return call.route.target_latency_ms or settings.DEFAULT_TARGET_LATENCY_MS


def _max_extra_loss(call: Call, now: Millis) -> float:
    """Return how far the loss of a target may exceed the lowest loss.

    It rises with the time that the call has waited.
    """
    timeout_ms = max(1, call.deadline_at - call.started_at)
    waited_share = (now - call.started_at) / timeout_ms
    return settings.MAX_EXTRA_LOSS + settings.MAX_EXTRA_LOSS_RISE * waited_share


def _is_retryable(call: Call) -> bool:
    if not call.idempotent or call.body.buffered is None:
        return False
    return call.route.attempts > 1


def _possible_runs(call: Call) -> int:
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
            # The caller disconnected first, or nothing was sent, so the
            # target is not to blame.
            return None
