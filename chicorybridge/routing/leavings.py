"""Targets that are leaving, as one entry process knows them."""

from chicorybridge import settings
from chicorybridge.common.attempts import Attempt
from chicorybridge.common.clocks import Millis
from chicorybridge.common.identities import TargetId


class LeavingTargets:
    """Join what the host says with signs seen here, believed at once."""

    def __init__(self) -> None:
        """Start with no target leaving."""
        # As the control process of the host says.
        self.told: frozenset[TargetId] = frozenset()
        self._signed_at: dict[TargetId, Millis] = {}
        self._new: list[Attempt] = []

    @property
    def target_ids(self) -> frozenset[TargetId]:
        """Return the targets that get no new work."""
        return self.told | self._signed_at.keys()

    def note(self, attempt: Attempt, *, now: Millis) -> None:
        """Take in an attempt whose answer said that the target leaves."""
        if attempt.target_id not in self._signed_at:
            self._new.append(attempt)
        self._signed_at[attempt.target_id] = now

    def take_new(self) -> tuple[Attempt, ...]:
        """Return the signs that the host was not told of yet."""
        signs = tuple(self._new)
        self._new.clear()
        return signs

    def forget(self, *, now: Millis) -> bool:
        """Drop old signs, which the host has told by now; tell if any."""
        old = [
            target_id
            for target_id, signed_at in self._signed_at.items()
            if now - signed_at > settings.LEAVING_SIGN_TTL_MS
        ]
        for target_id in old:
            self._signed_at.pop(target_id)
        return bool(old)
