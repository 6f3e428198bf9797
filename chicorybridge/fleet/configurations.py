"""The configuration that processes of package `hosts` serve with.

They read it from the platform's store. Control processes use the package
`configuration` instead.
"""

import dataclasses
import functools
from typing import Any

from chicorybridge import settings
from chicorybridge.common.codecs import pack, wire
from chicorybridge.common.identities import RouteId, Version
from chicorybridge.configuration.declarations import (
    Declaration,
    DownloadRoute,
    Route,
)
from chicorybridge.configuration.deltas import apply_delta, make_delta
from chicorybridge.http.caller_limits import CallerLimits
from chicorybridge.quotas.keys import KeyTable
from chicorybridge.routing.routes import RouteTable


@wire
@dataclasses.dataclass(frozen=True, kw_only=True)
class HostConfiguration:
    """One version of the operator's configuration, with caller limits."""

    version: Version
    declaration: Declaration
    limits: CallerLimits

    @functools.cached_property
    def routes(self) -> RouteTable:
        """Return the route table of this version, built on first use."""
        return RouteTable(declaration=self.declaration)

    @functools.cached_property
    def keys(self) -> KeyTable | None:
        """Return the keys of workspaces; `None` if callers need no key."""

    @functools.cached_property
    def has_fleet_admission(self) -> bool:
        """Return whether hosts decide on requests by the queues of others.

        They do with workspaces or download routes.
        """
        if self.keys is not None:
            return True
        routes = self.declaration.routes_by_id.values()
        return any(isinstance(route, DownloadRoute) for route in routes)

    def is_public(self, route: Route | None) -> bool:
        """Return whether requests of a route need no key."""
        return True


@wire
@dataclasses.dataclass(frozen=True, kw_only=True)
class KeyedConfiguration(HostConfiguration):
    """A configuration whose callers need keys of workspaces.

    It is another message than `HostConfiguration`, whose encoded form hosts
    of earlier builds must be able to decode. The rows of `workspaces_by_id`
    are described in `quotas.keys`; `table` indexes them, if that was done.
    """

    workspaces_by_id: dict[str, Any]
    public_routes: tuple[RouteId, ...] = ()
    table: dataclasses.InitVar[KeyTable | None] = None

    def __post_init__(self, table: KeyTable | None) -> None:
        """Raise `ValueError` or `TypeError` if the workspaces are malformed."""
        # The cached property of the base class returns this.
        self.__dict__['keys'] = table or KeyTable(rows=self.workspaces_by_id)

    def is_public(self, route: Route | None) -> bool:
        """Return whether requests of a route need no key."""
        return route is not None and route.route_id in self.public_routes


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ConfigurationDelta:
    """What turns one version of the configuration into another.

    `body` is the packed delta of the declaration.
    """

    base_version: Version
    version: Version
    body: bytes
    limits: CallerLimits


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class KeyedConfigurationDelta:
    """A delta from or to a configuration whose callers need keys.

    `is_keyed` tells whether they need keys after it. Workspaces that are
    neither in `changed` nor in `removed` stay as they are.
    """

    delta: ConfigurationDelta
    is_keyed: bool
    changed: dict[str, Any]
    removed: tuple[str, ...]
    public_routes: tuple[RouteId, ...]

    @property
    def base_version(self) -> Version:
        """Return the version that it is based on."""
        return self.delta.base_version


AnyDelta = ConfigurationDelta | KeyedConfigurationDelta


def diff_configurations(
    before: HostConfiguration, after: HostConfiguration
) -> AnyDelta | None:
    """Return the delta, `None` if it is too large for a datagram."""
    body = make_delta(before.declaration, after.declaration)
    if len(body) > settings.MAX_DELTA_BYTES:
        return None
    delta = ConfigurationDelta(
        base_version=before.version,
        version=after.version,
        body=body,
        limits=after.limits,
    )
    if before.keys is None and after.keys is None:
        return delta
    keyed_delta = _diff_keyed(delta, before, after)
    if len(pack(keyed_delta)) > settings.MAX_DELTA_BYTES:
        return None
    return keyed_delta


def patch_configuration(
    before: HostConfiguration, delta: AnyDelta
) -> HostConfiguration:
    """Return the configuration that `delta` turns `before` into.

    Raise `StreamError` or `ValueError` if the delta is malformed.
    """
    if isinstance(delta, KeyedConfigurationDelta):
        return _patch_keyed(before, delta)
    return HostConfiguration(
        version=delta.version,
        declaration=apply_delta(before.declaration, delta.body),
        limits=delta.limits,
    )


def _patch_keyed(
    before: HostConfiguration, keyed_delta: KeyedConfigurationDelta
) -> HostConfiguration:
    patched = patch_configuration(before, keyed_delta.delta)
    if not keyed_delta.is_keyed:
        return patched
    rows = _rows(before)
    changed = keyed_delta.changed
    removed = keyed_delta.removed
    after = {**rows, **changed}
    for name in removed:
        after.pop(name, None)
    keys = before.keys or KeyTable(rows={})
    # Indexing all rows anew would take many times as long.
    return KeyedConfiguration(
        version=patched.version,
        declaration=patched.declaration,
        limits=patched.limits,
        workspaces_by_id=after,
        public_routes=keyed_delta.public_routes,
        table=keys.patched(rows, changed=changed, removed=removed),
    )


def _diff_keyed(
    delta: ConfigurationDelta,
    before: HostConfiguration,
    after: HostConfiguration,
) -> KeyedConfigurationDelta:
    rows_before = _rows(before)
    rows_after = _rows(after)
    public_routes: tuple[RouteId, ...] = ()
    if isinstance(after, KeyedConfiguration):
        public_routes = after.public_routes
    return KeyedConfigurationDelta(
        delta=delta,
        is_keyed=after.keys is not None,
        changed={
            name: row
            for name, row in rows_after.items()
            if rows_before.get(name) != row
        },
        removed=tuple(rows_before.keys() - rows_after.keys()),
        public_routes=public_routes,
    )


def _rows(configuration: HostConfiguration) -> dict[str, Any]:
    if isinstance(configuration, KeyedConfiguration):
        return configuration.workspaces_by_id
    return {}
