"""Request limits of one entry process by target, service and workspace."""

import dataclasses
import random

from chicorybridge import settings
from chicorybridge.common.attempts import Attempt, AttemptOutcome
from chicorybridge.common.buckets import TokenBucket
from chicorybridge.common.clocks import MILLIS_PER_SECOND, Millis
from chicorybridge.common.errors import ErrorCode
from chicorybridge.common.identities import ServiceId, TargetId, WorkspaceId
from chicorybridge.configuration.declarations import Declaration, Priority
from chicorybridge.routing.admissions import ServiceAdmission, Signals
from chicorybridge.routing.subsets import (
    FleetSize,
    TargetShare,
    in_flight_window,
    target_share,
)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Admission:
    """Whether a request is admitted, else the error and when to retry."""

    code: ErrorCode | None = None
    retry_after_ms: float = 0

    @property
    def admitted(self) -> bool:
        """Return whether the request is admitted."""
        return self.code is None


ADMITTED = Admission()


class Limiter:
    """Refuse requests beyond the capacity of targets and workspaces."""

    def __init__(self, *, rng: random.Random) -> None:
        """Start without a declaration: all requests are refused."""
        self._rng = rng
        self._shares_by_target: dict[TargetId, TargetShare] = {}
        self._admissions_by_service: dict[ServiceId, ServiceAdmission] = {}
        self._rates_by_workspace: dict[WorkspaceId, float] = {}
        self._buckets_by_workspace: dict[WorkspaceId, TokenBucket] = {}

    def set_declaration(
        self, declaration: Declaration, *, fleet: FleetSize
    ) -> None:
        """Apply the limits, divided among `fleet`; current counts are kept."""
        self._shares_by_target = {
            target_id: target_share(declaration.pool_of(target), fleet)
            for target_id, target in declaration.targets_by_id.items()
        }
        self._admissions_by_service = {
            service_id: self._admissions_by_service.get(service_id)
            or ServiceAdmission(rng=self._rng)
            for service_id in declaration.services_by_id
        }
        for service_id, admission in self._admissions_by_service.items():
            slots = declaration.slots_of(service_id)
            admission.window = in_flight_window(slots, fleet)
        self._set_workspaces(declaration)

    def set_workspace_share(
        self, workspace_id: WorkspaceId, share: float, *, now: Millis
    ) -> None:
        """Limit this process to `share` of the rate of a workspace."""
        rate = self._rates_by_workspace.get(workspace_id)
        if rate is not None:
            bucket = self._bucket_of(workspace_id, rate, now)
            bucket.per_second = rate * share
            bucket.burst = _burst_of(rate * share)

    def admit(
        self,
        service_id: ServiceId,
        *,
        priority: Priority,
        workspace_id: WorkspaceId | None,
        now: Millis,
    ) -> Admission:
        """Admit or refuse a request, before its body is read.

        The code of a refusal is `workspace_limit` or `overloaded`.
        """
        wait_ms = self._workspace_wait(workspace_id, now)
        if wait_ms > 0:
            return Admission(
                code=ErrorCode.workspace_limit, retry_after_ms=wait_ms
            )
        admission = self._admissions_by_service.get(service_id)
        if admission is None or not admission.admit(priority, now=now):
            return self.overload_refusal(service_id)
        return ADMITTED

    def overload_refusal(self, service_id: ServiceId) -> Admission:
        """Return the refusal of a request for which no target has capacity."""
        admission = self._admissions_by_service.get(service_id)
        share = 1.0 if admission is None else admission.share
        max_wait_ms = min(
            settings.RETRY_AFTER_MS / share, settings.MAX_RETRY_AFTER_MS
        )
        # Random, so that refused callers do not all retry at once.
        wait_ms = max_wait_ms * (1 + self._rng.random()) / 2
        return Admission(code=ErrorCode.overloaded, retry_after_ms=wait_ms)

    def has_capacity(self, target_id: TargetId, in_flight: int) -> bool:
        """Return whether a target may get one more besides `in_flight`."""
        share = self._shares_by_target.get(target_id)
        return share is not None and in_flight < share.in_flight

    def connections_of(self, target_id: TargetId) -> int:
        """Return the limit on open connections of this process to a target."""
        share = self._shares_by_target.get(target_id)
        return 0 if share is None else share.connections

    def started(self, service_id: ServiceId) -> None:
        """Count an attempt that starts."""
        admission = self._admissions_by_service.get(service_id)
        if admission is not None:
            admission.in_flight += 1

    def finished(
        self, attempt: Attempt, *, slowness: float | None, now: Millis
    ) -> None:
        """Record an attempt that ended, with its slowness.

        `slowness` is the latency relative to its baseline, `None` without
        a successful answer.
        """
        admission = self._admissions_by_service.get(attempt.service_id)
        if admission is None:
            return
        admission.in_flight = max(0, admission.in_flight - 1)
        if attempt.outcome is AttemptOutcome.cancelled:
            return
        signals = _signals_of(attempt, slowness)
        admission.record(signals, started_at=attempt.started_at, now=now)

    def merge(
        self, service_id: ServiceId, signals: Signals, *, now: Millis
    ) -> None:
        """Add the signals of other processes for a service."""
        admission = self._admissions_by_service.get(service_id)
        if admission is not None:
            admission.record(signals, started_at=now, now=now)

    def admitted_share(self, service_id: ServiceId) -> float:
        """Return the admitted share of arrivals."""
        return self._admissions_by_service[service_id].share

    def _set_workspaces(self, declaration: Declaration) -> None:
        self._rates_by_workspace = {
            workspace_id: workspace.requests_per_second
            for workspace_id, workspace in declaration.workspaces_by_id.items()
        }
        self._buckets_by_workspace = {
            workspace_id: bucket
            for workspace_id, bucket in self._buckets_by_workspace.items()
            if workspace_id in self._rates_by_workspace
        }

    def _workspace_wait(
        self, workspace_id: WorkspaceId | None, now: Millis
    ) -> float:
        if workspace_id is None:
            return 0
        rate = self._rates_by_workspace.get(workspace_id)
        if rate is None:
            return 0
        bucket = self._bucket_of(workspace_id, rate, now)
        return 0 if bucket.take(now=now) else bucket.wait_ms(now=now)

    def _bucket_of(
        self, workspace_id: WorkspaceId, rate: float, now: Millis
    ) -> TokenBucket:
        bucket = self._buckets_by_workspace.get(workspace_id)
        if bucket is None:
            bucket = TokenBucket(
                per_second=rate, burst=_burst_of(rate), now=now
            )
            self._buckets_by_workspace[workspace_id] = bucket
        return bucket


def _burst_of(rate: float) -> float:
    return max(1, rate * settings.WORKSPACE_BURST_MS / MILLIS_PER_SECOND)


def _signals_of(attempt: Attempt, slowness: float | None) -> Signals:
    if attempt.outcome is AttemptOutcome.shed:
        return Signals(attempts=1, shed=1)
    slow = attempt.outcome is AttemptOutcome.timed_out
    if slowness is not None and slowness > settings.OVERLOAD_LATENCY_FACTOR:
        slow = True
    return Signals(attempts=1, slow=int(slow))
