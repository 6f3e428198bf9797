"""Tests of synthetic declarations."""

from chicorybridge.configuration.sections import read_declaration
from chicorybridge.tools.models.synthetics import (
    Sizes,
    make_declaration,
    write_declaration,
)


def test_file_gives_the_declaration_made_in_memory(tmp_path):
    """The INI file is valid and gives the same declaration."""
    sizes = Sizes().scaled(0.01)
    path = tmp_path / 'synthetic.ini'
    write_declaration(sizes, path)
    assert read_declaration(path).digest == make_declaration(sizes).digest
