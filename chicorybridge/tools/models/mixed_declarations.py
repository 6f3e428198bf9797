"""Declarations of one service on mixed hardware, for simulated runs."""

from chicorybridge.common.identities import (
    PoolId,
    RegionId,
    RouteId,
    ServiceId,
    TargetId,
    ZoneId,
)
from chicorybridge.configuration.declarations import (
    Declaration,
    Pool,
    Region,
    Route,
    Service,
    Target,
    Zone,
)

SERVICE_ID = ServiceId('quote')
READ_ROUTE = RouteId('read')
UPLOAD_ROUTE = RouteId('upload')
ZONES = (
    ZoneId('groningen'),
    ZoneId('leeuwarden'),
    ZoneId('eindhoven'),
    ZoneId('maastricht'),
)
NEW_POOL = PoolId('new')
OLD_POOL = PoolId('old')
# Relative speed of old hardware; one of `OLD_EVERY` targets has it.
OLD_SPEED = 0.5
OLD_EVERY = 3


def declare(
    *,
    targets: int,
    floor: float = 0.7,
    sensitivity: float = 0.5,
    warm_up_ms: int = 10_000,
    slots: int = 6,
) -> Declaration:
    """Return a declaration of one service in four zones.

    `floor`, `sensitivity`, `slots` and `warm_up_ms` are its settings.
    """
    return Declaration(
        name='simulated',
        regions_by_id={
            region_id: Region(region_id=region_id)
            for region_id in map(region_of, ZONES)
        },
        zones_by_id={
            zone_id: Zone(zone_id=zone_id, region_id=region_of(zone_id))
            for zone_id in ZONES
        },
        services_by_id={
            SERVICE_ID: Service(
                service_id=SERVICE_ID, floor=floor, sensitivity=sensitivity
            )
        },
        pools_by_id={
            pool_id: Pool(
                pool_id=pool_id,
                service_id=SERVICE_ID,
                hardware=pool_id,
                speed=speed,
                slots=slots,
                warm_up_ms=warm_up_ms,
            )
            for pool_id, speed in ((NEW_POOL, 1), (OLD_POOL, OLD_SPEED))
        },
        targets_by_id={
            _target_id(number): _target(number) for number in range(targets)
        },
        routes_by_id={
            route_id: Route(
                route_id=route_id, service_id=SERVICE_ID, prefix='/'
            )
            for route_id in (READ_ROUTE, UPLOAD_ROUTE)
        },
        workspaces_by_id={},
    )


def region_of(zone_id: ZoneId) -> RegionId:
    """Return the region of a zone of `ZONES`."""
    return RegionId('noord' if ZONES.index(zone_id) < 2 else 'zuid')


def numbered_name(kind: str, number: int) -> str:
    """Return a name with a zero-padded number, so that names sort by it."""
    digits = str(number).zfill(2)
    return f'{kind}-{digits}'


def _target_id(number: int) -> TargetId:
    return TargetId(numbered_name('target', number))


def _target(number: int) -> Target:
    pool_id = OLD_POOL if number % OLD_EVERY == 1 else NEW_POOL
    return Target(
        target_id=_target_id(number),
        pool_id=pool_id,
        zone_id=ZONES[number % len(ZONES)],
        address=f'127.0.1.{number}',
    )
