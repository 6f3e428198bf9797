"""The page of constants and the comments that it is made of."""

from chicorybridge.tools.constants import PAGE, read_blocks, whole_page

SOURCE = """
# How long a song may be silent.
SILENCE_MS = 250

# Where it is kept, and for
# how many plays.
SHELF = 'a'
PLAYS = 3
"""


def test_constants_stand_under_the_comment_before_them():
    blocks = read_blocks(SOURCE)
    assert [block.names for block in blocks] == [
        ['SILENCE_MS'],
        ['SHELF', 'PLAYS'],
    ]
    assert blocks[1].comment == ['Where it is kept, and for', 'how many plays.']


def test_every_constant_has_a_reason():
    """A block without a comment would leave its constants unexplained."""
    page = whole_page()
    assert '\n\n\n| constant |' not in page


def test_page_is_what_the_code_says():
    """If this fails, run `python -m chicorybridge.tools.constants`."""
    assert PAGE.read_text() == whole_page()
