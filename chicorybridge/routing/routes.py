"""Lookup of the route of a request."""

from typing import TypeAlias

from chicorybridge.common.identities import RouteId
from chicorybridge.configuration.declarations import Declaration, Route

IDEMPOTENT_METHODS = frozenset(
    (
        'GET',
        'HEAD',
        'PUT',
        'DELETE',
        'OPTIONS',
        'TRACE',
    )
)

# Requested host, and path prefix without a trailing slash.
RouteKey: TypeAlias = tuple[str, str]

IDEMPOTENT_HEADER = b'chicorybridge-idempotent'
IDEMPOTENCY_KEY_HEADER = b'idempotency-key'


class RouteTable:
    """Routes by path prefix; a lookup takes one step per path segment."""

    def __init__(self, *, declaration: Declaration) -> None:
        """Index the routes of `declaration`."""
        self._routes_by_key: dict[RouteKey, list[Route]] = {}
        for route in declaration.routes_by_id.values():
            key = (route.host, route.prefix.rstrip('/'))
            self._routes_by_key.setdefault(key, []).append(route)
        for routes in self._routes_by_key.values():
            routes.sort(key=_precedence)

    def find(self, *, method: str, path: str, host: str = '') -> Route | None:
        """Return the route with the longest matching prefix, or `None`.

        Prefixes match whole path segments: /quotes matches /quotes/7, but
        not /quotes7. `host` must equal the host of the route; routes
        without a host only match if it is empty.
        """
        path = path.partition('?')[0]
        prefix = path.rstrip('/')
        while True:
            route = self._match((host, prefix), method, path)
            if route or not prefix:
                return route
            prefix = prefix.rpartition('/')[0]

    def _match(self, key: RouteKey, method: str, path: str) -> Route | None:
        for route in self._routes_by_key.get(key, ()):
            if not path.startswith(route.prefix):
                # A prefix with a trailing slash matches only what is below it.
                continue
            if not route.methods or method in route.methods:
                return route
        return None


def is_idempotent(route: Route, *, method: str, header: bytes | None) -> bool:
    """Return whether a request may run more than once.

    `header` is the value of the Chicorybridge-Idempotent header: `no` makes
    any request non-idempotent. Other values have no effect: the declaration
    of the route decides, or else the method.
    """
    if header is not None and header.strip().lower() == b'no':
        return False
    if route.idempotent is not None:
        return route.idempotent
    return method in IDEMPOTENT_METHODS


def _precedence(route: Route) -> tuple[bool, RouteId]:
    # Routes with declared methods come before those that match any method.
    return (not route.methods, route.route_id)
