"""The configuration that processes of package `hosts` serve with.

They read it from the platform's store. Control processes use the package
`configuration` instead.
"""

import dataclasses
import functools

from chicorybridge import settings
from chicorybridge.common.codecs import wire
from chicorybridge.common.identities import Version
from chicorybridge.configuration.declarations import Declaration, DownloadRoute
from chicorybridge.configuration.deltas import apply_delta, make_delta
from chicorybridge.http.caller_limits import CallerLimits
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
    def has_fleet_admission(self) -> bool:
        """Return whether hosts decide on requests by the queues of others.

        They do with workspaces or download routes.
        """
        if self.declaration.workspaces_by_id:
            return True
        routes = self.declaration.routes_by_id.values()
        return any(isinstance(route, DownloadRoute) for route in routes)


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


def diff_configurations(
    before: HostConfiguration, after: HostConfiguration
) -> ConfigurationDelta | None:
    """Return the delta, `None` if it is too large for a datagram."""
    body = make_delta(before.declaration, after.declaration)
    if len(body) > settings.MAX_DELTA_BYTES:
        return None
    return ConfigurationDelta(
        base_version=before.version,
        version=after.version,
        body=body,
        limits=after.limits,
    )


def patch_configuration(
    before: HostConfiguration, delta: ConfigurationDelta
) -> HostConfiguration:
    """Return the configuration that `delta` turns `before` into.

    Raise `StreamError` if the delta is malformed.
    """
    return HostConfiguration(
        version=delta.version,
        declaration=apply_delta(before.declaration, delta.body),
        limits=delta.limits,
    )
