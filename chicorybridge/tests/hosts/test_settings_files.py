"""Settings of a host process, read from the platform's INI file."""

import pathlib

import pytest

from chicorybridge.common.identities import ZoneId
from chicorybridge.common.ini_files import SettingsError
from chicorybridge.hosts.settings_files import read_host_settings

COMPLETE_FILE = """
[host]
host = edge-groningen-1
ip = 10.1.0.35
zone = groningen
region = noord
front = 10.1.0.35:8144
readiness = 10.1.0.35:8140
directory = 10.1.0.35:8143
metrics = 10.1.0.35:9464
fleet_ports = 7660,7675
seeds = 10.1.0.35:8146,10.2.0.28:8146
store = 10.200.1.7:8142

[zones]
groningen = noord
eindhoven = zuid

[bounds]
grace_s = 6
ttl_s = 5
config_apply_s = 3
drain_s = 2
retry_ratio = 0.2
retry_slack = 62
retry_window_s = 10
"""


def _write(folder: pathlib.Path, text: str) -> pathlib.Path:
    path = folder / 'host.ini'
    path.write_text(text)
    return path


def test_complete_file_is_read(tmp_path):
    host_settings = read_host_settings(_write(tmp_path, COMPLETE_FILE))
    assert host_settings.fleet_address == '10.1.0.35:7660'
    assert host_settings.seeds == ('10.1.0.35:7660', '10.2.0.28:7660')
    assert host_settings.regions_by_zone[ZoneId('eindhoven')] == 'zuid'
    assert (host_settings.bounds.grace_ms, host_settings.bounds.ttl_ms) == (
        6000,
        2000,
    )
    assert host_settings.bounds.known_within_ms == 2000


def test_store_is_read_before_it_would_count_as_unavailable(tmp_path):
    text = COMPLETE_FILE.replace('_s = 2\n', '_s = 60\n')
    text = text.replace('apply_s = 3', 'apply_s = 60')
    bounds = read_host_settings(
        _write(tmp_path, f'{text}target_heartbeat_s = 2\ncontact_s = 4\n')
    ).bounds
    assert bounds.target_heartbeat_ms == 2000
    assert bounds.contact_ms == 4000
    assert bounds.known_within_ms == 4000


def test_seeds_may_be_empty(tmp_path):
    text = COMPLETE_FILE.replace('10.1.0.35:8146,10.2.0.28:8146', '')
    assert not read_host_settings(_write(tmp_path, text)).seeds


@pytest.mark.parametrize(
    ('line', 'code'),
    [
        ('store = 10.200.1.7:8142', 'CB1002'),
        ('grace_s = 6', 'CB1002'),
        ('host = edge-groningen-1', 'CB1002'),
    ],
)
def test_file_without_a_required_key_is_refused(tmp_path, line, code):
    with pytest.raises(SettingsError, match=code):
        read_host_settings(_write(tmp_path, COMPLETE_FILE.replace(line, '')))


def test_missing_file_is_refused(tmp_path):
    with pytest.raises(SettingsError, match='CB1007'):
        read_host_settings(tmp_path / 'none.ini')


def test_bounds_of_workspaces_are_read(tmp_path):
    bounds = read_host_settings(_write(tmp_path, COMPLETE_FILE)).bounds
    assert bounds.max_key_age_ms == float('inf')
    assert (bounds.quotas.overage, bounds.quotas.slack) == (0, 0)
    assert bounds.quotas.window_ms == 5000
    text = f"""{COMPLETE_FILE}revoke_s = 7
fail_closed = true
quota_window_s = 4
quota_overage = 0.1
quota_slack = 20
"""
    bounds = read_host_settings(_write(tmp_path, text)).bounds
    assert bounds.max_key_age_ms == 7000
    assert (bounds.quotas.overage, bounds.quotas.slack) == (0.1, 20)
    assert bounds.quotas.window_ms == 4000
    text = text.replace('fail_closed = true', 'fail_closed = false')
    bounds = read_host_settings(_write(tmp_path, text)).bounds
    assert bounds.max_key_age_ms == float('inf')
