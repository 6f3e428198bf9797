"""Small declarations for tests and measurements."""

import dataclasses

from chicorybridge.common.identities import (
    PoolId,
    RegionId,
    RouteId,
    ServiceId,
    TargetId,
    WorkspaceId,
    ZoneId,
)
from chicorybridge.configuration.declarations import (
    Declaration,
    Pool,
    Region,
    Route,
    Service,
    Target,
    Workspace,
    Zone,
)

# Four zones in two regions, as each of the first two users has.
ZONES = ('north-1', 'north-2', 'south-1', 'south-2')


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ServiceShape:
    """A service with `targets` targets, assigned to `zones` round robin.

    In each zone, one of `old_every` targets is old hardware of half the
    speed; 0 means none. `slots` and `connections` are limits per target.
    """

    name: str = 'quotes'
    targets: int = 8
    old_every: int = 0
    zones: tuple[str, ...] = ZONES
    slots: int = 6
    connections: int = 400


def declare(
    *shapes: ServiceShape, workspaces: tuple[Workspace, ...] = ()
) -> Declaration:
    """Return a declaration of services, each with one route of its name."""
    pools = [pool for shape in shapes for pool in _pools(shape)]
    targets = [target for shape in shapes for target in _targets(shape)]
    routes = [_route(shape) for shape in shapes]
    services = [Service(service_id=ServiceId(shape.name)) for shape in shapes]
    zones = [_zone(name) for name in _zone_names(shapes)]
    regions = {zone.region_id: _region(zone) for zone in zones}
    return Declaration(
        name='sample',
        regions_by_id=regions,
        zones_by_id={zone.zone_id: zone for zone in zones},
        services_by_id={service.service_id: service for service in services},
        pools_by_id={pool.pool_id: pool for pool in pools},
        targets_by_id={target.target_id: target for target in targets},
        routes_by_id={route.route_id: route for route in routes},
        workspaces_by_id={
            workspace.workspace_id: workspace for workspace in workspaces
        },
    )


def sample_workspace(name: str, *, requests_per_second: int) -> Workspace:
    """Return a workspace with a limit of requests per second."""
    return Workspace(
        workspace_id=WorkspaceId(name), requests_per_second=requests_per_second
    )


def _zone_names(shapes: tuple[ServiceShape, ...]) -> list[str]:
    return sorted({name for shape in shapes for name in shape.zones})


def _zone(name: str) -> Zone:
    region_id = RegionId(name.partition('-')[0])
    return Zone(zone_id=ZoneId(name), region_id=region_id)


def _region(zone: Zone) -> Region:
    return Region(region_id=zone.region_id)


def _route(shape: ServiceShape) -> Route:
    return Route(
        route_id=RouteId(shape.name),
        service_id=ServiceId(shape.name),
        prefix=f'/{shape.name}',
    )


def _pools(shape: ServiceShape) -> tuple[Pool, ...]:
    return tuple(
        Pool(
            pool_id=PoolId(f'{shape.name}-{hardware}'),
            service_id=ServiceId(shape.name),
            hardware=hardware,
            speed=speed,
            slots=shape.slots,
            connections=shape.connections,
        )
        for hardware, speed in (('new', 1.0), ('old', 0.5))
    )


def _targets(shape: ServiceShape) -> tuple[Target, ...]:
    return tuple(_target(shape, number) for number in range(shape.targets))


def _target(shape: ServiceShape, number: int) -> Target:
    hardware = _hardware(shape, number)
    port = number + 1
    return Target(
        target_id=TargetId(f'{shape.name}-{number}'),
        pool_id=PoolId(f'{shape.name}-{hardware}'),
        zone_id=ZoneId(shape.zones[number % len(shape.zones)]),
        address=f'127.0.0.1:{port}',
    )


def _hardware(shape: ServiceShape, number: int) -> str:
    if not shape.old_every:
        return 'new'
    # Offset by the zone, so that each zone has new and old hardware.
    index_in_zone, zone = divmod(number, len(shape.zones))
    return 'old' if (index_in_zone + zone) % shape.old_every == 0 else 'new'
