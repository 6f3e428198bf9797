"""The configuration that governs a host on the platform."""

import dataclasses
import functools

from chicorybridge.common.codecs import wire
from chicorybridge.common.identities import Version
from chicorybridge.configuration.declarations import Declaration
from chicorybridge.http.caller_limits import CallerLimits
from chicorybridge.routing.routes import RouteTable


@wire
@dataclasses.dataclass(frozen=True, kw_only=True)
class HostConfiguration:
    """A version of the operator's configuration."""

    version: Version
    declaration: Declaration
    limits: CallerLimits

    @functools.cached_property
    def routes(self) -> RouteTable:
        """Index the routes."""
        return RouteTable(declaration=self.declaration)
