"""Tests of knobs and of the pages that list them."""

import dataclasses
import pathlib
import re

import pytest

from chicorybridge.standins.impairments import EmulatorKnobs
from chicorybridge.standins.platforms import PlatformKnobs

PAGES = pathlib.Path(__file__).parents[3] / 'docs'
NAME = re.compile('`([a-z_]+)`')


def _listed(page):
    text = (PAGES / page).read_text()
    table = text[text.index('| knob |') :]
    cells = [
        line.split('|')[1]
        for line in table.splitlines()
        if line.startswith('| `')
    ]
    return set(NAME.findall(' '.join(cells)))


@pytest.mark.parametrize(
    ('page', 'knobs'),
    [('platform.md', PlatformKnobs), ('standins.md', EmulatorKnobs)],
)
def test_page_lists_every_knob_and_no_other(page, knobs):
    """The page and the code name the same knobs."""
    assert _listed(page) == {field.name for field in dataclasses.fields(knobs)}


def test_only_named_knobs_change():
    """A list stands for a tuple; what is not named stays."""
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
    """Nothing is changed by a mistake."""
    with pytest.raises(ValueError, match=next(iter(changes))):
        EmulatorKnobs().updated(changes)
