"""The declaration: everything that operators configure, as one whole."""

import dataclasses
import functools
import hashlib
from enum import Enum

from chicorybridge import settings
from chicorybridge.common.codecs import pack, wire
from chicorybridge.common.identities import (
    Digest,
    PoolId,
    RegionId,
    RouteId,
    ServiceId,
    TargetId,
    WorkspaceId,
    ZoneId,
)


@wire
class Priority(Enum):
    """Which requests give way at peak: low before normal before high."""

    low = 'low'
    normal = 'normal'
    high = 'high'


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Zone:
    """An availability zone."""

    zone_id: ZoneId
    region_id: RegionId


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Region:
    """A region and the bandwidth of its link to the others, in bit/s."""

    region_id: RegionId
    link_bits_per_second: int = settings.LINK_BITS_PER_SECOND


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Service:
    """A service with its floor and limits.

    `floor` is the share of the service's slots that ejection leaves;
    `sensitivity` runs from 0 (fewest false ejections) to 1 (fastest
    detection); `link_share` is the share of the link between regions.
    """

    service_id: ServiceId
    floor: float = settings.FLOOR
    sensitivity: float = settings.SENSITIVITY
    timeout_ms: int = settings.TIMEOUT_MS
    retry_share: float = settings.RETRY_SHARE
    max_body_bytes: int = settings.MAX_BODY_BYTES
    link_share: float = settings.LINK_SHARE
    probe_path: str = settings.PROBE_PATH


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Pool:
    """Targets of one service on the same kind of hardware.

    `slots` and `connections` are what each target serves at once for the
    whole fleet; `speed` is relative to the newest hardware.
    """

    pool_id: PoolId
    service_id: ServiceId
    hardware: str = settings.HARDWARE
    speed: float = settings.SPEED
    slots: int = settings.SLOTS
    connections: int = settings.CONNECTIONS
    warm_up_ms: int = settings.WARM_UP_MS


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Target:
    """A server behind the fleet; `address` is IP:PORT."""

    target_id: TargetId
    pool_id: PoolId
    zone_id: ZoneId
    address: str


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TrafficShare:
    """A service that gets requests of a route in proportion to `weight`."""

    service_id: ServiceId
    weight: float


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Route:
    """Requests that go to one service, or to several by weight.

    A route takes the paths that start with `prefix` and, if `methods` is
    not empty, only these methods; with `host` set, only requests to that
    name. The longest prefix wins, then the route that names methods.
    `idempotent` is `None` to go by the method. `split`, if not empty,
    goes before `service_id`. `attempts` bounds the targets that may run
    one request; an answer within `target_latency_ms` is in time. Of two
    requests the one with the lower `rank` is the more urgent.
    """

    route_id: RouteId
    service_id: ServiceId
    prefix: str
    methods: tuple[str, ...] = ()
    idempotent: bool | None = None
    priority: Priority = Priority.normal
    timeout_ms: int | None = None
    host: str = ''
    split: tuple[TrafficShare, ...] = ()
    attempts: int = settings.MAX_ATTEMPTS
    target_latency_ms: int | None = None
    rank: int = 0


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Workspace:
    """A caller organisation, named by the Chicorybridge-Workspace header."""

    workspace_id: WorkspaceId
    requests_per_second: int = settings.WORKSPACE_REQUESTS_PER_SECOND


@wire
@dataclasses.dataclass(frozen=True, kw_only=True)
class Declaration:
    """A whole configuration; tables keyed by id."""

    name: str
    regions_by_id: dict[RegionId, Region]
    zones_by_id: dict[ZoneId, Zone]
    services_by_id: dict[ServiceId, Service]
    pools_by_id: dict[PoolId, Pool]
    targets_by_id: dict[TargetId, Target]
    routes_by_id: dict[RouteId, Route]
    workspaces_by_id: dict[WorkspaceId, Workspace]

    @functools.cached_property
    def targets_by_service(self) -> dict[ServiceId, tuple[Target, ...]]:
        """Group the targets by the service of their pool."""
        grouped: dict[ServiceId, list[Target]] = {
            service_id: [] for service_id in self.services_by_id
        }
        for target in self.targets_by_id.values():
            grouped[self.service_id_of(target)].append(target)
        return {
            service_id: tuple(targets)
            for service_id, targets in grouped.items()
        }

    @functools.cached_property
    def body(self) -> bytes:
        """Return the packed declaration, the same for equal contents."""
        return pack(self)

    @functools.cached_property
    def digest(self) -> Digest:
        """Return the hexadecimal SHA-256 of `body`."""
        return Digest(hashlib.sha256(self.body).hexdigest())

    def pool_of(self, target: Target) -> Pool:
        """Return the pool of `target`."""
        return self.pools_by_id[target.pool_id]

    def service_id_of(self, target: Target) -> ServiceId:
        """Return the service that `target` serves."""
        return self.pool_of(target).service_id

    def region_id_of(self, zone_id: ZoneId) -> RegionId:
        """Return the region of a zone."""
        return self.zones_by_id[zone_id].region_id

    def slots_of(self, service_id: ServiceId) -> int:
        """Return the slots of all targets of a service."""
        return sum(
            self.pool_of(target).slots
            for target in self.targets_by_service[service_id]
        )
