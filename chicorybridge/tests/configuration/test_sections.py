"""Tests of declarations read from INI files."""

import pathlib

import pytest

from chicorybridge.common.codecs import unpack
from chicorybridge.common.ini_files import SettingsError
from chicorybridge.configuration.sections import read_declaration

EXAMPLES = pathlib.Path(__file__).parents[3] / 'examples'

FAULTY = """
[declaration faulty]

[region noord]
speed = 3

[zone groningen]
region = nowhere

[service quote]
floor = 1.5
timeout_ms = soon

[pool old]
service = quote
slots = 0

[target a]
pool = old
zone = groningen
address = quote.example:80

[target b]
pool = missing
zone = groningen

[shelf c]

[target a]
pool = old
"""


@pytest.mark.parametrize(
    ('name', 'service_id', 'targets', 'slots'),
    [('bureau', 'quote', 38, 30 * 6), ('kente', 'stock', 33, 25 * 6)],
)
def test_examples_are_complete(name, service_id, targets, slots):
    """The examples have the expected sizes and are unchanged by the codec."""
    declaration = read_declaration(EXAMPLES / name)
    assert len(declaration.targets_by_id) == targets
    assert declaration.slots_of(service_id) == slots
    assert unpack(declaration.body) == declaration


def test_every_problem_is_named_at_once(tmp_path, snapshot):
    """One read reports file, section, key and code of every problem."""
    file = tmp_path / 'faulty.ini'
    file.write_text(FAULTY)
    try:
        read_declaration(file)
    except SettingsError as error:
        lines = str(error.detail).replace(str(tmp_path), '').splitlines()
    assert lines == snapshot


def test_unreadable_file_is_reported(tmp_path):
    """Text outside a section is an error that names the file."""
    file = tmp_path / 'broken.ini'
    file.write_text('floor = 1\n')
    with pytest.raises(SettingsError, match='broken.ini'):
        read_declaration(file)


def test_order_of_sections_does_not_matter(tmp_path):
    """The digest does not depend on the order of sections."""
    zones = [f'[zone {name}]\nregion = noord\n' for name in ('a', 'b')]
    digests = set()
    for order in (zones, list(reversed(zones))):
        file = tmp_path / 'zones.ini'
        file.write_text(
            '\n'.join(['[declaration d]', '[region noord]', *order])
        )
        digests.add(read_declaration(file).digest)
    assert len(digests) == 1
