"""Targets that left or were removed before the store came back from a copy."""

import dataclasses
from typing import TYPE_CHECKING

from chicorybridge import settings
from chicorybridge.common.identities import TargetId
from chicorybridge.fleet.store_versions import NO_VERSION, era_of, number_of

if TYPE_CHECKING:
    from chicorybridge.fleet.directories import TargetEntry


class EndedTargets:
    """Tell entries of a restored copy from those written since.

    The copy may list a target as it was before it left. Its entry counts as
    leaving until the target has written it in the current era.
    """

    def __init__(self) -> None:
        """Start without targets."""
        # The last entry of each target that left or was removed, with the
        # version of the store from which on that is known.
        self._ended_by_id: dict[TargetId, TargetEntry] = {}
        # The highest number of a version of the store that was seen.
        self._highest_number_by_era: dict[int, int] = {}

    def observe(self, store_version: int) -> None:
        """Record a version of the store that was read."""
        if store_version == NO_VERSION:
            return
        era = era_of(store_version)
        highest = self._highest_number_by_era.get(era, 0)
        self._highest_number_by_era[era] = max(
            highest, number_of(store_version)
        )

    def remember(self, entry: 'TargetEntry', *, version: int) -> None:
        """Record the entry of a target that had ended at `version`."""
        ended = self._ended_by_id.pop(entry.target_id, None)
        if ended is not None and ended.row_version > version:
            entry, version = ended, ended.row_version
        if len(self._ended_by_id) >= settings.MAX_ENDED_TARGETS:
            self._ended_by_id.pop(next(iter(self._ended_by_id)))
        self._ended_by_id[entry.target_id] = dataclasses.replace(
            entry, row_version=version
        )

    def as_known(self, entry: 'TargetEntry') -> 'TargetEntry':
        """Return an entry, leaving if it may be of the restored copy."""
        ended = self._ended_by_id.get(entry.target_id)
        if ended is None or ended.started_at_ms != entry.started_at_ms:
            return entry
        if era_of(ended.row_version) < era_of(entry.row_version):
            if self._is_written_since(entry, ended):
                return entry
            # The first that is known of the row in this era.
            self._ended_by_id[entry.target_id] = entry
        elif entry.row_version > ended.row_version:
            return entry
        return dataclasses.replace(entry, leaving=True)

    def _is_written_since(
        self, entry: 'TargetEntry', ended: 'TargetEntry'
    ) -> bool:
        """Return whether an entry that differs can't be of the copy.

        A copy of the era in which the target ended lists it as ended, if it
        has a row of that number or a higher one. An even older copy has no
        numbers above those that were seen in its era.
        """
        ended_era = era_of(ended.row_version)
        if era_of(entry.row_version) != ended_era + 1:
            return False
        highest_before = max(
            (
                number
                for era, number in self._highest_number_by_era.items()
                if era < ended_era
            ),
            default=NO_VERSION,
        )
        number = number_of(entry.row_version)
        return number >= number_of(ended.row_version) and (
            number > highest_before
        )
