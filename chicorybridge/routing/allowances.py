"""Retries that this host may add, as its share of a bound on the fleet."""

import dataclasses
from collections import deque

from chicorybridge import settings
from chicorybridge.common.clocks import Millis
from chicorybridge.common.identities import ServiceId


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RetryBound:
    """Retries of a service in any `window_ms`, over the whole fleet.

    Their number stays within `ratio` times the requests plus `slack`.
    """

    ratio: float
    slack: float
    window_ms: float


class RetryAllowance:
    """Count requests and retries of one service in a sliding window."""

    def __init__(self, *, bound: RetryBound) -> None:
        """Start without requests."""
        self.bound = bound
        self._requested_at: deque[Millis] = deque()
        self._retried_at: deque[Millis] = deque()

    def record_request(self, *, now: Millis) -> None:
        """Count a request of a caller."""
        self._requested_at.append(now)

    def take(self, *, hosts: int, now: Millis) -> bool:
        """Count a retry and return true if it is within the share."""
        if not self.allows(hosts=hosts, now=now):
            return False
        self._retried_at.append(now)
        return True

    def allows(self, *, hosts: int, now: Millis) -> bool:
        """Return whether another retry is within the share."""
        horizon = now - self.bound.window_ms
        for times in (self._requested_at, self._retried_at):
            while times and times[0] < horizon:
                times.popleft()
        allowed = self.bound.ratio * len(self._requested_at)
        allowed += self.bound.slack / max(1, hosts)
        used = len(self._retried_at) + 1
        return used <= allowed * settings.RETRY_BOUND_SHARE

    def record_sent(self, *, taken_at: Millis, now: Millis) -> None:
        """Count a retry as of when it is sent, not of when it was allowed.

        It may have waited for a target in between.
        """
        if taken_at in self._retried_at:
            self._retried_at.remove(taken_at)
        self._retried_at.append(now)


class RetryAllowances:
    """Allowances by service."""

    def __init__(self, *, bound: RetryBound) -> None:
        """Start without services; each gets the same bound."""
        self._bound = bound
        self._allowances_by_id: dict[ServiceId, RetryAllowance] = {}

    def update_bound(self, bound: RetryBound) -> None:
        """Take over another bound; what was counted stays."""
        self._bound = bound
        for allowance in self._allowances_by_id.values():
            allowance.bound = bound

    def of(self, service_id: ServiceId) -> RetryAllowance:
        """Return the allowance of a service."""
        known = self._allowances_by_id.get(service_id)
        if known is None:
            known = RetryAllowance(bound=self._bound)
            self._allowances_by_id[service_id] = known
        return known
