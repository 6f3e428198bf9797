"""Results of requests at targets, on this host and on others."""

import dataclasses

from chicorybridge.common.clocks import Millis
from chicorybridge.fleet.directories import TargetDirectory
from chicorybridge.routing.failure_shares import FailureShares
from chicorybridge.routing.reputations import (
    ReputationTable,
    Sign,
    TargetSeen,
)
from chicorybridge.routing.service_latencies import LatencyTable
from chicorybridge.routing.workloads import WorkloadTable


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TargetResults:
    """Update reputations, latencies and reports with results of requests."""

    directory: TargetDirectory
    reputations: ReputationTable
    latencies: LatencyTable
    workloads: WorkloadTable
    failure_shares: FailureShares = dataclasses.field(
        default_factory=FailureShares
    )

    def record_own(self, seen: TargetSeen, *, now: Millis) -> None:
        """Record the result of an attempt of this host."""
        self.reputations.record_own(seen, now=now)
        self._record_outcome(seen, now)
        if seen.sign is Sign.answered:
            self.workloads.zone_results.append(seen)

    def record_of_zone(self, seen: TargetSeen, *, now: Millis) -> None:
        """Record the result of an attempt of another host of the zone."""
        self.record_remote(seen, now=now)
        if seen.sign is Sign.answered:
            self.workloads.zone_results.append(seen)

    def record_remote(self, seen: TargetSeen, *, now: Millis) -> None:
        """Record the result of an attempt of a host of any zone."""
        self.reputations.record_remote(seen, now=now)
        self._record_outcome(seen, now)

    def _record_outcome(self, seen: TargetSeen, now: Millis) -> None:
        entry = self.directory.entries_by_id.get(seen.target_id)
        if entry is None:
            return
        self.failure_shares.record(entry.service_id, seen.sign, now=now)
        if seen.sign is not Sign.answered:
            return
        self.latencies.of(entry.service_id).add(seen.latency_ms, now=now)
