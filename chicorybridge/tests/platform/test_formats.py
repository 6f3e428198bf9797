"""Tests of decoding rows: malformed rows are rejected."""

import pytest

from chicorybridge.platform.formats import (
    FormatError,
    StoredRow,
    decode_configuration,
    decode_target,
)
from chicorybridge.tests.platform.rows import (
    configuration_row,
    route,
    server_row,
)


def _row(body: bytes) -> StoredRow:
    return StoredRow(key='i-1', version=7, body=body)


def test_entry_of_a_server_is_decoded():
    entry = decode_target(_row(server_row(state='draining', warmup_left_s=2)))
    assert (entry.target_id, entry.row_version) == ('i-1', 7)
    assert (entry.slots, entry.leaving, entry.warming) == (6, True, True)


@pytest.mark.parametrize(
    'fields',
    [
        {'state': 'asleep'},
        {'state': None},
        {'service': 5},
        {'address': 'nowhere'},
        {'address': '127.0.0.1:65536'},
        {'address': '127.0.0.1:0'},
        {'address': '127.0.0.1 :80'},
        {'address': 'a..b:80'},
        {'capacity': '6'},
        {'capacity': True},
        {'capacity': -1},
        {'capacity': 2**64},
        {'born': 1.5},
        {'born': 2**64},
        {'zone': ''},
    ],
)
def test_entry_with_an_invalid_field_is_rejected(fields):
    with pytest.raises(FormatError, match='entry of i-1'):
        decode_target(_row(server_row(**fields)))


@pytest.mark.parametrize(
    'body', [b'', b'\xff', b'[]', b'{}', b'"text"', b'[' * 9000]
)
def test_malformed_entry_is_rejected(body):
    with pytest.raises(FormatError, match='entry of i-1'):
        decode_target(_row(body))


def test_configuration_is_decoded():
    split = [
        {'service': 'quotes', 'weight': 90},
        {'service': 'files', 'weight': 10},
    ]
    configuration = decode_configuration(
        configuration_row(
            route(),
            route(name='r-2', prefix='/up/', route_type='upload'),
            route(name='r-3', prefix='/both/', backends=split, service=None),
        )
    )
    assert configuration.version == 12
    find = configuration.routes.find
    lookup_route = find(method='GET', path='/lookup/7', host='quotes.example')
    assert lookup_route is not None
    assert (lookup_route.idempotent, lookup_route.timeout_ms) == (True, 2000)
    upload_route = find(method='POST', path='/up/7', host='quotes.example')
    assert upload_route is not None
    assert upload_route.idempotent is False
    split_route = find(method='GET', path='/both/', host='quotes.example')
    assert split_route is not None
    assert [share.weight for share in split_route.split] == [90, 10]


@pytest.mark.parametrize(
    ('path', 'host'),
    [
        ('/lookup', 'quotes.example'),
        ('/lookups/7', 'quotes.example'),
        ('/lookup/7', 'other.example'),
        ('/lookup/7', ''),
    ],
)
def test_route_matches_only_its_host_and_prefix(path, host):
    routes = decode_configuration(configuration_row(route())).routes
    assert routes.find(method='GET', path=path, host=host) is None


def test_configuration_without_limits_is_rejected():
    with pytest.raises(FormatError, match='configuration'):
        decode_configuration(b'{"version":"0000000c","routes":[]}')
