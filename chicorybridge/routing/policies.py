"""All routing decisions of one entry process."""

import random
from collections.abc import Collection, Sequence

from chicorybridge import settings
from chicorybridge.common.attempts import Attempt
from chicorybridge.common.clocks import Millis
from chicorybridge.common.identities import (
    HostId,
    ServiceId,
    TargetId,
    WorkspaceId,
    ZoneId,
)
from chicorybridge.common.systems import Effects, Send
from chicorybridge.configuration.configurations import ActiveConfiguration
from chicorybridge.configuration.declarations import Route, Target
from chicorybridge.detection.checks import TargetCheck
from chicorybridge.detection.notices import TargetLimits
from chicorybridge.detection.observations import Observer
from chicorybridge.entry.calls import Call
from chicorybridge.routing.choosers import Chooser
from chicorybridge.routing.crossings import CrossingMeter
from chicorybridge.routing.leaving_targets import LeavingTargets
from chicorybridge.routing.limits import Admission, Limiter
from chicorybridge.quarantine.quarantines import (
    CrashReport,
    Quarantine,
    may_have_crashed,
)
from chicorybridge.routing.retries import (
    RequestFacts,
    RetryDecision,
    RetryPolicy,
)
from chicorybridge.routing.subsets import FleetSize, subset_of
from chicorybridge.routing.weights import Weights


class Policies:
    """Admit requests, choose targets, record results and decide retries."""

    def __init__(
        self,
        *,
        rng: random.Random,
        host_id: HostId,
        zone_id: ZoneId,
        process_name: str,
    ) -> None:
        """Start without a configuration: all requests are refused."""
        self._host_id = host_id
        self._zone_id = zone_id
        self._process_name = process_name
        self._fleet = FleetSize(processes=1, zone_processes=1)
        self._region_processes = 1
        self._configuration: ActiveConfiguration | None = None
        self._leaving = LeavingTargets()
        self.quarantine = Quarantine()
        self.crossings = CrossingMeter(entry_id=process_name)
        self._weights = Weights()
        self._observer = Observer(host_id=host_id)
        self._limiter = Limiter(rng=rng)
        self._retries = RetryPolicy()
        self._chooser = Chooser(
            rng=rng,
            weight_of=self._weights.weight_of,
            has_capacity=self._limiter.has_capacity,
        )

    def configure(
        self, configuration: ActiveConfiguration, *, now: Millis
    ) -> None:
        """Replace the configuration."""
        declaration = configuration.declaration
        self._configuration = configuration
        self._weights.configure(declaration)
        self._observer.configure(declaration)
        self._retries.set_declaration(declaration)
        self._apply_fleet_size(now)

    def set_fleet_size(
        self, fleet: FleetSize, *, region_processes: int, now: Millis
    ) -> None:
        """Divide targets and links among a fleet of a new size."""
        if (fleet, region_processes) == (self._fleet, self._region_processes):
            return
        self._fleet = fleet
        self._region_processes = region_processes
        self._apply_fleet_size(now)

    def set_target_limits(
        self, message: TargetLimits | TargetCheck, *, now: Millis
    ) -> None:
        """Apply ejections, trials and checks of targets."""
        self._weights.receive(message, sender=self._host_id, now=now)
        self._chooser.set_ejected(self._weights.ejected)

    def set_leaving_targets(self, target_ids: Collection[TargetId]) -> None:
        """Set the leaving targets that the host announced."""
        self._leaving.announced = frozenset(target_ids)
        self._chooser.set_leaving(self._leaving.target_ids)

    def admit(
        self, route: Route, workspace_id: WorkspaceId | None, *, now: Millis
    ) -> Admission:
        """Admit or refuse a request, before its body is read."""
        admission = self._limiter.admit(
            route.service_id,
            priority=route.priority,
            workspace_id=workspace_id,
            now=now,
        )
        if admission.admitted:
            self._retries.record_request(route.service_id, now=now)
        return admission

    def overload_refusal(self, service_id: ServiceId) -> Admission:
        """Return the refusal of a request for which no target has capacity."""
        return self._limiter.overload_refusal(service_id)

    def pick(
        self, call: Call, *, excluded: Collection[TargetId], now: Millis
    ) -> Target | None:
        """Return the target of the next attempt, `None` if there is none.

        The target is from the active configuration, even if the request
        arrived under an older one.
        """
        if self._configuration is None:
            return None
        target_id = self._pick_id(call, excluded, now)
        if target_id is None:
            return None
        return self._configuration.declaration.targets_by_id.get(target_id)

    def started(self, target_id: TargetId, route: Route, *, now: Millis) -> int:
        """Count an attempt that starts; return its number."""
        self._chooser.started(target_id, now)
        self._limiter.started(route.service_id)
        return self._observer.start(
            target_id=target_id, route_id=route.route_id, now=now
        )

    def finished(self, number: int, attempt: Attempt, *, now: Millis) -> None:
        """Record an attempt that ended."""
        residual = self._observer.finish(number, attempt)
        self._weights.record(attempt, residual)
        if attempt.leaving:
            self._leaving.record(attempt, now=now)
            self._chooser.set_leaving(self._leaving.target_ids)
        if self.crossings.is_in_other_region(attempt.target_id):
            self.crossings.record(
                attempt.service_id,
                attempt.sent_bytes + attempt.received_bytes,
                now=now,
            )
        slowness = self._chooser.finished(attempt, now)
        self._limiter.finished(attempt, slowness=slowness, now=now)

    def decide(
        self, facts: RequestFacts, attempts: Sequence[Attempt], *, now: Millis
    ) -> RetryDecision:
        """Decide whether a request is retried after its last attempt."""
        return self._retries.decide(facts, attempts, now=now)

    def is_quarantined(self, call: Call, *, now: Millis) -> bool:
        """Return whether a request is refused because it crashes targets."""
        if not self.quarantine.contains(call):
            return False
        return self.quarantine.refuses(call.digest, now=now)

    def record_crash_signs(
        self, call: Call, attempt: Attempt, *, now: Millis
    ) -> CrashReport | None:
        """Record whether an attempt crashed its target; return any report."""
        if self.quarantine.is_empty and not may_have_crashed(attempt):
            return None
        return self.quarantine.record_attempt(call.digest, attempt, now=now)

    def tick(self, *, now: Millis) -> Effects:
        """Expire old state; return the messages to the control process."""
        self._weights.tick(now=now)
        self._chooser.set_ejected(self._weights.ejected)
        if self._leaving.expire(now=now):
            self._chooser.set_leaving(self._leaving.target_ids)
        self.quarantine.tick(now=now)
        reports = (
            *self._leaving.take_unreported(),
            *self.crossings.tick(now=now),
        )
        return [
            *self._observer.tick(now=now),
            *(Send(to=self._host_id, message=report) for report in reports),
        ]

    def _pick_id(
        self, call: Call, excluded: Collection[TargetId], now: Millis
    ) -> TargetId | None:
        service_id = call.service.service_id
        if self.quarantine.contains(call):
            return self._chooser.pick_for_suspect(
                service_id, call.digest, excluded=excluded
            )
        forbidden = self.crossings.forbidden_targets(
            service_id, call.body_bytes, now=now
        ).union(excluded)
        if call.idempotent:
            checked = self._weights.take_check(service_id, now=now)
            if checked and checked not in forbidden | self._leaving.target_ids:
                return checked
        return self._chooser.pick(service_id, excluded=forbidden, now=now)

    def _apply_fleet_size(self, now: Millis) -> None:
        configuration = self._configuration
        if configuration is None:
            return
        declaration = configuration.declaration
        self._limiter.set_declaration(declaration, fleet=self._fleet)
        subset = subset_of(
            declaration,
            process_name=self._process_name,
            zone_id=self._zone_id,
            fleet=self._fleet,
        )
        self._chooser.set_declaration(
            declaration, self._zone_id, subset=subset, now=now
        )
        self.crossings.set_declaration(
            declaration,
            self._zone_id,
            region_processes=self._region_processes,
            now=now,
        )
        share = settings.WORKSPACE_SHARE_FACTOR / self._fleet.processes
        for workspace_id in declaration.workspaces_by_id:
            self._limiter.set_workspace_share(
                workspace_id, min(1, share), now=now
            )
