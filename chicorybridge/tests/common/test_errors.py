"""Error codes and their documentation."""

import pathlib
import re

import pytest

from chicorybridge.common.errors import ErrorCode, PromiseError, require

PAGE = pathlib.Path(__file__).parents[3] / 'docs' / 'errors.md'
ROW = re.compile(r'^\| (CB\d+) \| (\w+) \|', re.MULTILINE)


def test_page_lists_exactly_the_errors_of_the_code():
    """docs/errors.md lists each error with its number."""
    listed = set(ROW.findall(PAGE.read_text()))
    assert listed == {(code.value, code.name) for code in ErrorCode}


def test_error_names_the_violated_invariant():
    """The message has the description of the invariant."""
    with pytest.raises(PromiseError, match='a request runs once'):
        require(promise='a request runs once', holds=False)
