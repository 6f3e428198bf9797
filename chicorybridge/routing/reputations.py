"""Probability that a target is sound, from the results on all hosts.

Gray targets alternate between working and failing every few seconds. Each
target is modelled as a two-state Markov chain, sound or gray. The result
of each request on any host updates the probability that it is sound;
without results, the probability decays to the prior, which is the share of
time in which targets are sound.
"""

import dataclasses
import math
from collections.abc import Callable, Mapping
from enum import Enum
from types import MappingProxyType

from chicorybridge import settings
from chicorybridge.common.clocks import Millis
from chicorybridge.common.codecs import wire
from chicorybridge.common.identities import TargetId


@wire
class Sign(Enum):
    """The result of one request at a target, as evidence of its state."""

    answered = 0
    # A status of 500 or more, which sound targets sometimes return, too.
    failed = 1
    # The connection ended before the complete answer.
    broke = 2
    # No answer for much longer than usual, or none before the deadline.
    stalled = 3
    # Rejected without being run, as the target has no free capacity.
    rejected = 4
    # No connection from this host; other hosts may still reach the target.
    unreachable = 5


# Likelihood of each sign for a sound and for a gray target.
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
    """Report the result of a request at a target to other hosts.

    `latency_ms` is the time to the complete answer, 0 without an answer.
    """

    target_id: TargetId
    sign: Sign
    latency_ms: int = 0


@dataclasses.dataclass(kw_only=True, slots=True)
class Reputation:
    """State of one target; `soundness` is its probability at `updated_at`."""

    soundness: float = settings.SOUND_SHARE
    updated_at: Millis = Millis(-math.inf)
    observed_at: Millis = Millis(-math.inf)
    answered_at: Millis = Millis(-math.inf)
    # From attempts of this host only: other hosts may reach the target.
    unreachable_until: Millis = Millis(-math.inf)
    unreachable_count: int = 0
    rejecting_until: Millis = Millis(-math.inf)

    def soundness_at(self, now: Millis) -> float:
        """Return the probability that the target is sound at `now`."""
        elapsed = now - self.updated_at
        remaining = math.exp(-elapsed / settings.REPUTATION_DECAY_MS)
        prior = settings.SOUND_SHARE
        return prior + (self.soundness - prior) * remaining

    def soundness_in_silence(self, now: Millis, sound_share: float) -> float:
        """Return the probability with a request in flight unanswered.

        Of the requests at sound targets, `sound_share` take longer.
        """
        soundness = self.soundness_at(now)
        gray_share = (
            settings.GRAY_FAILED_SHARE
            + (1 - settings.GRAY_FAILED_SHARE) * sound_share
        )
        sound = soundness * sound_share
        return sound / (sound + (1 - soundness) * gray_share)

    def update(self, sign: Sign, now: Millis) -> None:
        """Update the probability with the result of a request."""
        likelihoods = LIKELIHOODS.get(sign)
        if likelihoods is None:
            return
        soundness = self.soundness_at(now)
        sound = soundness * likelihoods[0]
        gray = (1 - soundness) * likelihoods[1]
        bounded = max(settings.MIN_SOUNDNESS, sound / (sound + gray))
        self.soundness = min(settings.MAX_SOUNDNESS, bounded)
        self.updated_at = now
        self.observed_at = now
        if sign is Sign.answered:
            self.answered_at = now


class ReputationTable:
    """Reputations of all targets; each host keeps one."""

    def __init__(self) -> None:
        """Start without targets."""
        self._reputations_by_id: dict[TargetId, Reputation] = {}
        # Returns whether a rejection only shows that several hosts chose the
        # same slot. If all hosts avoided the target, it would become idle and
        # others full.
        self.rejections_are_collisions: Callable[[], bool] = bool

    def of(self, target_id: TargetId) -> Reputation:
        """Return the reputation of a target, created on first use."""
        reputation = self._reputations_by_id.get(target_id)
        if reputation is None:
            reputation = Reputation()
            self._reputations_by_id[target_id] = reputation
        return reputation

    def remove(self, target_id: TargetId) -> None:
        """Remove a target that was deleted or restarted."""
        self._reputations_by_id.pop(target_id, None)

    def answered_since(self, target_id: TargetId, at: Millis) -> bool:
        """Return whether an answer of a target has been seen since `at`."""
        return self.of(target_id).answered_at >= at

    def adopt_estimate(
        self, target_id: TargetId, soundness: float, *, now: Millis
    ) -> None:
        """Set the soundness reported by another region.

        Ignored if this region has recent results of the target.
        """
        reputation = self.of(target_id)
        if now - reputation.observed_at > settings.REGION_SUMMARY_INTERVAL_MS:
            reputation.soundness = soundness
            reputation.updated_at = now

    def record_remote(self, seen: TargetSeen, *, now: Millis) -> None:
        """Record the result of a request of another host."""
        is_rejected = seen.sign is Sign.rejected
        if is_rejected and self.rejections_are_collisions():
            return
        reputation = self.of(seen.target_id)
        reputation.update(seen.sign, now)
        if is_rejected:
            self._pause_after_rejection(reputation, now)

    def record_own(self, seen: TargetSeen, *, now: Millis) -> None:
        """Record the result of an attempt of this host."""
        reputation = self.of(seen.target_id)
        if seen.sign is not Sign.rejected or not (
            self.rejections_are_collisions()
        ):
            reputation.update(seen.sign, now)
        match seen.sign:
            case Sign.answered:
                reputation.unreachable_count = 0
            case Sign.unreachable:
                self._back_off(reputation, now)
            case Sign.rejected:
                self._pause_after_rejection(reputation, now)

    def _back_off(self, reputation: Reputation, now: Millis) -> None:
        doublings = min(
            reputation.unreachable_count, settings.MAX_UNREACHABLE_DOUBLINGS
        )
        pause = settings.MIN_UNREACHABLE_PAUSE_MS * 2**doublings
        reputation.unreachable_count += 1
        reputation.unreachable_until = Millis(now + pause)

    def _pause_after_rejection(
        self, reputation: Reputation, now: Millis
    ) -> None:
        reputation.rejecting_until = Millis(now + settings.REJECTED_PAUSE_MS)
