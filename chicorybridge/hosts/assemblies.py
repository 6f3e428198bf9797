"""Joins the decisions of a host and the dispatcher that asks them."""

import random

from chicorybridge.common.clocks import Clock
from chicorybridge.common.events import EventLog
from chicorybridge.hosts.dispatchers import HostDispatcher
from chicorybridge.hosts.knowledge import HostKnowledge
from chicorybridge.hosts.metrics import HostMetrics
from chicorybridge.hosts.policies import HostPolicies, Report
from chicorybridge.hosts.request_logs import RequestLog
from chicorybridge.hosts.settings_files import HostSettings
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
    report: Report,
    metrics: HostMetrics,
) -> HostDispatcher:
    """Return the dispatcher of a host that speaks the platform's dialect."""
    selector = Selector(
        directory=knowledge.directory,
        reputations=knowledge.reputations,
        zone_id=given.zone_id,
        regions_by_zone=given.regions_by_zone,
        rng=rng,
    )
    policies = HostPolicies(
        clock=clock,
        selector=selector,
        allowances=RetryAllowances(bound=given.bounds.retries),
        hosts=lambda: len(knowledge.sightings.profiles()) + 1,
        report=report,
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
    )
