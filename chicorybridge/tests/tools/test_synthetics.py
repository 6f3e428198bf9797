"""Tests of made-up declarations."""

from chicorybridge.configuration.sections import read_declaration
from chicorybridge.tools.models.synthetics import (
    Sizes,
    make_declaration,
    write_declaration,
)


def test_file_and_memory_hold_the_same_declaration(tmp_path):
    """The INI file is a valid declaration of the same contents."""
    sizes = Sizes().scaled(0.01)
    path = tmp_path / 'synthetic.ini'
    write_declaration(sizes, path)
    assert read_declaration(path).digest == make_declaration(sizes).digest
