"""The configuration that governs a host on the platform."""

import dataclasses
import functools

from chicorybridge.caller_limits import CallerLimits
from chicorybridge.codecs import wire
from chicorybridge.declarations import Declaration
from chicorybridge.identities import Version
from chicorybridge.routes import RouteTable


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
