"""Builds the request dispatcher of a host and its collaborators."""

import functools
import random

from chicorybridge.common.clocks import Clock
from chicorybridge.common.events import EventLog
from chicorybridge.common.identities import RouteId
from chicorybridge.entry.calls import Call
from chicorybridge.hosts.announcers import Announcer
from chicorybridge.hosts.crash_checks import CrashChecks
from chicorybridge.hosts.dispatchers import HostDispatcher
from chicorybridge.hosts.fleet_admissions import FleetAdmission
from chicorybridge.hosts.fleet_views import FleetView
from chicorybridge.quotas.key_checks import KeyChecks
from chicorybridge.hosts.metrics import HostMetrics
from chicorybridge.hosts.placements import Placements
from chicorybridge.hosts.policies import HostPolicies
from chicorybridge.hosts.reporters import Reporter
from chicorybridge.hosts.request_logs import RequestLog
from chicorybridge.hosts.request_readers import RequestReader
from chicorybridge.hosts.responders import Responder
from chicorybridge.hosts.settings_files import HostSettings
from chicorybridge.hosts.states import HostState
from chicorybridge.http.target_connections import TargetConnections
from chicorybridge.platform.dialects import PLATFORM_DIALECT
from chicorybridge.quotas.permit_builders import build_permits
from chicorybridge.routing.allowances import LONG_AGO, RetryAllowances
from chicorybridge.routing.preferences import PreferredTargets
from chicorybridge.routing.selections import Selector, TargetEstimates


def has_fleet_admission(state: HostState) -> bool:
    """Return whether the configuration calls for admission over the fleet.

    Not if it has no such property.
    """
    return getattr(state.configuration, 'has_fleet_admission', False)


def _answer_bytes(fleet_view: FleetView, route_id: RouteId) -> float:
    """Return the mean size of answers on a route, 0 if it is not to count."""
    if not has_fleet_admission(fleet_view.state):
        return 0
    return fleet_view.zone_sums.inbox.route_costs.answer_bytes(route_id) or 0


def build_dispatcher(
    *,
    host_settings: HostSettings,
    clock: Clock,
    rng: random.Random,
    log: EventLog,
    fleet_view: FleetView,
    connections: TargetConnections,
    metrics: HostMetrics,
    announcer: Announcer,
) -> HostDispatcher:
    """Return the dispatcher; it uses the header names of the platform."""
    prefers_own_targets = functools.partial(
        has_fleet_admission, fleet_view.state
    )
    fleet_view.reputations.rejections_are_collisions = prefers_own_targets
    selector = Selector(
        directory=fleet_view.directory,
        estimates=TargetEstimates(
            reputations=fleet_view.reputations,
            workloads=fleet_view.workloads,
            latencies=fleet_view.results.latencies,
            failure_share=fleet_view.results.failure_shares.of,
        ),
        zone_id=host_settings.zone_id,
        regions_by_zone=host_settings.regions_by_zone,
        rng=rng,
        has_idle_connection=lambda address: connections.idle_count(address) > 0,
        signs=fleet_view.signs,
        is_list_usable=fleet_view.targets.is_usable,
        preferred=PreferredTargets(
            directory=fleet_view.directory,
            host_table=fleet_view.host_table,
            is_serving=lambda: fleet_view.state.ready,
        ),
        prefers_own_targets=prefers_own_targets,
    )
    policies = HostPolicies(
        clock=clock,
        selector=selector,
        allowances=RetryAllowances(
            bound=host_settings.bounds.retries,
            started_at=LONG_AGO if host_settings.bootstrap else clock.now(),
        ),
        host_count=lambda: len(fleet_view.host_table.profiles()) + 1,
        reporter=Reporter(
            clock=clock, fleet_view=fleet_view, announcer=announcer
        ),
        state=fleet_view.state,
        latencies=fleet_view.results.latencies,
        targets=fleet_view.targets,
        answer_bytes=functools.partial(_answer_bytes, fleet_view),
    )
    crash_checks = CrashChecks(
        clock=clock,
        log=log,
        quarantine=fleet_view.quarantine,
        directory=fleet_view.directory,
        answered_since=fleet_view.reputations.answered_since,
        broadcast=announcer.broadcast,
        tell_witnesses=lambda possible: announcer.send_to_hosts(
            possible, fleet_view.suspects.witnesses(possible.digest)
        ),
    )
    permits = build_permits(
        clock=clock,
        rng=rng,
        state=fleet_view.state,
        host_table=fleet_view.host_table,
        is_first_start=host_settings.bootstrap,
    )
    permits.send = announcer.send_to_host
    reader = RequestReader(
        clock=clock,
        state=fleet_view.state,
        dialect=PLATFORM_DIALECT,
        permits=permits,
    )
    return HostDispatcher(
        clock=clock,
        reader=reader,
        permits=permits,
        responder=Responder(
            state=fleet_view.state,
            dialect=PLATFORM_DIALECT,
            request_log=RequestLog(
                log=log,
                state=fleet_view.state,
                dialect=PLATFORM_DIALECT,
                metrics=metrics,
            ),
        ),
        policies=policies,
        connections=connections,
        crash_checks=crash_checks,
        placements=Placements(
            clock=clock,
            rng=rng,
            state=fleet_view.state,
            policies=policies,
            check_call=functools.partial(
                _check_all, crash_checks, reader.key_checks
            ),
            admission=FleetAdmission(clock=clock, fleet_view=fleet_view),
        ),
    )


def _check_all(
    crash_checks: CrashChecks, key_checks: KeyChecks, call: Call
) -> None:
    """Raise `RequestError` if a call must wait no longer."""
    call.body.check_held()
    crash_checks.check(call)
    key_checks.check(call)
