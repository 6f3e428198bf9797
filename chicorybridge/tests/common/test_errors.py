"""Tests of errors and of their catalogue."""

import pathlib
import re

import pytest

from chicorybridge.common.errors import ErrorCode, PromiseError, require

CATALOGUE = pathlib.Path(__file__).parents[3] / 'docs' / 'errors.md'
ROW = re.compile(r'^\| (CB\d+) \| (\w+) \|', re.MULTILINE)


def test_catalogue_lists_every_error_and_no_other():
    """The page and the code name the same errors."""
    listed = set(ROW.findall(CATALOGUE.read_text()))
    assert listed == {(code.value, code.name) for code in ErrorCode}


def test_broken_promise_names_itself():
    """The error says which promise does not hold."""
    with pytest.raises(PromiseError, match='a request runs once'):
        require(promise='a request runs once', holds=False)
