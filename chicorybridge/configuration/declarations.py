"""The declaration: the whole configuration that operators write."""

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
    """Priority of requests: at overload, low is refused first."""

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
    """A region; the bandwidth is that of its link to other regions."""

    region_id: RegionId
    link_bits_per_second: int = settings.LINK_BITS_PER_SECOND


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Service:
    """A service with its ejection settings and limits.

    `floor` is the share of the service's slots that ejections must leave;
    `sensitivity` runs from 0 (fewest false ejections) to 1 (fastest
    detection). `link_share` is the share of the link between regions that
    its requests may use.
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

    `slots` and `connections` are limits of each target for the whole fleet
    together; `speed` is relative to the newest hardware.
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
    """A server that the fleet sends requests to; `address` is IP:PORT."""

    target_id: TargetId
    pool_id: PoolId
    zone_id: ZoneId
    address: str


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TrafficShare:
    """A share of the requests of a route, in proportion to `weight`."""

    service_id: ServiceId
    weight: float


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Route:
    """Requests that go to one service, or to several by weight.

    A route matches paths that start with `prefix` and, if `methods` is not
    empty, only these methods; if `host` is set, only requests to that name.
    The route with the longest prefix wins, then the one that lists methods.
    If `idempotent` is `None`, the method decides. `split`, if not empty,
    takes precedence over `service_id`. `attempts` limits the targets that
    may run one request; an answer within `target_latency_ms` is in time.
    Requests of a route with a lower `rank` are more urgent.
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
class DownloadRoute(Route):
    """A route whose answers are large.

    It has a message type of its own, so that configurations without such
    routes are encoded as before there were any.
    """


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Workspace:
    """A caller organization, given by the Chicorybridge-Workspace header."""

    workspace_id: WorkspaceId
    requests_per_second: int = settings.WORKSPACE_REQUESTS_PER_SECOND


@wire
@dataclasses.dataclass(frozen=True, kw_only=True)
class Declaration:
    """A complete configuration, as tables by id."""

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
        """Return the targets of each service."""
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
        """Return the packed declaration; equal contents give equal bytes."""
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
        """Return the sum of the slots of all targets of a service."""
        return sum(
            self.pool_of(target).slots
            for target in self.targets_by_service[service_id]
        )
