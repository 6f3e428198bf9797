"""Tests of the properties of calls."""

from types import SimpleNamespace
from typing import Any

import pytest

from chicorybridge.common.clocks import Millis
from chicorybridge.entry.calls import Call
from chicorybridge.http.exchanges import Head

MAX_BODY_BYTES = 1000


def _call(length: int | None, buffered: bytes | None) -> Call:
    unused: Any = None
    body: Any = SimpleNamespace(buffered=buffered)
    service: Any = SimpleNamespace(max_body_bytes=MAX_BODY_BYTES)
    return Call(
        exchange=unused,
        head=Head(method=b'POST', path=b'/', headers=[], length=length),
        body=body,
        route=unused,
        service=service,
        configuration=unused,
        idempotent=False,
        started_at=Millis(0),
        deadline_at=Millis(1),
    )


@pytest.mark.parametrize(
    ('length', 'buffered', 'expected'),
    [
        (7, None, 7),
        (0, b'', 0),
        # A chunked body: read completely, or not yet received.
        (None, b'abc', 3),
        (None, None, MAX_BODY_BYTES),
    ],
)
def test_body_bytes_falls_back_to_read_body_then_limit(
    length, buffered, expected
):
    assert _call(length, buffered).body_bytes == expected
