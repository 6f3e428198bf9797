"""How likely a target is to answer now, from what all hosts saw of it.

Gray targets work and fail by turns of seconds. Each target is a chain of
two states, sound and gray; what any host sees of it shifts the
probability that it is sound, and time without news lets it return to
the share of time that targets are sound.
"""

import dataclasses
import math
from collections import deque
from collections.abc import Mapping
from enum import Enum
from types import MappingProxyType

from chicorybridge import settings
from chicorybridge.common.clocks import Millis
from chicorybridge.common.codecs import wire
from chicorybridge.common.identities import TargetId


@wire
class Sign(Enum):
    """What one request showed of a target."""

    answered = 0
    # An answer with a status of 500 or more: sound targets have some, too.
    failed = 1
    # The connection ended before the answer, or nothing came in time.
    broke = 2
    # No answer for much longer than usual; the request goes on.
    stalled = 3
    # Rejected without being run: the target is full.
    rejected = 4
    # No connection: true for this host's path, perhaps for no other.
    unreachable = 5


# How likely each sign is of a sound and of a gray target.
LIKELIHOODS: Mapping[Sign, tuple[float, float]] = MappingProxyType(
    {
        Sign.answered: (
            settings.SOUND_ANSWERED_SHARE,
            settings.GRAY_ANSWERED_SHARE,
        ),
        Sign.failed: (settings.SOUND_FAILED_SHARE, settings.GRAY_FAILED_SHARE),
        Sign.broke: (settings.SOUND_BROKEN_SHARE, settings.GRAY_FAILED_SHARE),
        Sign.stalled: (
            settings.SOUND_STALLED_SHARE,
            settings.GRAY_FAILED_SHARE,
        ),
        Sign.rejected: (
            settings.SOUND_REJECTED_SHARE,
            settings.GRAY_REJECTED_SHARE,
        ),
    }
)


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TargetSeen:
    """Tell other hosts how a request fared at a target.

    `latency_ms` is the time to the whole answer, 0 without one.
    """

    target_id: TargetId
    sign: Sign
    latency_ms: int = 0


@dataclasses.dataclass(kw_only=True, slots=True)
class Reputation:
    """What is known of one target; `soundness` is as of `moved_at`."""

    soundness: float = settings.SOUND_SHARE
    moved_at: Millis = Millis(-math.inf)
    seen_at: Millis = Millis(-math.inf)
    # Own attempts only: others may well reach the target.
    unreachable_until: Millis = Millis(-math.inf)
    unreachable_turns: int = 0
    rejecting_until: Millis = Millis(-math.inf)
    # When requests of other hosts ended here, and how long they took.
    served: deque[tuple[Millis, float]] = dataclasses.field(
        default_factory=deque
    )

    def sound_at(self, now: Millis) -> float:
        """Return the probability that the target is sound now."""
        elapsed = now - self.moved_at
        kept = math.exp(-elapsed / settings.REPUTATION_DECAY_MS)
        prior = settings.SOUND_SHARE
        return prior + (self.soundness - prior) * kept

    def observe(self, sign: Sign, now: Millis) -> None:
        """Shift the probability by what was seen."""
        likelihoods = LIKELIHOODS.get(sign)
        if likelihoods is None:
            return
        sound = self.sound_at(now) * likelihoods[0]
        gray = (1 - self.sound_at(now)) * likelihoods[1]
        bounded = max(settings.MIN_SOUNDNESS, sound / (sound + gray))
        self.soundness = min(settings.MAX_SOUNDNESS, bounded)
        self.moved_at = now
        self.seen_at = now

    def latencies_at(self, now: Millis) -> list[float]:
        """Return how long the requests took that ended lately, in ms."""
        horizon = now - settings.LATENCY_WINDOW_MS
        while self.served and self.served[0][0] < horizon:
            self.served.popleft()
        return [latency for _, latency in self.served]


class ReputationTable:
    """Reputations of all targets; each host keeps one."""

    def __init__(self) -> None:
        """Start without targets."""
        self._reputations_by_id: dict[TargetId, Reputation] = {}

    def of(self, target_id: TargetId) -> Reputation:
        """Return what is known of a target."""
        known = self._reputations_by_id.get(target_id)
        if known is None:
            known = Reputation()
            self._reputations_by_id[target_id] = known
        return known

    def forget(self, target_id: TargetId) -> None:
        """Forget a target that is gone, or that has started anew."""
        self._reputations_by_id.pop(target_id, None)

    def adopt(
        self, target_id: TargetId, soundness: float, *, now: Millis
    ) -> None:
        """Take over what another region knows, unless more is known here."""
        reputation = self.of(target_id)
        if now - reputation.seen_at > settings.REGION_SUMMARY_INTERVAL_MS:
            reputation.soundness = soundness
            reputation.moved_at = now

    def hear(self, seen: TargetSeen, *, now: Millis) -> None:
        """Take in what another host saw."""
        reputation = self.of(seen.target_id)
        reputation.observe(seen.sign, now)
        if seen.sign is Sign.answered:
            reputation.served.append((now, seen.latency_ms))
        elif seen.sign is Sign.rejected:
            self._pause(reputation, now)

    def see(self, seen: TargetSeen, *, now: Millis) -> None:
        """Take in what an attempt of this host showed."""
        reputation = self.of(seen.target_id)
        reputation.observe(seen.sign, now)
        match seen.sign:
            case Sign.answered:
                reputation.served.append((now, seen.latency_ms))
                reputation.unreachable_turns = 0
            case Sign.unreachable:
                self._avoid(reputation, now)
            case Sign.rejected:
                self._pause(reputation, now)

    def _avoid(self, reputation: Reputation, now: Millis) -> None:
        turns = min(
            reputation.unreachable_turns, settings.MAX_UNREACHABLE_DOUBLINGS
        )
        pause = settings.MIN_UNREACHABLE_PAUSE_MS * 2**turns
        reputation.unreachable_turns += 1
        reputation.unreachable_until = Millis(now + pause)

    def _pause(self, reputation: Reputation, now: Millis) -> None:
        reputation.rejecting_until = Millis(now + settings.REJECTED_PAUSE_MS)
