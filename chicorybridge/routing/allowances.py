"""Retries that this host may send, as its share of a fleet-wide limit."""

import dataclasses
import math
from collections import deque

from chicorybridge import settings
from chicorybridge.common.clocks import Millis
from chicorybridge.common.identities import ServiceId

LONG_AGO = Millis(-math.inf)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RetryBound:
    """Limit on the retries of a service on all hosts in any `window_ms`.

    It is `ratio` times the number of requests, plus `slack` retries.
    """

    ratio: float
    slack: float
    window_ms: float


class RetryAllowance:
    """Limit the retries of one service on this host.

    Requests and retries are counted in a sliding window. The share of this
    host is `ratio` times its own requests plus an equal part of `slack`; only
    `RETRY_BOUND_SHARE` of it is used. There is no part of `slack` in the
    first window after `started_at`: an earlier process of this host, of whose
    retries nothing is left, may have used it.
    """

    def __init__(
        self, *, bound: RetryBound, started_at: Millis = LONG_AGO
    ) -> None:
        """Start without requests; `started_at` is when the process did."""
        self.bound = bound
        self._started_at = started_at
        self._requested_at: deque[Millis] = deque()
        self._retried_at: deque[Millis] = deque()

    def record_request(self, *, now: Millis) -> None:
        """Count a request of a caller, not a retry."""
        self._requested_at.append(now)

    def take(self, *, hosts: int, now: Millis) -> bool:
        """Count a retry if the share of this host allows it.

        Return whether it is allowed; `hosts` is the number of live hosts.
        """
        if not self.allows(hosts=hosts, now=now):
            return False
        self._retried_at.append(now)
        return True

    def allows(self, *, hosts: int, now: Millis) -> bool:
        """Return whether the share of this host allows another retry."""
        return self.spent_share(hosts=hosts, now=now) <= 1

    def spent_share(self, *, hosts: int, now: Millis) -> float:
        """Return how much of its share this host uses with another retry."""
        horizon = now - self.bound.window_ms
        for times in (self._requested_at, self._retried_at):
            while times and times[0] < horizon:
                times.popleft()
        allowed = self.bound.ratio * len(self._requested_at)
        if horizon >= self._started_at:
            allowed += self.bound.slack / max(1, hosts)
        used = len(self._retried_at) + 1
        usable = allowed * settings.RETRY_BOUND_SHARE
        return used / usable if usable else math.inf

    def record_sent(self, *, taken_at: Millis, now: Millis) -> None:
        """Move the count of a retry to when it is sent.

        The retry was counted at `taken_at` and may have waited for a
        target since.
        """
        if taken_at in self._retried_at:
            self._retried_at.remove(taken_at)
        self._retried_at.append(now)


class RetryAllowances:
    """The retry allowances of all services."""

    def __init__(
        self, *, bound: RetryBound, started_at: Millis = LONG_AGO
    ) -> None:
        """Start without services; `bound` applies to each.

        `started_at` is when the process started, if it may have had a
        predecessor.
        """
        self._bound = bound
        self._started_at = started_at
        self._allowances_by_id: dict[ServiceId, RetryAllowance] = {}

    def update_bound(self, bound: RetryBound) -> None:
        """Replace the bound of all services; the counts are kept."""
        self._bound = bound
        for allowance in self._allowances_by_id.values():
            allowance.bound = bound

    def of(self, service_id: ServiceId) -> RetryAllowance:
        """Return the allowance of a service, created on first use."""
        allowance = self._allowances_by_id.get(service_id)
        if allowance is None:
            allowance = RetryAllowance(
                bound=self._bound, started_at=self._started_at
            )
            self._allowances_by_id[service_id] = allowance
        return allowance
