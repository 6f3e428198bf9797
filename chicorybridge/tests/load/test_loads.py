"""Tests of the command line of the load generator."""

import pathlib

import pytest
from cleo.testers.command_tester import CommandTester

from chicorybridge.load.loads import ReportCommand, RunCommand

EXPERIMENTS = pathlib.Path(__file__).parents[3] / 'experiments'
MIXED = EXPERIMENTS / 'mixed.ini'


@pytest.mark.parametrize(
    ('command', 'arguments', 'expected'),
    [
        (RunCommand, 'nowhere.ini', 'CB1007'),
        (RunCommand, f'{MIXED} --address entry-1', 'CB1003'),
        (RunCommand, f'{MIXED} --address entry-1=here', 'CB1003'),
        (RunCommand, f'{MIXED} --process entry=none', 'CB1003'),
        (RunCommand, f'{MIXED} --process entry=999999999', 'CB1003'),
        (RunCommand, f'{MIXED} --seed one', 'CB1003'),
        (RunCommand, f'{MIXED} --rate=-1', 'CB1004'),
        (RunCommand, f'{MIXED} --against nowhere.json', 'CB1003'),
        (ReportCommand, 'nowhere.json', 'CB1003'),
    ],
)
def test_bad_argument_is_a_coded_error(command, arguments, expected):
    """The command prints the error code and exits with status 1."""
    tester = CommandTester(command())
    assert tester.execute(arguments) == 1
    assert expected in tester.io.fetch_error()
