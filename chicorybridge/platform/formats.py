"""Formats of the platform: rows, server entries and the configuration.

The platform calls targets servers.
"""

import base64
import dataclasses
import json
from collections.abc import Iterable, Mapping
from typing import Any

from chicorybridge.common.addresses import parse_address
from chicorybridge.common.clocks import MILLIS_PER_SECOND
from chicorybridge.common.codecs import pack, unpack
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
    DownloadRoute,
    Route,
    Service,
    TrafficShare,
)
from chicorybridge.fleet.configurations import (
    HostConfiguration,
    KeyedConfiguration,
)
from chicorybridge.fleet.directories import TargetEntry
from chicorybridge.fleet.host_tables import FleetMember
from chicorybridge.fleet.store_versions import version_in_era
from chicorybridge.http.caller_limits import CallerLimits
from chicorybridge.platform.fields import (
    count_field,
    number_field,
    text_field,
)
from chicorybridge.platform.workspaces import (
    decode_public_routes,
    decode_workspaces,
)

# Requests of all other types, such as uploads, run at most once.
IDEMPOTENT_ROUTE_TYPES = frozenset(('idempotent', 'download'))
DOWNLOAD_ROUTE_TYPE = 'download'
DRAINING_STATE = 'draining'
READY_STATE = 'ready'
VERSION_BASE = 16

# Exceptions that decoding a malformed document may raise.
DECODE_ERRORS = (
    ValueError,
    TypeError,
    KeyError,
    AttributeError,
    OverflowError,
    RecursionError,
)


class FormatError(ChicorybridgeError):
    """Report a row or an answer that can't be decoded."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StoredRow:
    """A row of the store; `body` is `None` if the row was deleted.

    `version` is the number of the transaction that last changed the row;
    transactions are counted over the whole store.
    """

    key: str
    version: int
    body: bytes | None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StoredRows:
    """A page of rows of a table, or of changes to it.

    `version` is the version of the whole store when they were read;
    `has_more` is set if further pages follow.
    """

    rows: tuple[StoredRow, ...]
    version: int
    has_more: bool = False


def decode_rows(body: bytes, *, era: int = 0) -> StoredRows:
    """Decode the answer to a table read or a feed; raise `FormatError`.

    Its versions are of `era`. Rows whose key is no text that can be encoded
    are left out.
    """
    try:
        document = json.loads(body)
        return StoredRows(
            rows=tuple(
                _decode_row(row, era)
                for row in document['rows']
                if _is_plain_text(row['key'])
            ),
            version=version_in_era(era=era, number=int(document['ver'])),
            has_more=bool(document.get('has_more')),
        )
    except DECODE_ERRORS as error:
        raise _format_error('answer of the store', error) from error


def encode_row(*, table: str, key: str, body: bytes) -> bytes:
    """Encode a transaction that sets one row unconditionally."""
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

    Every field that is used must have the expected type, and `state` must
    have a known value.
    """
    try:
        document = json.loads(row.body or b'')
        entry = TargetEntry(
            target_id=TargetId(row.key),
            row_version=row.version,
            service_id=ServiceId(text_field(document, 'service')),
            address=_address_field(document),
            zone_id=ZoneId(text_field(document, 'zone')),
            # `capacity` holds the number of slots for concurrent requests.
            slots=count_field(document, 'capacity'),
            leaving=_is_draining(document),
            warming=number_field(document, 'warmup_left_s') > 0,
            # `born` holds the start time in milliseconds since 1970.
            started_at_ms=count_field(document, 'born'),
        )
        # Other hosts must be able to receive it.
        pack(entry)
    except DECODE_ERRORS as error:
        raise _format_error(f'entry of {row.key}', error) from error
    return entry


def decode_profile(row: StoredRow) -> FleetMember:
    """Decode the profile that a host wrote; raise `ChicorybridgeError`."""
    profile = unpack(row.body or b'')
    try:
        for address in (profile.front, profile.fleet_address):
            parse_address(address)
        if not isinstance(profile, FleetMember) or profile.host_id != row.key:
            raise ValueError('not the profile of this host')
    except DECODE_ERRORS as error:
        raise _format_error(f'profile of {row.key}', error) from error
    return profile


def decode_configuration(body: bytes) -> HostConfiguration:
    """Decode the operator's configuration; raise `FormatError`."""
    try:
        configuration = _decode_configuration(json.loads(body))
        # Other hosts must be able to receive it.
        pack(configuration)
    except DECODE_ERRORS as error:
        raise _format_error('configuration', error) from error
    return configuration


def encode_addresses(addresses: Iterable[str], *, ttl_ms: float) -> bytes:
    """Encode the answer to an address lookup."""
    document = {
        'addresses': list(addresses),
        'ttl_s': ttl_ms / MILLIS_PER_SECOND,
    }
    return json.dumps(document).encode()


def _decode_configuration(document: Mapping[str, Any]) -> HostConfiguration:
    services_by_id = {
        ServiceId(service['name']): Service(
            service_id=ServiceId(service['name']),
            # `health_check` holds a path.
            probe_path=service['health_check'],
        )
        for service in document['services']
    }
    routes_by_id = {}
    for route_fields in document['routes']:
        route = _decode_route(route_fields)
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
    configuration = HostConfiguration(
        version=Version(int(document['version'], VERSION_BASE)),
        declaration=declaration,
        limits=_decode_limits(document['limits']),
    )
    if not document.get('tenants'):
        return configuration
    return KeyedConfiguration(
        version=configuration.version,
        declaration=declaration,
        limits=configuration.limits,
        workspaces_by_id=decode_workspaces(document['tenants']),
        public_routes=decode_public_routes(document['routes']),
    )


def _decode_route(route_fields: Mapping[str, Any]) -> Route:
    split = tuple(
        TrafficShare(
            service_id=ServiceId(backend['service']),
            weight=number_field(backend, 'weight'),
        )
        for backend in route_fields.get('backends') or ()
    )
    service_id = (
        split[0].service_id if split else text_field(route_fields, 'service')
    )
    is_download = route_fields['route_type'] == DOWNLOAD_ROUTE_TYPE
    route_class = DownloadRoute if is_download else Route
    return route_class(
        route_id=RouteId(text_field(route_fields, 'name')),
        host=text_field(route_fields, 'host').lower(),
        prefix=text_field(route_fields, 'prefix'),
        service_id=ServiceId(service_id),
        split=split,
        idempotent=route_fields['route_type'] in IDEMPOTENT_ROUTE_TYPES,
        attempts=int(route_fields.get('attempts') or 1),
        # A lower `priority` is more urgent.
        rank=int(route_fields.get('priority') or 0),
        timeout_ms=_milliseconds(route_fields, 'timeout_s'),
        target_latency_ms=_milliseconds(route_fields, 'target_latency_s'),
    )


def _decode_limits(limit_fields: Mapping[str, Any]) -> CallerLimits:
    return CallerLimits(
        max_head_bytes=int(limit_fields['max_header_bytes']),
        max_body_bytes=int(limit_fields['max_body_bytes']),
        head_timeout_ms=_milliseconds(limit_fields, 'header_timeout_s') or 0,
        idle_timeout_ms=_milliseconds(limit_fields, 'idle_timeout_s') or 0,
    )


def _decode_row(row: Mapping[str, Any], era: int) -> StoredRow:
    is_deleted = bool(row.get('deleted'))
    text = row.get('value') or ''
    body = None if is_deleted else _decode_value(text)
    version = version_in_era(era=era, number=int(row['ver']))
    return StoredRow(key=row['key'], version=version, body=body)


def _decode_value(text: str) -> bytes:
    try:
        return base64.b64decode(text, validate=True)
    except (TypeError, ValueError):
        # The row may belong to another writer, so the page must not fail. An
        # empty body is reported as unreadable only if the row is used.
        return b''


def _address_field(document: Mapping[str, Any]) -> str:
    address = parse_address(text_field(document, 'address'))
    if not address.port:
        raise ValueError('address has port 0')
    return str(address)


def _is_draining(document: Mapping[str, Any]) -> bool:
    state = text_field(document, 'state')
    if state not in {READY_STATE, DRAINING_STATE}:
        raise ValueError(f'unknown state {state!r}')
    return state == DRAINING_STATE


def _is_plain_text(key: Any) -> bool:
    """Return whether a key is text without lone surrogates."""
    try:
        return bool(key.encode())
    except (AttributeError, UnicodeEncodeError):
        return False


def _milliseconds(document: Mapping[str, Any], key: str) -> int | None:
    if document.get(key) is None:
        return None
    return round(number_field(document, key) * MILLIS_PER_SECOND)


def _format_error(source: str, error: Exception) -> FormatError:
    return FormatError(
        code=ErrorCode.entry_unreadable,
        detail=f'{source}: {type(error).__name__} {error}',
    )
