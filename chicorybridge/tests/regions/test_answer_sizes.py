"""The expected size of an answer keeps requests in the region."""

from types import SimpleNamespace
from typing import Any, cast

import pytest

from chicorybridge.common.identities import RouteId
from chicorybridge.hosts.policies import HostPolicies
from chicorybridge.routing.settings import INCLUDED_ANSWER_BYTES

LARGE_BYTES = 90_000


def _moved_bytes(answer_bytes: float) -> int:
    """Return the bytes that count for a request with a body of 10 bytes."""
    parts: dict[str, Any] = dict.fromkeys(
        (
            'clock',
            'selector',
            'allowances',
            'host_count',
            'reporter',
            'state',
            'latencies',
            'targets',
        )
    )
    policies = HostPolicies(answer_bytes=lambda _: answer_bytes, **parts)
    call = SimpleNamespace(
        body_bytes=10, route=SimpleNamespace(route_id=RouteId('r-1'))
    )
    return policies._moved_bytes(cast(Any, call))


@pytest.mark.parametrize('answer_bytes', [0, INCLUDED_ANSWER_BYTES])
def test_small_and_unknown_answers_cost_no_more_than_before(answer_bytes):
    """Fleets without large answers would choose other targets."""
    assert _moved_bytes(answer_bytes) == 10


def test_large_answer_counts_like_the_body_of_a_request():
    """Downloads filled the link between the regions."""
    beyond = LARGE_BYTES - INCLUDED_ANSWER_BYTES
    assert _moved_bytes(LARGE_BYTES) == 10 + beyond
