"""Tests of knobs and of the documentation that lists them."""

import dataclasses
import pathlib
import re

import pytest

from chicorybridge.standins.impairments import EmulatorKnobs
from chicorybridge.standins.platforms import PlatformKnobs

PAGES = pathlib.Path(__file__).parents[3] / 'docs'
KNOB_NAME_PATTERN = re.compile('`([a-z_]+)`')


def _listed_knobs(page):
    text = (PAGES / page).read_text()
    table = text[text.index('| knob |') :]
    cells = [
        line.split('|')[1]
        for line in table.splitlines()
        if line.startswith('| `')
    ]
    return set(KNOB_NAME_PATTERN.findall(' '.join(cells)))


@pytest.mark.parametrize(
    ('page', 'knobs'),
    [('platform.md', PlatformKnobs), ('standins.md', EmulatorKnobs)],
)
def test_page_lists_exactly_the_knobs(page, knobs):
    """The table of knobs in the page matches the fields in the code."""
    assert _listed_knobs(page) == {
        field.name for field in dataclasses.fields(knobs)
    }


def test_other_knobs_are_unchanged():
    """A list is accepted for a tuple; knobs not named keep their values."""
    knobs = EmulatorKnobs(slots=3)
    updated = knobs.updated({'failing_prefixes': ['/a'], 'service_ms': 2})
    assert updated.failing_prefixes == ('/a',)
    assert (updated.service_ms, updated.slots) == (2, 3)


@pytest.mark.parametrize(
    'changes',
    [
        {'slotz': 1},
        {'slots': '1'},
        {'slots': True},
        {'draining': 1},
        {'failing_prefixes': '/a'},
        {'crash_prefix': 1},
    ],
)
def test_unknown_or_mistyped_knobs_are_refused(changes):
    """The error names the knob."""
    with pytest.raises(ValueError, match=next(iter(changes))):
        EmulatorKnobs().updated(changes)
