"""Joins the decisions of a host and the dispatcher that asks them."""

import random

from chicorybridge.common.clocks import Clock
from chicorybridge.common.events import EventLog
from chicorybridge.hosts.crash_checks import CrashChecks
from chicorybridge.hosts.dispatchers import HostDispatcher
from chicorybridge.hosts.knowledge import HostKnowledge
from chicorybridge.hosts.metrics import HostMetrics
from chicorybridge.hosts.placements import Placements
from chicorybridge.hosts.policies import HostPolicies
from chicorybridge.hosts.reports import Reporter
from chicorybridge.hosts.request_logs import RequestLog
from chicorybridge.hosts.settings_files import HostSettings
from chicorybridge.hosts.voices import Voice
from chicorybridge.http.connections import TargetConnections
from chicorybridge.platform.dialects import PLATFORM
from chicorybridge.routing.allowances import RetryAllowances
from chicorybridge.routing.selections import Selector


def build_dispatcher(
    *,
    given: HostSettings,
    clock: Clock,
    rng: random.Random,
    log: EventLog,
    knowledge: HostKnowledge,
    connections: TargetConnections,
    metrics: HostMetrics,
    voice: Voice,
) -> HostDispatcher:
    """Return the dispatcher of a host that speaks the platform's dialect."""
    selector = Selector(
        directory=knowledge.directory,
        reputations=knowledge.reputations,
        workloads=knowledge.workloads,
        zone_id=given.zone_id,
        regions_by_zone=given.regions_by_zone,
        rng=rng,
        has_idle_connection=lambda address: connections.idle_at(address) > 0,
    )
    policies = HostPolicies(
        clock=clock,
        selector=selector,
        allowances=RetryAllowances(bound=given.bounds.retries),
        hosts=lambda: len(knowledge.sightings.profiles()) + 1,
        reporter=Reporter(clock=clock, knowledge=knowledge, voice=voice),
        state=knowledge.state,
    )
    return HostDispatcher(
        clock=clock,
        state=knowledge.state,
        dialect=PLATFORM,
        policies=policies,
        connections=connections,
        request_log=RequestLog(
            log=log,
            state=knowledge.state,
            dialect=PLATFORM,
            metrics=metrics,
        ),
        crashes=CrashChecks(
            clock=clock,
            log=log,
            quarantine=knowledge.quarantine,
            tell=voice.tell_all,
        ),
        placements=Placements(
            clock=clock, rng=rng, state=knowledge.state, policies=policies
        ),
    )
