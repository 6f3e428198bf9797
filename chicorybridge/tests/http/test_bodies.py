"""Bodies of requests that are buffered or streamed."""

from types import SimpleNamespace
from typing import Any

from chicorybridge.common.clocks import ManualClock
from chicorybridge.http.bodies import RequestBody
from chicorybridge.http.byte_budgets import UNLIMITED
from chicorybridge.tests.hosts.deployments import on_curio


def _body(*chunks: bytes, buffer_bytes: int) -> RequestBody:
    left = list(chunks)

    async def read_chunk() -> bytes:  # noqa: WPS430
        return left.pop(0) if left else b''

    exchange: Any = SimpleNamespace(read_chunk=read_chunk, budget=UNLIMITED)
    head: Any = SimpleNamespace(length=None, headers=[], path=b'/')
    return RequestBody(
        exchange=exchange,
        head=head,
        max_bytes=1000,
        clock=ManualClock(),
        buffer_bytes=buffer_bytes,
    )


@on_curio
async def test_body_that_was_read_ahead_can_be_sent_again():
    body = _body(b'ab', b'cd', buffer_bytes=10)
    await body.read_ahead()
    assert body.buffered == b'abcd'


@on_curio
async def test_body_that_was_streamed_is_not_sent_again_without_its_bytes():
    body = _body(b'ab', b'cd', buffer_bytes=2)
    await body.read_ahead()
    assert body.buffered is None
    while await body.next_chunk():
        assert body.buffered is None
    assert body.ended
    assert body.buffered is None
