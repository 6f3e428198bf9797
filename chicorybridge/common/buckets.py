"""Token buckets: a rate with a burst, refilled by the clock."""

from chicorybridge.common.clocks import MILLIS_PER_SECOND, Millis

# Where a bucket starts if not told: the start of the clock.
START = Millis(0)


class TokenBucket:
    """Hold up to `burst` tokens, refilled by `per_second` a second."""

    __slots__ = ('per_second', 'burst', '_tokens', '_filled_at')

    def __init__(
        self, *, per_second: float, burst: float, now: Millis = START
    ) -> None:
        """Start full."""
        self.per_second = per_second
        self.burst = burst
        self._tokens = burst
        self._filled_at = now

    def take(self, tokens: float = 1, *, now: Millis) -> bool:
        """Take `tokens` and return true if so many are there."""
        self._fill(now)
        if self._tokens < tokens:
            return False
        self._tokens -= tokens
        return True

    def spend(self, tokens: float, *, now: Millis) -> None:
        """Take `tokens` that are used already; the level may go below 0."""
        self._fill(now)
        self._tokens -= tokens

    def level(self, *, now: Millis) -> float:
        """Return the tokens that are there, below 0 if overspent."""
        self._fill(now)
        return self._tokens

    def wait_ms(self, tokens: float = 1, *, now: Millis) -> float:
        """Return how long until `tokens` are there, at most a burst."""
        self._fill(now)
        missing = min(tokens, self.burst) - self._tokens
        if missing <= 0:
            return 0
        if self.per_second <= 0:
            return float('inf')
        return missing / self.per_second * MILLIS_PER_SECOND

    def _fill(self, now: Millis) -> None:
        elapsed = now - self._filled_at
        if elapsed <= 0:
            return
        added = elapsed * self.per_second / MILLIS_PER_SECOND
        self._tokens = min(self.burst, self._tokens + added)
        self._filled_at = now
