"""Tests of decoding rows: malformed rows are rejected."""

import json
from typing import Any

import pytest

from chicorybridge.common.codecs import pack
from chicorybridge.common.errors import ChicorybridgeError
from chicorybridge.platform.formats import (
    FormatError,
    StoredRow,
    decode_configuration,
    decode_profile,
    decode_rows,
    decode_target,
)
from chicorybridge.tests.platform.rows import (
    configuration_row,
    route,
    server_row,
    tenant,
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
        {'zone': '\ud800'},
        {'service': 'quotes\udfff'},
        {'address': '127.0.0.1:' + '9' * 5000},
        {'warmup_left_s': float('inf')},
        {'warmup_left_s': 10**400},
    ],
)
def test_entry_with_an_invalid_field_is_rejected(fields):
    with pytest.raises(FormatError, match='entry of i-1'):
        decode_target(_row(server_row(**fields)))


@pytest.mark.parametrize(
    'body',
    [
        b'',
        b'\xff',
        b'[]',
        b'{}',
        b'"text"',
        b'[' * 9000,
        b'{"service":' * 90_000,
        b'{"capacity":%s}' % (b'9' * 9000),
    ],
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


@pytest.mark.parametrize(
    'fields',
    [
        {'timeout_s': 1e300},
        {'timeout_s': float('inf')},
        {'attempts': 2**70},
        {'prefix': '/\ud800/'},
    ],
)
def test_configuration_that_cannot_be_sent_on_is_rejected(fields):
    with pytest.raises(FormatError, match='configuration'):
        decode_configuration(configuration_row(route(**fields)))


def test_row_with_an_odd_key_or_value_does_not_hide_the_others():
    body = json.dumps(
        {
            'rows': [
                {'key': 'i-1', 'value': 'e30=', 'ver': 1},
                {'key': '\ud800', 'value': 'e30=', 'ver': 2},
                {'key': 5, 'value': 'e30=', 'ver': 3},
                {'key': 'i-4', 'value': 5, 'ver': 4},
                {'key': 'i-5', 'value': '\u00e9', 'ver': 5},
            ],
            'ver': 9,
        }
    )
    rows = decode_rows(body.encode()).rows
    assert [row.key for row in rows] == ['i-1', 'i-4', 'i-5']
    assert [row.body for row in rows] == [b'{}', b'', b'']


@pytest.mark.parametrize(
    'body',
    [b'', b'\xc1', pack('text'), pack(None), b'\xdd\xff\xff\xff\xff'],
)
def test_malformed_profile_is_rejected(body):
    with pytest.raises(ChicorybridgeError):
        decode_profile(_row(body))


def _keyed(*tenants, **fields):
    return configuration_row(route(**fields), tenants=list(tenants))


def test_download_may_run_twice():
    body = configuration_row(
        route(name='r-1', prefix='/a/', route_type='download'),
        route(name='r-2', prefix='/b/', route_type='upload'),
    )
    routes: Any = decode_configuration(body).declaration.routes_by_id
    assert routes['r-1'].idempotent
    assert not routes['r-2'].idempotent


def test_workspaces_are_decoded():
    configuration: Any = decode_configuration(
        _keyed(
            tenant('acme', 'k-1', 'k-2', priority=3, rate_per_s=1.5, burst=4),
            tenant('zeta', 'k-3', rate_per_s=None),
            public=True,
        )
    )
    acme = configuration.keys.find(b'k-2')
    assert (acme.workspace_id, acme.priority) == ('acme', 3)
    assert (acme.rate_per_s, acme.burst, acme.is_limited) == (1.5, 4, True)
    zeta = configuration.keys.find(b'k-3')
    assert (zeta.priority, zeta.is_limited) == (None, False)
    assert configuration.public_routes == ('r-1',)


@pytest.mark.parametrize('tenants', [None, []])
def test_callers_need_no_key_without_workspaces(tenants):
    body = configuration_row(route(), tenants=tenants)
    assert decode_configuration(body).keys is None


@pytest.mark.parametrize(
    'tenants',
    [
        {'acme': ['k-secret']},
        ['acme'],
        [{'name': 'acme'}],
        [tenant('acme', 'k-secret'), tenant('zeta', 'k-secret')],
        [tenant('acme', 'k-secret', 'k-secret')],
        [tenant('acme', 'k-1'), tenant('acme', 'k-2')],
        [tenant('', 'k-secret')],
        [tenant('acme\r\nx-other: 1', 'k-secret')],
        [tenant(' acme', 'k-secret')],
        [tenant('acme', '')],
        [tenant('acme', 'k-secret\udfff')],
        [{'name': 'acme', 'api_keys': [7]}],
        [{'name': 'acme', 'api_keys': 'k-secret'}],
        [tenant('acme', 'k-secret', priority='1')],
        [tenant('acme', 'k-secret', priority=True)],
        [tenant('acme', 'k-secret', priority=2**70)],
        [tenant('acme', 'k-secret', rate_per_s=-1)],
        [tenant('acme', 'k-secret', rate_per_s='5')],
        [tenant('acme', 'k-secret', burst=-0.5)],
        [tenant('acme', 'k-secret', burst=float('nan'))],
    ],
)
def test_malformed_workspaces_are_rejected_without_naming_a_key(tenants):
    with pytest.raises(FormatError) as raised:
        decode_configuration(configuration_row(route(), tenants=tenants))
    assert 'secret' not in str(raised.value)


def test_malformed_public_field_is_rejected():
    with pytest.raises(FormatError):
        decode_configuration(_keyed(tenant('acme', 'k-1'), public='yes'))
