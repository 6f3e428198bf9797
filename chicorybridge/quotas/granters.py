"""Permits that this host grants for requests of workspaces.

In each zone one host is the granter of a workspace. Its token bucket has an
equal part of the rate and burst of the workspace, so that the buckets of all
zones together keep the bound; see `docs/design/quotas.md`.
"""

import dataclasses
import math
from collections import Counter
from collections.abc import Callable, Iterator, Mapping

from chicorybridge.common.buckets import TokenBucket
from chicorybridge.common.clocks import (
    MILLIS_PER_SECOND,
    Millis,
    as_seconds,
)
from chicorybridge.common.identities import HostId, WorkspaceId
from chicorybridge.quotas.keys import CallerWorkspace
from chicorybridge.quotas.limits import QuotaBounds
from chicorybridge.quotas.members import Members
from chicorybridge.quotas.messages import (
    PermitHandover,
    PermitReply,
    PermitRequest,
    PermitReturn,
)
from chicorybridge.quotas.settings import (
    GRANTER_PAUSE_MS,
    HANDOVER_BUCKETS,
    IDLE_BUCKET_MS,
    ISOLATION_CHECK_MS,
    MAX_REFUSAL_SPREAD_MS,
    MIN_REFUSAL_MS,
    PERMIT_MEMORY_MS,
)

# Returns the workspace as the newest configuration has it.
FindWorkspace = Callable[[WorkspaceId], CallerWorkspace | None]


@dataclasses.dataclass(kw_only=True, slots=True)
class GrantedNumber:
    """The reply to a numbered request, and whether the permit came back."""

    workspace_id: WorkspaceId
    reply: PermitReply
    replied_at: Millis
    is_returned: bool = False


@dataclasses.dataclass(kw_only=True, slots=True)
class WorkspaceBucket:
    """The bucket of a workspace in this zone, and when it was last used."""

    bucket: TokenBucket
    used_at: Millis
    # When the host that was refused last is to ask again.
    promised_at: Millis = Millis(-math.inf)

    def promise_ms(self, now: Millis) -> float:
        """Return after how long the next host that is refused asks again.

        Hosts get different times, or all would ask for the next token at once.
        """
        token_at = now + self.bucket.wait_ms(now=now)
        turn_at = self.promised_at + MILLIS_PER_SECOND / self.bucket.per_second
        latest_at = token_at + MAX_REFUSAL_SPREAD_MS
        self.promised_at = Millis(min(max(token_at, turn_at), latest_at))
        return max(MIN_REFUSAL_MS, self.promised_at - now)


class Granter:
    """The buckets of the workspaces of which this host is the granter."""

    def __init__(
        self,
        *,
        members: Members,
        find_workspace: FindWorkspace,
        zones: int,
        is_first_start: bool,
        now: Millis,
    ) -> None:
        """Start with empty buckets, or full ones if `is_first_start`."""
        self.bounds = QuotaBounds()
        # Requests by how they were replied to, for metrics.
        self.counts: Counter[str] = Counter()
        self._members = members
        self._find_workspace = find_workspace
        self._zones = zones
        # Buckets were empty then.
        self._emptied_at = Millis(-math.inf) if is_first_start else now
        # Ticks begin with the first configuration that has limits.
        self._ticked_at: Millis | None = None
        self._was_isolated = False
        self._isolation_check_at = now
        self._seen_changes = members.changes
        self._buckets_by_id: dict[WorkspaceId, WorkspaceBucket] = {}
        self._numbers: dict[tuple[HostId, int], GrantedNumber] = {}

    def __len__(self) -> int:
        """Return the number of buckets."""
        return len(self._buckets_by_id)

    def reply(
        self, request: PermitRequest, *, sender: HostId, now: Millis
    ) -> PermitReply:
        """Reply to a request for a permit."""
        self._check_pause(now)
        known = self._numbers.get((sender, request.number))
        if known is not None:
            self.counts['repeated'] += 1
            return known.reply
        reply = self._decide(request, now)
        self._numbers[sender, request.number] = GrantedNumber(
            workspace_id=request.workspace_id, reply=reply, replied_at=now
        )
        return reply

    def take_back(
        self, message: PermitReturn, *, sender: HostId, now: Millis
    ) -> None:
        """Put the token of an unused permit back, once."""
        known = self._numbers.get((sender, message.number))
        if known is None or known.is_returned or not known.reply.is_granted:
            return
        known.is_returned = True
        held = self._buckets_by_id.get(known.workspace_id)
        if held is not None:
            self.counts['returned'] += 1
            level = held.bucket.level(now=now)
            _set_level(held.bucket, level + 1, now)

    def receive_levels(self, message: PermitHandover, *, now: Millis) -> None:
        """Go on with the buckets of the previous granter."""
        for workspace_id, level in message.levels_by_id.items():
            is_new = workspace_id not in self._buckets_by_id
            held = self._held(workspace_id, now)
            if held is None or not math.isfinite(level):
                continue
            bucket = held.bucket
            # A new one is full if the news that this host is the granter comes
            # later than this message.
            least = 0 if is_new else bucket.level(now=now)
            _set_level(bucket, max(least, level), now)

    def tick(self, *, now: Millis) -> Iterator[tuple[HostId, PermitHandover]]:
        """Yield what is handed over to other granters; drop old records."""
        self._check_pause(now)
        self._members.update(now=now)
        self._check_isolation(now)
        if self._seen_changes != self._members.changes:
            self._seen_changes = self._members.changes
            yield from self._hand_over(now)
        self._drop_old(now)

    def _decide(self, request: PermitRequest, now: Millis) -> PermitReply:
        granter_id = self._members.own_granter(request.workspace_id, now=now)
        if granter_id != self._members.host_id:
            self.counts['referred'] += 1
            return PermitReply(
                number=request.number, is_granted=False, granter_id=granter_id
            )
        held = self._held(request.workspace_id, now)
        if held is None or held.bucket.take(now=now):
            self.counts['granted'] += 1
            return PermitReply(number=request.number, is_granted=True)
        self.counts['refused'] += 1
        wait_ms = held.promise_ms(now)
        return PermitReply(
            number=request.number, is_granted=False, wait_ms=round(wait_ms, 1)
        )

    def _held(
        self, workspace_id: WorkspaceId, now: Millis
    ) -> WorkspaceBucket | None:
        """Return the bucket, `None` if the workspace has no limit here."""
        workspace = self._find_workspace(workspace_id)
        if workspace is None or not workspace.is_limited:
            self._buckets_by_id.pop(workspace_id, None)
            return None
        rate_per_s = workspace.rate_per_s / self._zones
        rate_per_s *= self._members.reachable_share(now=now)
        size = self.bounds.bucket_size(workspace, zones=self._zones)
        held = self._buckets_by_id.get(workspace_id)
        if held is None:
            bucket = self._new_bucket(rate_per_s, size, now)
            held = WorkspaceBucket(bucket=bucket, used_at=now)
            self._buckets_by_id[workspace_id] = held
        held.used_at = now
        _resize(held.bucket, rate_per_s, size, now)
        return held

    def _new_bucket(
        self, rate_per_s: float, size: float, now: Millis
    ) -> TokenBucket:
        """Return a bucket that was empty when this host became granter.

        It did at the latest when the last host before it in the order of
        granters went away; hosts that come are never the reason.
        """
        bucket = TokenBucket(per_second=rate_per_s, burst=size, now=now)
        empty_at = max(self._emptied_at, self._members.shrunk_at)
        _set_level(bucket, as_seconds(now - empty_at) * rate_per_s, now)
        return bucket

    def _check_pause(self, now: Millis) -> None:
        """Empty all buckets if the process stood still.

        Another host may have been the granter meanwhile.
        """
        ticked_at = self._ticked_at
        if ticked_at is not None and now - ticked_at > GRANTER_PAUSE_MS:
            self._empty(now)
        self._ticked_at = now

    def _check_isolation(self, now: Millis) -> None:
        """Empty all buckets when no other host of the zone is heard any more.

        Others then have another granter, or soon will have.
        """
        if now < self._isolation_check_at:
            return
        self._isolation_check_at = Millis(now + ISOLATION_CHECK_MS)
        is_isolated = self._members.is_isolated(now=now)
        if is_isolated and not self._was_isolated:
            self._empty(now)
        self._was_isolated = is_isolated

    def _empty(self, now: Millis) -> None:
        self._emptied_at = now
        for held in self._buckets_by_id.values():
            _set_level(held.bucket, 0, now)

    def _hand_over(
        self, now: Millis
    ) -> Iterator[tuple[HostId, PermitHandover]]:
        levels_by_host: dict[HostId, dict[WorkspaceId, float]] = {}
        for workspace_id, held in tuple(self._buckets_by_id.items()):
            granter_id = self._members.own_granter(workspace_id, now=now)
            if granter_id == self._members.host_id:
                continue
            self._buckets_by_id.pop(workspace_id)
            levels = levels_by_host.setdefault(granter_id, {})
            levels[workspace_id] = round(held.bucket.level(now=now), 3)
        for host_id, levels in levels_by_host.items():
            for part in _parts(levels):
                yield host_id, PermitHandover(levels_by_id=part)

    def _drop_old(self, now: Millis) -> None:
        while self._numbers:
            key, oldest = next(iter(self._numbers.items()))
            if now - oldest.replied_at <= PERMIT_MEMORY_MS:
                break
            self._numbers.pop(key)
        for workspace_id, held in tuple(self._buckets_by_id.items()):
            if now - held.used_at > IDLE_BUCKET_MS:
                self._buckets_by_id.pop(workspace_id)


def _resize(
    bucket: TokenBucket, rate_per_s: float, size: float, now: Millis
) -> None:
    """Change the limits of a bucket; what it holds above them is lost."""
    level = bucket.level(now=now)
    bucket.per_second = rate_per_s
    bucket.burst = size
    _set_level(bucket, level, now)


def _set_level(bucket: TokenBucket, level: float, now: Millis) -> None:
    """Set the level of a bucket, at most to its size."""
    excess = bucket.level(now=now) - min(level, bucket.burst)
    bucket.spend(excess, now=now)


def _parts(
    levels: Mapping[WorkspaceId, float],
) -> Iterator[dict[WorkspaceId, float]]:
    pairs = tuple(levels.items())
    for start in range(0, len(pairs), HANDOVER_BUCKETS):
        yield dict(pairs[start : start + HANDOVER_BUCKETS])
