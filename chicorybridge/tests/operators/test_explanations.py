"""Explanations of a request from the logs of several hosts."""

import json

import pytest
from cleo.application import Application
from cleo.testers.command_tester import CommandTester

from chicorybridge.operators.explain_commands import ExplainCommand
from chicorybridge.operators.explanations import explain


def _log_line(at_ms: int, event: str, host: str = 'edge-1', **facts) -> str:
    record = {'number': 1, 'event': event, 'at_ms': at_ms, 'host': host}
    return json.dumps({**record, **facts})


LINES = (
    _log_line(9_500, 'target_gone', target='i-1'),
    _log_line(9_900, 'target_gone', target='i-9'),
    _log_line(10_200, 'request_ended', request='abc', status=502),
    _log_line(10_100, 'attempt_ended', request='abc', target='i-1'),
    _log_line(10_100, 'attempt_ended', request='other', target='i-2'),
    _log_line(9_800, 'target_gone', host='edge-2', target='i-1'),
    _log_line(1_000, 'target_listed', target='i-1'),
    'no record',
    '  12.3 edge-1 ' + _log_line(10_050, 'request_retried', request='abc'),
)


def test_records_of_a_request_are_sorted_by_time():
    explanation = explain('abc', LINES)
    assert [record['event'] for record in explanation.records] == [
        'request_retried',
        'attempt_ended',
        'request_ended',
    ]


def test_target_records_are_recent_and_from_the_same_host():
    explanation = explain('abc', LINES)
    assert [record['at_ms'] for record in explanation.target_records] == [9_500]


def test_line_that_names_many_targets_is_a_record_of_each():
    lines = (*LINES, _log_line(9_600, 'targets_listed', targets=['i-7', 'i-1']))
    explanation = explain('abc', lines)
    assert [record['at_ms'] for record in explanation.target_records] == [
        9_500,
        9_600,
    ]


def test_lines_without_a_record_are_counted():
    assert explain('abc', LINES).unreadable_lines == 1


@pytest.fixture(name='tester')
def _tester() -> CommandTester:
    application = Application()
    application.add(ExplainCommand())
    return CommandTester(application.find('explain'))


@pytest.mark.parametrize(
    ('request_id', 'status', 'code'),
    [('abc', 0, ''), ('missing', 1, 'CB5004')],
)
def test_exit_status_shows_whether_the_request_was_found(
    tester, tmp_path, request_id, status, code
):
    path = tmp_path / 'edge-1.log'
    path.write_text('\n'.join(LINES))
    assert tester.execute(f'{request_id} {path}') == status
    assert code in tester.io.fetch_error()


def test_unreadable_file_is_an_error(tester, tmp_path):
    assert tester.execute(f'abc {tmp_path}/none.log') == 1
    assert 'CB5005' in tester.io.fetch_error()


def test_command_prints_json(tester, tmp_path):
    path = tmp_path / 'edge-1.log'
    path.write_text('\n'.join(LINES))
    tester.execute(f'abc {path} --json')
    document = json.loads(tester.io.fetch_output())
    assert len(document['records']) == 3
    assert document['unreadable_lines'] == 1
