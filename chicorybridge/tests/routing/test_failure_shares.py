"""Tests of the share of recent attempts that failed."""

import pytest

from chicorybridge.common.clocks import Millis
from chicorybridge.common.identities import ServiceId
from chicorybridge.routing.failure_shares import FailureShares
from chicorybridge.routing.reputations import Sign
from chicorybridge.routing.settings import FAILURE_SHARE_MS

SERVICE = ServiceId('ledger')


def _record(shares: FailureShares, *signs: Sign, at: float) -> None:
    for sign in signs:
        shares.record(SERVICE, sign, now=Millis(at))


def test_share_is_that_of_requests_that_were_not_served():
    """Guards against doubted targets being tried while little fails."""
    shares = FailureShares()
    assert shares.of(SERVICE) == 0
    # Rejected and unreachable targets did not run the request.
    _record(shares, Sign.rejected, Sign.unreachable, at=0)
    assert shares.of(SERVICE) == 0
    _record(shares, *[Sign.answered] * 9, Sign.broke, at=0)
    assert shares.of(SERVICE) == pytest.approx(0.1)


def test_old_failures_count_less_than_new_answers():
    """Guards against doubted targets being tried long after a failure."""
    shares = FailureShares()
    _record(shares, *[Sign.broke] * 10, at=0)
    _record(shares, *[Sign.answered] * 10, at=5 * FAILURE_SHARE_MS)
    assert shares.of(SERVICE) == pytest.approx(0, abs=0.01)
