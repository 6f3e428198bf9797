"""The configuration that processes of package `hosts` serve with.

They read it from the platform's store. Control processes use the package
`configuration` instead.
"""

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
    """One version of the operator's configuration, with caller limits."""

    version: Version
    declaration: Declaration
    limits: CallerLimits

    @functools.cached_property
    def routes(self) -> RouteTable:
        """Return the route table of this version, built on first use."""
        return RouteTable(declaration=self.declaration)
