"""Workspaces in the operator's configuration.

The platform calls workspaces tenants. Texts of errors are logged, so none of
them contains a key.
"""

from collections.abc import Mapping, Sequence
from typing import Any

from chicorybridge.common.identities import RouteId
from chicorybridge.platform.fields import MAX_COUNT, number_field, text_field
from chicorybridge.quotas.keys import WorkspaceRow, digest_of


def decode_workspaces(tenants: Any) -> dict[str, WorkspaceRow]:
    """Return the rows of all workspaces by name.

    Raise `ValueError`, `TypeError` or `KeyError` if one is malformed.
    """
    if not isinstance(tenants, list):
        raise TypeError('tenants is not a list')
    rows_by_name: dict[str, WorkspaceRow] = {}
    for fields in tenants:
        name = _decode_name(fields)
        if name in rows_by_name:
            raise ValueError(f'two tenants have the name {name!r}')
        rows_by_name[name] = _decode_row(fields)
    return dict(sorted(rows_by_name.items()))


def decode_public_routes(
    routes: Sequence[Mapping[str, Any]],
) -> tuple[RouteId, ...]:
    """Return the routes that need no key; raise `TypeError` if malformed."""
    public_routes = []
    for fields in routes:
        is_public = fields.get('public')
        if not isinstance(is_public, bool | None):
            raise TypeError('public is neither true nor false')
        if is_public:
            public_routes.append(RouteId(text_field(fields, 'name')))
    return tuple(sorted(public_routes))


def _decode_name(fields: Mapping[str, Any]) -> str:
    name = text_field(fields, 'name')
    # It is sent to targets in a header.
    if not name.isprintable() or name != name.strip():
        raise ValueError(f'name {name!r} can not be sent in a header')
    return name


def _decode_row(fields: Mapping[str, Any]) -> WorkspaceRow:
    keys = fields['api_keys']
    if not isinstance(keys, list):
        raise TypeError('api_keys is not a list')
    if not all(isinstance(key, str) and key for key in keys):
        raise TypeError('a key is empty or not text')
    return (
        b''.join(sorted(_digest(key) for key in keys)),
        _priority(fields),
        _limit(fields, 'rate_per_s'),
        _limit(fields, 'burst'),
    )


def _digest(key: str) -> bytes:
    try:
        return digest_of(key.encode())
    except UnicodeEncodeError:
        # Its text would contain the key.
        raise ValueError('a key can not be encoded') from None


def _priority(fields: Mapping[str, Any]) -> int | None:
    priority = fields.get('priority')
    if priority is None:
        return None
    if isinstance(priority, bool) or not isinstance(priority, int):
        raise TypeError('priority is not an integer')
    if abs(priority) > MAX_COUNT:
        raise ValueError('priority is above 2**53')
    return priority


def _limit(fields: Mapping[str, Any], name: str) -> float:
    if fields.get(name) is None:
        return 0
    limit = number_field(fields, name)
    if not 0 <= limit <= MAX_COUNT:
        raise ValueError(f'{name} is negative or above 2**53')
    return limit
