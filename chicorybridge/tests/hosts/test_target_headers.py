"""Headers in which targets say how they want to be used."""

import dataclasses

import curio
import pytest

from chicorybridge.http.servers import Request, Response, ServerConnection
from chicorybridge.tests.hosts.deployments import (
    Origin,
    deployed,
    on_curio,
)


@dataclasses.dataclass(kw_only=True)
class SpeakingOrigin(Origin):
    """A target that adds `headers_by_name` to its answers."""

    headers_by_name: dict[str, str] = dataclasses.field(default_factory=dict)

    async def answer(
        self, connection: ServerConnection, request: Request
    ) -> None:
        """Answer one request."""
        await connection.read_body()
        self.runs += 1
        headers = {
            'X-Request-Id': request.headers_by_name['x-request-id'],
            'X-Server-Signature': self.target_id,
            **self.headers_by_name,
        }
        await connection.respond(
            Response(status=self.status, headers_by_name=headers, body=b'ok')
        )


@pytest.mark.xfail(strict=True, reason='KNOWN-RED: header is not read')
@on_curio
async def test_target_that_says_in_an_answer_that_it_leaves_gets_no_more():
    leaving = SpeakingOrigin(
        target_id='i-1', headers_by_name={'Server-Leaving': '1'}
    )
    async with deployed(leaving, Origin(target_id='i-2')) as deployment:
        while not leaving.runs:
            await deployment.send('/lookup/7')
        leaving.runs = 0
        await deployment.send_concurrently(12)
    assert not leaving.runs


@pytest.mark.xfail(strict=True, reason='KNOWN-RED: header is not read')
@on_curio
async def test_target_gets_no_more_than_the_limit_that_it_names():
    limited = SpeakingOrigin(
        target_id='i-1', headers_by_name={'Server-Limit': '2.0'}
    )
    async with deployed(limited) as deployment:
        await deployment.send('/lookup/7')
        await curio.sleep(0.5)
        limited.runs = 0
        await deployment.send_concurrently(20)
    assert 1 <= limited.runs <= 4
