"""Tests of the page of constants, which is made from comments."""

from chicorybridge.tools.constants import PAGE_PATH, read_blocks, render_page

SOURCE = """
# Timeout of a connection attempt.
CONNECT_MS = 250

# Name of the cache, and its
# maximum number of entries.
CACHE = 'a'
ENTRIES = 3
"""


def test_constants_are_grouped_by_preceding_comment():
    blocks = read_blocks(SOURCE)
    assert [block.names for block in blocks] == [
        ['CONNECT_MS'],
        ['CACHE', 'ENTRIES'],
    ]
    assert blocks[1].comment == [
        'Name of the cache, and its',
        'maximum number of entries.',
    ]


def test_every_constant_has_a_reason():
    """No group of constants on the page lacks a comment."""
    page = render_page()
    assert '\n\n\n| constant |' not in page


def test_page_matches_the_code():
    """If this fails, run `python -m chicorybridge.tools.constants`."""
    assert PAGE_PATH.read_text() == render_page()
