"""Tests of the command line of the stand-ins."""

import pytest
from cleo.testers.command_tester import CommandTester

from chicorybridge.standins.standins import PlatformCommand, TargetCommand


@pytest.mark.parametrize(
    ('command', 'options', 'expected'),
    [
        (PlatformCommand, '--listen nowhere', 'CB1003'),
        (PlatformCommand, '--listen 127.0.0.1:70000', 'CB1003'),
        (PlatformCommand, '--file /nowhere/tables', 'CB1003'),
        (TargetCommand, '--slots six', 'CB1003'),
        (TargetCommand, '--slots=-1', 'CB1004'),
        (TargetCommand, '--speed 0', 'speed'),
    ],
)
def test_bad_option_is_a_coded_error(command, options, expected):
    """The command prints the error and exits with status 1."""
    tester = CommandTester(command())
    assert tester.execute(options) == 1
    assert expected in tester.io.fetch_error()
