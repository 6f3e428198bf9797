"""Tests that the documentation of settings matches the code."""

import pathlib
import re
from types import MappingProxyType

from chicorybridge.configuration.process_settings import (
    FIELDS_BY_KIND as PROCESS_FIELDS,
)
from chicorybridge.configuration.sections import (
    FIELDS_BY_KIND as DECLARATION_FIELDS,
)
from chicorybridge.hosts.settings_files import (
    BOUND_FIELDS,
    BOUNDS_SECTION,
    HOST_SECTION,
    HOST_FIELDS,
)

HOST_FIELDS_BY_TITLE = MappingProxyType(
    {HOST_SECTION: HOST_FIELDS, BOUNDS_SECTION: BOUND_FIELDS}
)

PAGE = pathlib.Path(__file__).parents[3] / 'docs' / 'settings.md'
ROW = re.compile(r'^\| `\[(\w+)[^`]*\]` \| `(\w+)` \|', re.MULTILINE)


def test_page_lists_every_key_and_no_other():
    """The page documents exactly the sections and keys that are read."""
    fields_by_kind = {
        **DECLARATION_FIELDS,
        **PROCESS_FIELDS,
        **HOST_FIELDS_BY_TITLE,
    }
    expected = {
        (kind, key) for kind, keys in fields_by_kind.items() for key in keys
    }
    assert set(ROW.findall(PAGE.read_text())) == expected
