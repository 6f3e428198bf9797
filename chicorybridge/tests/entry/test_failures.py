"""Tests of unexpected errors: the outcome that the caller gets."""

import pytest

from chicorybridge.tests.fronts import OK, answering, open_front

POST = (
    b'POST /quotes HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n'
    b'Connection: close\r\n\r\nwork'
)


def _fail(*args, **kwargs):
    raise LookupError('unexpected')


@pytest.mark.parametrize(
    ('step', 'runs', 'outcome'),
    [
        ('admit', 0, b'not-run'),
        ('pick', 0, b'not-run'),
        ('finished', 1, b'complete'),
    ],
)
async def test_unexpected_error_is_answered_with_the_correct_outcome(
    monkeypatch, caplog, step, runs, outcome
):
    async with open_front(answering(OK)) as front:
        monkeypatch.setattr(front.policies, step, _fail)
        answer = await front.exchange(POST)
        received = len(front.targets[0].received)
    assert answer.startswith(b'HTTP/1.1 503 ')
    assert b'chicorybridge-outcome: %s\r\n' % outcome in answer
    assert received == runs
    assert 'LookupError: unexpected' in caplog.text
