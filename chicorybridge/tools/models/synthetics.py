"""Synthetic declarations of any size, up to the one due in two years."""

import dataclasses
import pathlib
from collections.abc import Iterator

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

# Targets have loopback addresses; nothing connects to them.
PORTS_PER_ADDRESS = 50_000
FIRST_PORT = 10_000

NAME_DIGITS = 5


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Sizes:
    """Numbers of declared objects; the defaults are the design size."""

    regions: int = 3
    zones: int = 6
    services: int = 290
    targets: int = 16_000
    routes: int = 14_000
    workspaces: int = 34_000

    def scaled(self, share: float) -> 'Sizes':
        """Return `share` of all numbers, with default regions and zones."""
        return Sizes(
            services=max(1, round(self.services * share)),
            targets=max(1, round(self.targets * share)),
            routes=max(1, round(self.routes * share)),
            workspaces=max(1, round(self.workspaces * share)),
        )


def make_declaration(sizes: Sizes, *, name: str = 'synthetic') -> Declaration:
    """Return a declaration with as many objects as `sizes` gives."""
    regions = [_region(number) for number in range(sizes.regions)]
    zones = [_zone(number, sizes) for number in range(sizes.zones)]
    services = [_service(number) for number in range(sizes.services)]
    pools = [_pool(number) for number in range(sizes.services)]
    targets = [_target(number, sizes) for number in range(sizes.targets)]
    routes = [_route(number, sizes) for number in range(sizes.routes)]
    workspaces = [_workspace(number) for number in range(sizes.workspaces)]
    return Declaration(
        name=name,
        regions_by_id={region.region_id: region for region in regions},
        zones_by_id={zone.zone_id: zone for zone in zones},
        services_by_id={service.service_id: service for service in services},
        pools_by_id={pool.pool_id: pool for pool in pools},
        targets_by_id={target.target_id: target for target in targets},
        routes_by_id={route.route_id: route for route in routes},
        workspaces_by_id={
            workspace.workspace_id: workspace for workspace in workspaces
        },
    )


def make_small_declaration(
    name: str, *, targets: int = 8, routes: int = 2, workspaces: int = 2
) -> Declaration:
    """Return a declaration of one service in one zone."""
    sizes = Sizes(
        regions=1,
        zones=1,
        services=1,
        targets=targets,
        routes=routes,
        workspaces=workspaces,
    )
    return make_declaration(sizes, name=name)


def write_declaration(sizes: Sizes, path: pathlib.Path) -> None:
    """Write the declaration of `make_declaration` as an INI file."""
    path.write_text('\n'.join(_lines(make_declaration(sizes))))


def _lines(declaration: Declaration) -> Iterator[str]:
    yield _section('declaration', declaration.name)
    for region_id in declaration.regions_by_id:
        yield _section('region', region_id)
    for zone in declaration.zones_by_id.values():
        yield _section('zone', zone.zone_id, region=zone.region_id)
    for service_id in declaration.services_by_id:
        yield _section('service', service_id)
    for pool in declaration.pools_by_id.values():
        yield _section('pool', pool.pool_id, service=pool.service_id)
    for target in declaration.targets_by_id.values():
        yield _section(
            'target',
            target.target_id,
            pool=target.pool_id,
            zone=target.zone_id,
            address=target.address,
        )
    for route in declaration.routes_by_id.values():
        yield _section(
            'route',
            route.route_id,
            service=route.service_id,
            prefix=route.prefix,
        )
    for workspace_id in declaration.workspaces_by_id:
        yield _section('workspace', workspace_id)


def _section(kind: str, name: str, **texts_by_key: str) -> str:
    keys = [f'{key} = {text}' for key, text in texts_by_key.items()]
    return '\n'.join([f'[{kind} {name}]', *keys, ''])


def _name(kind: str, number: int) -> str:
    # Zero-padded, so that operators' tables sort the IDs by number.
    digits = str(number).zfill(NAME_DIGITS)
    return f'{kind}-{digits}'


def _region(number: int) -> Region:
    return Region(region_id=RegionId(_name('region', number)))


def _zone(number: int, sizes: Sizes) -> Zone:
    region_id = RegionId(_name('region', number % sizes.regions))
    return Zone(zone_id=ZoneId(_name('zone', number)), region_id=region_id)


def _service(number: int) -> Service:
    return Service(service_id=ServiceId(_name('service', number)))


def _pool(number: int) -> Pool:
    return Pool(
        pool_id=PoolId(_name('pool', number)),
        service_id=ServiceId(_name('service', number)),
    )


def _target(number: int, sizes: Sizes) -> Target:
    address_number, port = divmod(number, PORTS_PER_ADDRESS)
    port += FIRST_PORT
    return Target(
        target_id=TargetId(_name('target', number)),
        pool_id=PoolId(_name('pool', number % sizes.services)),
        zone_id=ZoneId(_name('zone', number % sizes.zones)),
        address=f'127.9.0.{address_number}:{port}',
    )


def _route(number: int, sizes: Sizes) -> Route:
    service_id = ServiceId(_name('service', number % sizes.services))
    return Route(
        route_id=RouteId(_name('route', number)),
        service_id=service_id,
        prefix=f'/{service_id}/{number}',
    )


def _workspace(number: int) -> Workspace:
    return Workspace(workspace_id=WorkspaceId(_name('workspace', number)))
