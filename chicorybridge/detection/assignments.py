"""Assignment of each target to the host that evaluates it."""

from collections.abc import Iterable

import xxhash

from chicorybridge.common.identities import HostId, ServiceId, TargetId
from chicorybridge.configuration.declarations import Declaration, Pool, Service
from chicorybridge.detection.thresholds import Thresholds, thresholds_of


def evaluator_of(target_id: TargetId, host_ids: Iterable[HostId]) -> HostId:
    """Return the host that evaluates a target, by rendezvous hashing."""
    return max(
        host_ids,
        key=lambda host_id: xxhash.xxh3_64_intdigest(
            f'{host_id} {target_id}'.encode()
        ),
    )


class Assignments:
    """Evaluating host, pool and thresholds of each target."""

    def __init__(self, *, host_id: HostId) -> None:
        """Start with this host as the only one, and no targets."""
        self.hosts: tuple[HostId, ...] = (host_id,)
        self.evaluators_by_id: dict[TargetId, HostId] = {}
        self.pools_by_target: dict[TargetId, Pool] = {}
        self._host_id = host_id
        self._services_by_id: dict[ServiceId, Service] = {}

    def configure(self, declaration: Declaration) -> None:
        """Set the targets and services of a configuration."""
        self._services_by_id = declaration.services_by_id
        self.pools_by_target = {
            target_id: declaration.pool_of(target)
            for target_id, target in declaration.targets_by_id.items()
        }
        self._assign()

    def update_hosts(self, host_ids: Iterable[HostId]) -> None:
        """Set the live hosts; this host is always included."""
        self.hosts = tuple(sorted({self._host_id, *host_ids}))
        self._assign()

    def is_assigned_here(self, target_id: TargetId) -> bool:
        """Return whether this host evaluates a target."""
        return self.evaluators_by_id.get(target_id) == self._host_id

    def thresholds_of(self, target_id: TargetId) -> Thresholds:
        """Return the thresholds for a verdict on a target."""
        service_id = self.pools_by_target[target_id].service_id
        return thresholds_of(self._services_by_id[service_id].sensitivity)

    def reserved_slots(self) -> dict[ServiceId, int]:
        """Return by service the slots of the largest target assigned here.

        A host keeps permits for that many slots in reserve, so that it can
        eject one target at once.
        """
        reserved = dict.fromkeys(self._services_by_id, 0)
        for target_id, pool in self.pools_by_target.items():
            if self.is_assigned_here(target_id):
                slots = max(pool.slots, reserved[pool.service_id])
                reserved[pool.service_id] = slots
        return reserved

    def _assign(self) -> None:
        self.evaluators_by_id = {
            target_id: evaluator_of(target_id, self.hosts)
            for target_id in self.pools_by_target
        }
