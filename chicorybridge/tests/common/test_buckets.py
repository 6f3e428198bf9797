"""Tests of token buckets."""

from chicorybridge.common.buckets import TokenBucket
from chicorybridge.common.clocks import Millis


def test_bucket_refills_at_its_rate_up_to_the_burst():
    """Tokens are added at the rate, and never beyond the burst."""
    bucket = TokenBucket(per_second=10, burst=2)
    now = Millis(0)
    assert bucket.take(2, now=now)
    assert not bucket.take(now=now)
    assert bucket.wait_ms(now=now) == 100
    assert bucket.take(now=Millis(100))
    assert bucket.level(now=Millis(60_000)) == 2


def test_overspent_bucket_refills_from_below_zero():
    """Tokens spent below 0 delay the next ones."""
    bucket = TokenBucket(per_second=10, burst=2)
    bucket.spend(12, now=Millis(0))
    assert not bucket.take(now=Millis(1000))
    assert bucket.take(now=Millis(1100))


def test_bucket_without_a_rate_never_refills():
    """No token can be taken, but the wait is 0.

    `wait_ms` waits only until the bucket is full; with burst 0 it always is.
    """
    bucket = TokenBucket(per_second=0, burst=0)
    assert not bucket.take(now=Millis(5))
    assert bucket.wait_ms(1, now=Millis(5)) == 0
