"""Tests of process settings."""

import pytest

from chicorybridge.common.ini_files import SettingsError
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
    """Return a settings file; the variables that it names are set."""
    monkeypatch.setenv('TEST_FLEET_KEY', 'key')
    monkeypatch.setenv('TEST_TOKEN', 'token')
    path = tmp_path / 'host.ini'
    path.write_text(CONTROL)
    return path


def test_secrets_come_from_the_environment(file):
    """The file names the variables; overrides replace values of the file."""
    process_settings = read_control_settings(file, {'listen': '127.0.0.1:9'})
    assert (process_settings.fleet_key, process_settings.operator_token) == (
        b'key',
        b'token',
    )
    assert process_settings.listen == '127.0.0.1:9'
    assert [seed.host_id for seed in process_settings.seeds] == [
        'host-2',
        'host-3',
    ]


def test_unset_variable_is_reported(file, monkeypatch):
    """An unset variable of a secret is an error that names it."""
    monkeypatch.delenv('TEST_FLEET_KEY')
    with pytest.raises(SettingsError, match='TEST_FLEET_KEY'):
        read_control_settings(file, {})


def test_missing_section_is_reported(file):
    """A file without the section of the process is refused."""
    with pytest.raises(SettingsError, match='CB1002'):
        read_entry_settings(file, {})
