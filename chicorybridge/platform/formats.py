"""Rows, configurations and entries of servers as the platform writes them."""

import base64
import binascii
import dataclasses
import json
from collections.abc import Iterable, Mapping
from typing import Any

from chicorybridge.common.addresses import parse_address
from chicorybridge.common.clocks import MILLIS_PER_SECOND
from chicorybridge.common.errors import ChicorybridgeError, ErrorCode
from chicorybridge.common.identities import (
    RouteId,
    ServiceId,
    TargetId,
    Version,
    ZoneId,
)
from chicorybridge.configuration.declarations import (
    Declaration,
    Route,
    Service,
    TrafficShare,
)
from chicorybridge.fleet.configurations import HostConfiguration
from chicorybridge.fleet.directories import TargetEntry
from chicorybridge.http.caller_limits import CallerLimits

IDEMPOTENT = 'idempotent'
DRAINING = 'draining'
READY = 'ready'
VERSION_BASE = 16

# What the decoding of a body of the wrong shape raises.
MALFORMED = (
    ValueError,
    TypeError,
    KeyError,
    AttributeError,
    OverflowError,
    RecursionError,
)

# Whole numbers up to this one are exact in any JSON, and fit in a datagram.
COUNT_MOST = 9_007_199_254_740_992


class FormatError(ChicorybridgeError):
    """Report a row or a body that can't be read."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StoredRow:
    """A row of the store; `body` is `None` once it was removed.

    `version` counts the transactions of the whole store.
    """

    key: str
    version: int
    body: bytes | None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StoredRows:
    """Rows of a table; `version` is the newest of the store then."""

    rows: tuple[StoredRow, ...]
    version: int
    more: bool = False


def decode_rows(body: bytes) -> StoredRows:
    """Decode the answer to a read or a feed; raise `FormatError`."""
    try:
        document = json.loads(body)
        return StoredRows(
            rows=tuple(_decode_row(row) for row in document['rows']),
            version=int(document['ver']),
            more=bool(document.get('has_more')),
        )
    except MALFORMED as error:
        raise _unreadable('answer of the store', error) from error


def encode_row(*, table: str, key: str, body: bytes) -> bytes:
    """Encode a transaction that sets one row, whatever it was."""
    row = {
        'table': table,
        'part': '',
        'key': key,
        'value': base64.b64encode(body).decode(),
    }
    document = {'expected': [], 'set_keys': [row], 'remove': []}
    return json.dumps(document).encode()


def decode_target(row: StoredRow) -> TargetEntry:
    """Decode the entry of a server; raise `FormatError`.

    An entry names a server to use only if every field that matters has
    the type and the words that are known here.
    """
    try:
        document = json.loads(row.body or b'')
        entry = TargetEntry(
            target_id=TargetId(row.key),
            row_version=row.version,
            service_id=ServiceId(_text(document, 'service')),
            address=_address(document),
            zone_id=ZoneId(_text(document, 'zone')),
            # The platform's capacity is the number of slots.
            slots=_count(document, 'capacity'),
            leaving=_is_draining(document),
            warming=_number(document, 'warmup_left_s') > 0,
            started_at_ms=_count(document, 'born'),
        )
    except MALFORMED as error:
        raise _unreadable(f'entry of {row.key}', error) from error
    return entry


def decode_configuration(body: bytes) -> HostConfiguration:
    """Decode the operator's configuration; raise `FormatError`."""
    try:
        document = json.loads(body)
        return _decode_configuration(document)
    except MALFORMED as error:
        raise _unreadable('configuration', error) from error


def encode_addresses(addresses: Iterable[str], *, ttl_ms: float) -> bytes:
    """Encode the answer to a caller that asks where to connect."""
    document = {
        'addresses': list(addresses),
        'ttl_s': ttl_ms / MILLIS_PER_SECOND,
    }
    return json.dumps(document).encode()


def _decode_configuration(document: Mapping[str, Any]) -> HostConfiguration:
    services_by_id = {
        ServiceId(service['name']): Service(
            service_id=ServiceId(service['name']),
            probe_path=service['health_check'],
        )
        for service in document['services']
    }
    routes_by_id = {}
    for given in document['routes']:
        route = _decode_route(given)
        routes_by_id[route.route_id] = route
    declaration = Declaration(
        name='platform',
        regions_by_id={},
        zones_by_id={},
        services_by_id=services_by_id,
        pools_by_id={},
        targets_by_id={},
        routes_by_id=routes_by_id,
        workspaces_by_id={},
    )
    return HostConfiguration(
        version=Version(int(document['version'], VERSION_BASE)),
        declaration=declaration,
        limits=_decode_limits(document['limits']),
    )


def _decode_route(given: Mapping[str, Any]) -> Route:
    split = tuple(
        TrafficShare(
            service_id=ServiceId(part['service']),
            weight=_number(part, 'weight'),
        )
        for part in given.get('backends') or ()
    )
    service_id = split[0].service_id if split else _text(given, 'service')
    return Route(
        route_id=RouteId(_text(given, 'name')),
        host=_text(given, 'host').lower(),
        prefix=_text(given, 'prefix'),
        service_id=ServiceId(service_id),
        split=split,
        # Uploads may run once at most, like all that is not idempotent.
        idempotent=given['route_type'] == IDEMPOTENT,
        attempts=int(given.get('attempts') or 1),
        rank=int(given.get('priority') or 0),
        timeout_ms=_millis(given, 'timeout_s'),
        target_latency_ms=_millis(given, 'target_latency_s'),
    )


def _decode_limits(given: Mapping[str, Any]) -> CallerLimits:
    return CallerLimits(
        max_head_bytes=int(given['max_header_bytes']),
        max_body_bytes=int(given['max_body_bytes']),
        head_timeout_ms=_millis(given, 'header_timeout_s') or 0,
        idle_timeout_ms=_millis(given, 'idle_timeout_s') or 0,
    )


def _decode_row(row: Mapping[str, Any]) -> StoredRow:
    gone = bool(row.get('deleted'))
    text = row.get('value') or ''
    body = None if gone else _decode_value(text)
    return StoredRow(key=row['key'], version=int(row['ver']), body=body)


def _decode_value(text: str) -> bytes:
    try:
        return base64.b64decode(text, validate=True)
    except binascii.Error:
        # Another writer's row: it is told as unreadable when it is used.
        return b''


def _address(document: Mapping[str, Any]) -> str:
    address = parse_address(_text(document, 'address'))
    if not address.port:
        raise ValueError('nothing listens on port 0')
    return str(address)


def _is_draining(document: Mapping[str, Any]) -> bool:
    state = _text(document, 'state')
    if state not in {READY, DRAINING}:
        raise ValueError(f'unknown state {state!r}')
    return state == DRAINING


def _text(document: Mapping[str, Any], key: str) -> str:
    text = document[key]
    if not isinstance(text, str) or not text:
        raise TypeError(f'{key} is no text')
    return text


def _number(document: Mapping[str, Any], key: str) -> float:
    number = document[key]
    if isinstance(number, bool) or not isinstance(number, int | float):
        raise TypeError(f'{key} is no number')
    return number


def _count(document: Mapping[str, Any], key: str) -> int:
    number = document[key]
    if isinstance(number, bool) or not isinstance(number, int):
        raise TypeError(f'{key} is no whole number')
    if not 0 <= number <= COUNT_MOST:
        raise ValueError(f'{key} is out of range')
    return number


def _millis(document: Mapping[str, Any], key: str) -> int | None:
    if document.get(key) is None:
        return None
    return round(_number(document, key) * MILLIS_PER_SECOND)


def _unreadable(what: str, error: Exception) -> FormatError:
    return FormatError(
        code=ErrorCode.entry_unreadable,
        detail=f'{what}: {type(error).__name__} {error}',
    )
