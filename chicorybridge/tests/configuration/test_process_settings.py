"""Tests of the settings of processes."""

import pytest

from chicorybridge.common.readers import SettingsError
from chicorybridge.configuration.process_settings import (
    read_control_settings,
    read_entry_settings,
)

CONTROL = """
[control]
host = host-1
zone = groningen
region = noord
listen = 127.0.0.1:7000
platform = 127.0.0.1:80
fleet_key_variable = TEST_FLEET_KEY
operator_token_variable = TEST_TOKEN
seeds = host-2@127.0.0.2:7000 host-3@127.0.0.3:7000
"""


@pytest.fixture
def file(tmp_path, monkeypatch):
    """Return a file of settings whose secrets are set."""
    monkeypatch.setenv('TEST_FLEET_KEY', 'key')
    monkeypatch.setenv('TEST_TOKEN', 'token')
    path = tmp_path / 'host.ini'
    path.write_text(CONTROL)
    return path


def test_secrets_come_from_the_environment(file):
    """The file names variables; the command line goes before the file."""
    given = read_control_settings(file, {'listen': '127.0.0.1:9'})
    assert (given.fleet_key, given.operator_token) == (b'key', b'token')
    assert given.listen == '127.0.0.1:9'
    assert [seed.host_id for seed in given.seeds] == ['host-2', 'host-3']


def test_unset_variable_is_named(file, monkeypatch):
    """A process does not start with an empty key."""
    monkeypatch.delenv('TEST_FLEET_KEY')
    with pytest.raises(SettingsError, match='TEST_FLEET_KEY'):
        read_control_settings(file, {})


def test_missing_section_is_named(file):
    """A file for a control process does not start an entry process."""
    with pytest.raises(SettingsError, match='CB1002'):
        read_entry_settings(file, {})
