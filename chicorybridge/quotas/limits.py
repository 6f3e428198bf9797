"""The bound on the requests of a workspace, and the buckets that keep it."""

import dataclasses

from chicorybridge.common.clocks import MILLIS_PER_SECOND
from chicorybridge.quotas.keys import CallerWorkspace
from chicorybridge.quotas.settings import (
    BUCKET_EXTRA_SHARE,
    MIN_BUCKET_TOKENS,
    QUOTA_WINDOW_MS,
)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class QuotaBounds:
    """Bound on the requests of a workspace on all hosts in any `window_ms`.

    It is (rate x window + burst) x (1 + `overage`) + `slack`.
    """

    window_ms: float = QUOTA_WINDOW_MS
    overage: float = 0
    slack: float = 0

    def most_requests(self, workspace: CallerWorkspace) -> float:
        """Return the bound for a workspace."""
        return self._limit(workspace) * (1 + self.overage) + self.slack

    def bucket_size(self, workspace: CallerWorkspace, *, zones: int) -> float:
        """Return the tokens that the bucket of each of `zones` may hold."""
        extra = self._limit(workspace) * self.overage + self.slack
        tokens = workspace.burst + extra * BUCKET_EXTRA_SHARE
        return max(MIN_BUCKET_TOKENS, tokens / zones)

    def _limit(self, workspace: CallerWorkspace) -> float:
        window_s = self.window_ms / MILLIS_PER_SECOND
        return workspace.rate_per_s * window_s + workspace.burst
