"""Targets that are leaving, as seen by one entry process."""

from chicorybridge import settings
from chicorybridge.common.attempts import Attempt
from chicorybridge.common.clocks import Millis
from chicorybridge.common.identities import TargetId


class LeavingTargets:
    """Combine the targets announced by the host with own signs.

    A sign is an answer in which the target says that it is leaving. It
    takes effect at once, before the host announces the target.
    """

    def __init__(self) -> None:
        """Start with no target leaving."""
        # As announced by the control process of the host.
        self.announced: frozenset[TargetId] = frozenset()
        self._last_sign_at: dict[TargetId, Millis] = {}
        self._unreported: list[Attempt] = []

    @property
    def target_ids(self) -> frozenset[TargetId]:
        """Return the targets that get no new requests."""
        return self.announced | self._last_sign_at.keys()

    def record(self, attempt: Attempt, *, now: Millis) -> None:
        """Record an attempt whose answer shows that the target is leaving."""
        if attempt.target_id not in self._last_sign_at:
            self._unreported.append(attempt)
        self._last_sign_at[attempt.target_id] = now

    def take_unreported(self) -> tuple[Attempt, ...]:
        """Return and clear the signs not yet reported to the host."""
        signs = tuple(self._unreported)
        self._unreported.clear()
        return signs

    def expire(self, *, now: Millis) -> bool:
        """Drop expired signs and return whether there were any.

        The host has announced their targets by then.
        """
        expired = [
            target_id
            for target_id, last_sign_at in self._last_sign_at.items()
            if now - last_sign_at > settings.LEAVING_SIGN_TTL_MS
        ]
        for target_id in expired:
            self._last_sign_at.pop(target_id)
        return bool(expired)
