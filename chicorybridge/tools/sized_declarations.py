"""Declarations of a given size, for tests and measurements."""

from chicorybridge.declarations import (
    Declaration,
    Pool,
    Region,
    Route,
    Service,
    Target,
    Workspace,
    Zone,
)
from chicorybridge.identities import (
    PoolId,
    RegionId,
    RouteId,
    ServiceId,
    TargetId,
    WorkspaceId,
    ZoneId,
)

DIGITS = 6


def declared(
    name: str, *, targets: int = 8, routes: int = 2, workspaces: int = 2
) -> Declaration:
    """Return a declaration of one service with tables sorted by id."""
    region_id, zone_id = RegionId('region-0'), ZoneId('zone-0')
    service_id, pool_id = ServiceId('quotes'), PoolId('quotes-new')
    return Declaration(
        name=name,
        regions_by_id={region_id: Region(region_id=region_id)},
        zones_by_id={zone_id: Zone(zone_id=zone_id, region_id=region_id)},
        services_by_id={service_id: Service(service_id=service_id)},
        pools_by_id={pool_id: Pool(pool_id=pool_id, service_id=service_id)},
        targets_by_id={
            target_id: Target(
                target_id=target_id,
                pool_id=pool_id,
                zone_id=zone_id,
                address='127.0.0.1:1',
            )
            for target_id in map(TargetId, _ids('target', targets))
        },
        routes_by_id={
            route_id: Route(
                route_id=route_id,
                service_id=service_id,
                prefix='/quotes',
            )
            for route_id in map(RouteId, _ids('route', routes))
        },
        workspaces_by_id={
            workspace_id: Workspace(workspace_id=workspace_id)
            for workspace_id in map(WorkspaceId, _ids('workspace', workspaces))
        },
    )


def _ids(kind: str, count: int) -> list[str]:
    numbers = (str(number).zfill(DIGITS) for number in range(count))
    return [f'{kind}-{number}' for number in numbers]
