"""Finding the route of a request."""

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

# The host that requests name and the prefix of their path.
Place: TypeAlias = tuple[str, str]

IDEMPOTENT_HEADER = b'chicorybridge-idempotent'
IDEMPOTENCY_KEY_HEADER = b'idempotency-key'


class RouteTable:
    """Routes by prefix; a lookup costs the depth of the path."""

    def __init__(self, *, declaration: Declaration) -> None:
        """Index the routes of `declaration`."""
        self._routes_by_place: dict[Place, list[Route]] = {}
        for route in declaration.routes_by_id.values():
            place = (route.host, route.prefix.rstrip('/'))
            self._routes_by_place.setdefault(place, []).append(route)
        for routes in self._routes_by_place.values():
            routes.sort(key=_precedence)

    def find(self, *, method: str, path: str, host: str = '') -> Route | None:
        """Return the route with the longest prefix, `None` without one.

        Prefixes end at a slash: /quotes takes /quotes/7, not /quotes7.
        Routes without a host are not found for a request with one.
        """
        path = path.partition('?')[0]
        prefix = path.rstrip('/')
        while True:
            route = self._match((host, prefix), method, path)
            if route or not prefix:
                return route
            prefix = prefix.rpartition('/')[0]

    def _match(self, place: Place, method: str, path: str) -> Route | None:
        for route in self._routes_by_place.get(place, ()):
            if not path.startswith(route.prefix):
                # A prefix with a slash at its end takes what is below it.
                continue
            if not route.methods or method in route.methods:
                return route
        return None


def is_idempotent(route: Route, *, method: str, header: bytes | None) -> bool:
    """Return whether a request may run more than once.

    `header` is the value of the Chicorybridge-Idempotent header: `no` makes
    any request non-idempotent; nothing makes a marked route idempotent.
    """
    if header is not None and header.strip().lower() == b'no':
        return False
    if route.idempotent is not None:
        return route.idempotent
    return method in IDEMPOTENT_METHODS


def _precedence(route: Route) -> tuple[bool, RouteId]:
    # Routes that name methods come before those that take any.
    return (not route.methods, route.route_id)
