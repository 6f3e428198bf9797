"""Answers of faulty targets: repeated, unnamed or cut off."""

import dataclasses

import curio
import pytest

from chicorybridge.http.servers import Request, ServerConnection
from chicorybridge.tests.hosts.deployments import (
    Origin,
    deployed,
    on_curio,
    until,
)

REFUSAL = b'HTTP/1.1 503 Busy\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n'
WHOLE = (
    b'HTTP/1.1 200 OK\r\n'
    b'X-Request-Id: r\r\n'
    b'X-Server-Signature: i-1\r\n'
    b'Content-Length: 2\r\n\r\nok'
)


@dataclasses.dataclass(kw_only=True)
class RawOrigin(Origin):
    """A target that runs requests and writes `answers` in turn.

    `%(id)b` is replaced by the request id. It closes the connection after
    the last one, and repeats that for further requests.
    """

    answers: list[bytes]

    async def answer(
        self, connection: ServerConnection, request: Request
    ) -> None:
        """Answer one request."""
        await connection.read_body()
        self.runs += 1
        request_id = request.headers_by_name['x-request-id'].encode()
        is_last = len(self.answers) == 1
        raw = self.answers[0] if is_last else self.answers.pop(0)
        await connection.send(raw.replace(b'%(id)b', request_id))
        if is_last:
            await connection.close()


@pytest.mark.parametrize(
    'repeated',
    [
        REFUSAL + b'\r\n',
        REFUSAL + b'X-Request-Id: r0\r\n\r\n',
        b'HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n',
        # Of an earlier request to the target that had the address before.
        b'HTTP/1.1 421 Misdirected\r\n'
        b'X-Instance-Id: i-1\r\nContent-Length: 0\r\n\r\n',
    ],
)
@on_curio
async def test_repeated_refusal_does_not_deny_that_a_request_has_run(repeated):
    origin = RawOrigin(
        target_id='i-1',
        answers=[REFUSAL + b'X-Request-Id: %(id)b\r\n\r\n', repeated],
    )
    other = Origin(target_id='i-2')
    async with deployed(origin, other) as deployment:
        while len(origin.answers) > 1:
            await deployment.send('/accept/7', method='POST', request_id='r0')
        other.runs = 0
        origin.runs = 0
        while not origin.runs:
            other.runs = 0
            # The target is avoided for a moment after a rejection.
            await curio.sleep(0.1)
            answer = await deployment.send('/accept/7', method='POST')
    assert answer.status == 502
    assert not other.runs


@pytest.mark.parametrize('cut_at', range(1, len(WHOLE), 7))
@on_curio
async def test_answer_that_ends_within_its_head_or_body_is_no_success(cut_at):
    origin = RawOrigin(target_id='i-1', answers=[WHOLE[:cut_at]])
    async with deployed(origin) as deployment:
        answer = await deployment.send('/accept/7', method='POST')
    assert answer.status == 502


@on_curio
async def test_answer_cut_after_a_whole_header_line_is_no_success():
    start = WHOLE.split(b'Content-Length')[0]
    origin = RawOrigin(target_id='i-1', answers=[start])
    async with deployed(origin) as deployment:
        answer = await deployment.send('/accept/7', method='POST')
        await until(lambda: origin.runs == 1)
    assert answer.status == 502
