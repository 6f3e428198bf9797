"""What is known of a request from its head and body."""

from types import SimpleNamespace
from typing import Any

import pytest

from chicorybridge.common.clocks import Millis
from chicorybridge.entry.calls import Call
from chicorybridge.http.exchanges import Head

BOUND = 1000


def _call(length: int | None, whole: bytes | None) -> Call:
    unused: Any = None
    body: Any = SimpleNamespace(whole=whole)
    service: Any = SimpleNamespace(max_body_bytes=BOUND)
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
    ('length', 'whole', 'expected'),
    [
        (7, None, 7),
        (0, b'', 0),
        # Sent in chunks and read whole, or still on its way.
        (None, b'abc', 3),
        (None, None, BOUND),
    ],
)
def test_length_of_a_body_is_told_or_read_or_bounded(length, whole, expected):
    assert _call(length, whole).body_bytes == expected
