"""Tests of token buckets."""

from chicorybridge.common.buckets import TokenBucket
from chicorybridge.common.clocks import Millis


def test_bucket_refills_by_the_clock_up_to_its_burst():
    """Tokens come back at the rate and no further than the burst."""
    bucket = TokenBucket(per_second=10, burst=2)
    now = Millis(0)
    assert bucket.take(2, now=now)
    assert not bucket.take(now=now)
    assert bucket.wait_ms(now=now) == 100
    assert bucket.take(now=Millis(100))
    assert bucket.level(now=Millis(60_000)) == 2


def test_overspent_bucket_owes_what_was_used():
    """What was used already delays what comes next."""
    bucket = TokenBucket(per_second=10, burst=2)
    bucket.spend(12, now=Millis(0))
    assert not bucket.take(now=Millis(1000))
    assert bucket.take(now=Millis(1100))


def test_bucket_without_a_rate_never_refills():
    """A rate of 0 asks for an endless wait."""
    bucket = TokenBucket(per_second=0, burst=0)
    assert not bucket.take(now=Millis(5))
    assert bucket.wait_ms(1, now=Millis(5)) == 0
