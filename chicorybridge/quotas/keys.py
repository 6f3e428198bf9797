"""Workspaces and the digests of their keys.

Keys are kept and sent only as digests, so that no host can reveal them.
"""

import dataclasses
import hashlib
from collections.abc import Collection, Iterator, Mapping
from typing import TypeAlias

from chicorybridge.common.identities import WorkspaceId

# 128 bits: another key with the same digest can't be found by trying.
DIGEST_BYTES = 16
# Digests of keys differ from those of the same text for other uses.
DIGEST_PERSON = b'workspace-key'

# Joined digests of the keys, priority, requests per second and burst.
WorkspaceRow: TypeAlias = tuple[bytes, int | None, float, float]
WorkspaceRows: TypeAlias = Mapping[str, WorkspaceRow]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CallerWorkspace:
    """A workspace with keys.

    Its requests have the urgency `priority`, if set, before that of their
    routes. All hosts together run at most `rate_per_s` of them per second,
    plus `burst`; there is no limit if the rate is 0.
    """

    workspace_id: WorkspaceId
    priority: int | None = None
    rate_per_s: float = 0
    burst: float = 0

    @property
    def is_limited(self) -> bool:
        """Return whether the number of its requests is limited."""
        return self.rate_per_s > 0


def digest_of(key: bytes) -> bytes:
    """Return the digest of a key."""
    return hashlib.blake2b(
        key, digest_size=DIGEST_BYTES, person=DIGEST_PERSON
    ).digest()


class KeyTable:
    """Workspaces by the digests of their keys and by id."""

    def __init__(
        self,
        *,
        rows: WorkspaceRows,
        by_digest: dict[bytes, CallerWorkspace] | None = None,
        by_id: dict[str, CallerWorkspace] | None = None,
    ) -> None:
        """Add `rows` to the tables; raise `ValueError` if one is malformed."""
        self._by_digest = by_digest or {}
        self._by_id = by_id or {}
        self._add(rows)

    def find(self, key: bytes) -> CallerWorkspace | None:
        """Return the workspace that holds a key, or `None`."""
        return self._by_digest.get(digest_of(key))

    def by_id(self, workspace_id: WorkspaceId) -> CallerWorkspace | None:
        """Return the workspace with an id, or `None`."""
        return self._by_id.get(workspace_id)

    def patched(
        self,
        before: WorkspaceRows,
        *,
        changed: WorkspaceRows,
        removed: Collection[str],
    ) -> 'KeyTable':
        """Return a table with the rows changed; `before` has the old ones."""
        by_digest = dict(self._by_digest)
        by_id = dict(self._by_id)
        for name in (*removed, *changed):
            if by_id.pop(name, None) is None:
                continue
            for digest in _split(before[name][0]):
                # An error would name the digest.
                by_digest.pop(digest, None)
        return KeyTable(rows=changed, by_digest=by_digest, by_id=by_id)

    def _add(self, rows: WorkspaceRows) -> None:
        count = len(self._by_digest)
        for name, (digests, priority, rate_per_s, burst) in rows.items():
            workspace = CallerWorkspace(
                workspace_id=WorkspaceId(name),
                priority=priority,
                rate_per_s=rate_per_s,
                burst=burst,
            )
            self._by_id[name] = workspace
            for digest in _split(digests):
                self._by_digest[digest] = workspace
                count += 1
        if count != len(self._by_digest):
            # The digest isn't named: this text is logged.
            raise ValueError('two workspaces have the same key')


def _split(digests: bytes) -> Iterator[bytes]:
    if len(digests) % DIGEST_BYTES:
        raise ValueError('joined digests have an odd length')
    for start in range(0, len(digests), DIGEST_BYTES):
        yield digests[start : start + DIGEST_BYTES]
