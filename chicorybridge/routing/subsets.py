"""Subset of targets that a process uses, and its share of their limits.

Each process computes its subset without messages to others, from its name
and zone, the declaration and the size of the fleet: it ranks the targets of
a service by rendezvous hashing and uses the first ones. The number of
processes that use a target is therefore bounded for any fleet size, and a
change in size moves few connections.
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
    """Number of entry processes in the fleet and in the own zone."""

    processes: int
    zone_processes: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TargetShare:
    """Limits on the requests and connections of one process at a target."""

    in_flight: int
    connections: int


def max_users(pool: Pool) -> int:
    """Return how many processes may use each target of a pool."""
    usable = pool.connections * (1 - settings.CONNECTIONS_RESERVED_SHARE)
    return max(1, int(usable / settings.MIN_CONNECTIONS_PER_PROCESS))


def target_share(pool: Pool, fleet: FleetSize) -> TargetShare:
    """Return the limits of one process at each target of a pool."""
    users = min(max_users(pool), max(1, fleet.processes))
    usable = pool.connections * (1 - settings.CONNECTIONS_RESERVED_SHARE)
    connections = max(1, int(usable / users))
    burst = math.ceil(settings.IN_FLIGHT_BURST_FACTOR * pool.slots / users)
    in_flight = max(settings.MIN_IN_FLIGHT, burst)
    return TargetShare(
        in_flight=min(in_flight, connections), connections=connections
    )


def in_flight_window(slots: int, fleet: FleetSize) -> float:
    """Return how many requests one process may have in flight at a service.

    Callers are distributed unevenly over processes, so the window is a
    multiple of an equal share of `slots`, the slots of the service.
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
    """Return the targets that a process in `zone_id` uses."""
    subset: set[TargetId] = set()
    for targets in declaration.targets_by_service.values():
        in_zone = [target for target in targets if target.zone_id == zone_id]
        other_zones = [
            target for target in targets if target.zone_id != zone_id
        ]
        subset.update(_select(declaration, in_zone, process_name, fleet, 0))
        subset.update(_select(declaration, other_zones, process_name, fleet, 1))
    return frozenset(subset)


def _select(
    declaration: Declaration,
    targets: list[Target],
    process_name: str,
    fleet: FleetSize,
    in_other_zones: int,
) -> Iterable[TargetId]:
    if not targets:
        return ()
    share = _used_share(declaration.pool_of(targets[0]), fleet, in_other_zones)
    count = math.ceil(len(targets) * share)
    ranked = sorted(
        (target.target_id for target in targets),
        key=lambda target_id: xxhash.xxh3_64_intdigest(
            f'{process_name} {target_id}'.encode()
        ),
    )
    return ranked[:count]


def _used_share(pool: Pool, fleet: FleetSize, in_other_zones: int) -> float:
    users = max_users(pool)
    if fleet.processes <= users:
        return 1
    in_zone_users = users * settings.SUBSET_OWN_ZONE_SHARE
    if in_other_zones:
        other_processes = max(1, fleet.processes - fleet.zone_processes)
        return min(1, (users - in_zone_users) / other_processes)
    return min(1, in_zone_users / max(1, fleet.zone_processes))
