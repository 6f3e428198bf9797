"""Which targets a process uses, and its share of their connections.

Every process works it out alone, from the size of the fleet: it ranks
the targets of a service by a hash of both names and uses the first ones.
So every target is used by a bounded number of processes, whatever the
size of the fleet, and a change of the fleet moves few connections.
"""

import dataclasses
import math
from collections.abc import Iterable

import xxhash

from chicorybridge import settings
from chicorybridge.common.identities import TargetId, ZoneId
from chicorybridge.configuration.declarations import Declaration, Pool, Target


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class FleetSize:
    """Entry processes of the whole fleet and of the zone of this one."""

    processes: int
    zone_processes: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TargetShare:
    """What one process may have at a target at once."""

    in_flight: int
    connections: int


def most_users(pool: Pool) -> int:
    """Return how many processes may use each target of a pool."""
    usable = pool.connections * (1 - settings.CONNECTIONS_RESERVED_SHARE)
    return max(1, int(usable / settings.MIN_CONNECTIONS_PER_PROCESS))


def share_of(pool: Pool, fleet: FleetSize) -> TargetShare:
    """Return the share of one process in each target of a pool."""
    users = min(most_users(pool), max(1, fleet.processes))
    usable = pool.connections * (1 - settings.CONNECTIONS_RESERVED_SHARE)
    connections = max(1, int(usable / users))
    burst = math.ceil(settings.IN_FLIGHT_BURST_FACTOR * pool.slots / users)
    in_flight = max(settings.MIN_IN_FLIGHT, burst)
    return TargetShare(
        in_flight=min(in_flight, connections), connections=connections
    )


def window_of(slots: int, fleet: FleetSize) -> float:
    """Return the requests that one process may have at a whole service.

    Callers are spread unevenly, so each may have a multiple of its part.
    """
    burst = settings.IN_FLIGHT_BURST_FACTOR * slots / max(1, fleet.processes)
    return max(settings.MIN_IN_FLIGHT, burst)


def subset_of(
    declaration: Declaration,
    *,
    process_name: str,
    zone_id: ZoneId,
    fleet: FleetSize,
) -> frozenset[TargetId]:
    """Return the targets that the process in `zone_id` uses."""
    chosen: set[TargetId] = set()
    for targets in declaration.targets_by_service.values():
        near = [target for target in targets if target.zone_id == zone_id]
        far = [target for target in targets if target.zone_id != zone_id]
        chosen.update(_first(declaration, near, process_name, fleet, 0))
        chosen.update(_first(declaration, far, process_name, fleet, 1))
    return frozenset(chosen)


def _first(
    declaration: Declaration,
    targets: list[Target],
    process_name: str,
    fleet: FleetSize,
    far: int,
) -> Iterable[TargetId]:
    if not targets:
        return ()
    share = _used_share(declaration.pool_of(targets[0]), fleet, far)
    count = math.ceil(len(targets) * share)
    ranked = sorted(
        (target.target_id for target in targets),
        key=lambda target_id: xxhash.xxh3_64_intdigest(
            f'{process_name} {target_id}'.encode()
        ),
    )
    return ranked[:count]


def _used_share(pool: Pool, fleet: FleetSize, far: int) -> float:
    users = most_users(pool)
    if fleet.processes <= users:
        return 1
    near_users = users * settings.SUBSET_OWN_ZONE_SHARE
    if far:
        far_processes = max(1, fleet.processes - fleet.zone_processes)
        return min(1, (users - near_users) / far_processes)
    return min(1, near_users / max(1, fleet.zone_processes))
