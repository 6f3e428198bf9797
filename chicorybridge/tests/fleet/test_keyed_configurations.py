"""Configurations with workspaces between hosts; keys never leave a host."""

import hashlib
from typing import Any

import pytest

from chicorybridge import settings
from chicorybridge.common.codecs import pack, unpack
from chicorybridge.fleet.configurations import (
    ConfigurationDelta,
    KeyedConfigurationDelta,
    diff_configurations,
    patch_configuration,
)
from chicorybridge.platform.formats import decode_configuration
from chicorybridge.tests.platform.rows import (
    configuration_row,
    route,
    tenant,
)

KEYS = ('k-one', 'k-two')
# Encoded forms of a build without workspaces.
PLAIN_DIGEST = (
    '9d60b228eb8f88d2057964172145e186c2e2b14102a78c855d431d85e720f6b6'
)
PLAIN_DELTA_DIGEST = (
    'b90bded2ab5a49997b3e2258aa2b8e5ddc41cdb595f20c4009387c7596bd9271'
)


def _configuration(version: int, *tenants: Any) -> Any:
    row = configuration_row(
        route(), version=format(version, '08x'), tenants=list(tenants)
    )
    return decode_configuration(row)


def _sent(message):
    return unpack(pack(message))


def _digest(message) -> str:
    return hashlib.sha256(pack(message)).hexdigest()


def test_earlier_builds_can_decode_a_configuration_without_workspaces():
    before = decode_configuration(configuration_row(route()))
    after = decode_configuration(
        configuration_row(route(priority=2), version='0000000d')
    )
    assert _digest(before) == PLAIN_DIGEST
    assert _digest(diff_configurations(before, after)) == PLAIN_DELTA_DIGEST


def test_hosts_get_digests_instead_of_keys():
    configuration = _configuration(4, tenant('acme', *KEYS))
    body = pack(configuration)
    assert not any(key.encode() in body for key in KEYS)
    received = _sent(configuration)
    assert received.keys.find(b'k-one').workspace_id == 'acme'
    assert received.keys.find(b'k-none') is None


@pytest.mark.parametrize(
    'tenants',
    [
        (tenant('acme', 'k-two'), tenant('zeta', 'k-3')),
        (tenant('acme', *KEYS, priority=2, rate_per_s=9, burst=3),),
        # The key of one workspace moves to another.
        (tenant('acme', 'k-3'), tenant('zeta', *KEYS)),
        (tenant('zeta', 'k-3'),),
        (),
    ],
)
def test_delta_gives_the_same_as_the_whole_configuration(tenants):
    before = _configuration(4, tenant('acme', *KEYS), tenant('zeta', 'k-3'))
    after = _configuration(5, *tenants)
    delta = _sent(diff_configurations(before, after))
    assert isinstance(delta, KeyedConfigurationDelta)
    patched: Any = patch_configuration(before, delta)
    assert patched == after
    for key in (b'k-one', b'k-two', b'k-3'):
        if after.keys is None:
            assert patched.keys is None
        else:
            assert patched.keys.find(key) == after.keys.find(key)


def test_first_workspaces_need_no_fetch():
    before, after = _configuration(4), _configuration(5, tenant('a', 'k-one'))
    assert isinstance(
        diff_configurations(before, _configuration(5)), ConfigurationDelta
    )
    delta = diff_configurations(before, after)
    assert patch_configuration(before, _sent(delta)) == after


def test_many_changed_keys_exceed_a_datagram():
    tenants = [
        tenant(f'w-{number}', f'k-{number}')
        for number in range(settings.MAX_DELTA_BYTES // 16)
    ]
    delta = diff_configurations(_configuration(4), _configuration(5, *tenants))
    assert delta is None
