"""Token buckets: rate limits that allow a burst."""

from chicorybridge.common.clocks import MILLIS_PER_SECOND, Millis

# Default creation time of a bucket.
CLOCK_START = Millis(0)


class TokenBucket:
    """Hold up to `burst` tokens, refilled at `per_second` tokens a second."""

    __slots__ = ('per_second', 'burst', '_tokens', '_filled_at')

    def __init__(
        self, *, per_second: float, burst: float, now: Millis = CLOCK_START
    ) -> None:
        """Create a full bucket at the time `now`."""
        self.per_second = per_second
        self.burst = burst
        self._tokens = burst
        self._filled_at = now

    def take(self, tokens: float = 1, *, now: Millis) -> bool:
        """Take `tokens` and return `True` if that many are available."""
        self._refill(now)
        if self._tokens < tokens:
            return False
        self._tokens -= tokens
        return True

    def spend(self, tokens: float, *, now: Millis) -> None:
        """Take `tokens` that were used already; the level may fall below 0."""
        self._refill(now)
        self._tokens -= tokens

    def level(self, *, now: Millis) -> float:
        """Return the available tokens, below 0 after overspending."""
        self._refill(now)
        return self._tokens

    def wait_ms(self, tokens: float = 1, *, now: Millis) -> float:
        """Return the time in ms until `tokens` are available.

        For more tokens than `burst`, it is the time until the bucket is
        full. It is infinite if tokens are missing and the rate is 0.
        """
        self._refill(now)
        missing = min(tokens, self.burst) - self._tokens
        if missing <= 0:
            return 0
        if self.per_second <= 0:
            return float('inf')
        return missing / self.per_second * MILLIS_PER_SECOND

    def _refill(self, now: Millis) -> None:
        elapsed = now - self._filled_at
        if elapsed <= 0:
            return
        added = elapsed * self.per_second / MILLIS_PER_SECOND
        self._tokens = min(self.burst, self._tokens + added)
        self._filled_at = now
