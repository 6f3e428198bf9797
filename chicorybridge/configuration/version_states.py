"""The configuration version active on this host, and the pending one."""

import dataclasses
import hashlib
from collections.abc import Callable

from chicorybridge.common.codecs import unpack
from chicorybridge.common.errors import ErrorCode, StreamError, require
from chicorybridge.common.identities import NO_VERSION, Digest, Version
from chicorybridge.configuration.declarations import Declaration
from chicorybridge.configuration.deltas import apply_delta, make_delta
from chicorybridge.configuration.versions import (
    BodySent,
    BodyWanted,
    HeadVersion,
)

NO_DIGEST = Digest('')


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ActiveVersion:
    """A version that is active on this host, with its declaration."""

    head: HeadVersion
    declaration: Declaration


class VersionState:
    """Configuration versions as they stand on this host.

    `active` is in use here, and its version only increases. `pending` is a
    newer durable version whose body has yet to be fetched. `confirmed` is
    the last version for which no conflicting work is left on this host.
    """

    def __init__(self, *, is_settled: Callable[[Declaration], bool]) -> None:
        """Start with no version.

        `is_settled` returns whether all work on this host that conflicts
        with a declaration has ended.
        """
        self.active: ActiveVersion | None = None
        self.pending: HeadVersion | None = None
        self.confirmed: Version = NO_VERSION
        self._previous: ActiveVersion | None = None
        # Delta from the previous to the active version: `None` until it is
        # first needed, empty if it cannot be used.
        self._delta: bytes | None = None
        self._is_settled = is_settled

    @property
    def version(self) -> Version:
        """Return the active version, 0 without one."""
        return self.active.head.version if self.active else NO_VERSION

    @property
    def digest(self) -> Digest:
        """Return the digest of the active version, empty without one."""
        return self.active.head.digest if self.active else NO_DIGEST

    @property
    def newest(self) -> HeadVersion | None:
        """Return the newest durable version known: pending, else active."""
        if self.pending:
            return self.pending
        return self.active.head if self.active else None

    @property
    def pending_digest(self) -> Digest:
        """Return the digest of the pending version, empty without one."""
        return self.pending.digest if self.pending else NO_DIGEST

    def record_head(self, head: HeadVersion) -> bool:
        """Record a durable version; return whether it is newer."""
        newest = self.newest
        if newest is None or head.version > newest.version:
            self.pending = head
            return True
        if head.version == newest.version:
            require(
                promise='a configuration version has exactly one body',
                holds=head.digest == newest.digest,
            )
        return False

    def activate(self, declaration: Declaration) -> ActiveVersion:
        """Make the pending version active with its complete declaration."""
        head = self.pending
        require(
            promise='the version of the active configuration only increases',
            holds=head is not None and head.version > self.version,
        )
        assert head is not None
        self._previous = self.active
        self._delta = None
        self.active = ActiveVersion(head=head, declaration=declaration)
        self.pending = None
        return self.active

    def confirm(self) -> bool:
        """Confirm the active version if settled; return whether it did so."""
        if self.active is None or self.confirmed == self.version:
            return False
        if not self._is_settled(self.active.declaration):
            return False
        self.confirmed = self.version
        return True

    def decode_body(self, sent: BodySent) -> Declaration | None:
        """Decode the body of the pending version.

        Return `None` if the body does not have the digest of that version,
        or is a delta to a version that is not active here. Raise
        `StreamError` if the body is malformed.
        """
        if self.pending is None or sent.digest != self.pending.digest:
            return None
        if not sent.base:
            return self._decode_full(sent.body)
        if self.active is None or sent.base != self.active.head.digest:
            return None
        declaration = apply_delta(self.active.declaration, sent.body)
        matches = declaration.digest == sent.digest
        return declaration if matches else None

    def body_for(self, request: BodyWanted) -> BodySent | None:
        """Return the requested body, as a delta if possible.

        Return `None` if that version is not active here.
        """
        if self.active is None or request.digest != self.active.head.digest:
            return None
        if (
            self._previous
            and request.active_digest == self._previous.head.digest
        ):
            delta = self._delta_to_active(self._previous, self.active)
            if delta:
                return BodySent(
                    digest=request.digest,
                    base=request.active_digest,
                    body=delta,
                )
        return BodySent(
            digest=request.digest,
            base=NO_DIGEST,
            body=self.active.declaration.body,
        )

    def _decode_full(self, body: bytes) -> Declaration | None:
        if digest_of(body) != self.pending_digest:
            return None
        return decode_declaration(body)

    def _delta_to_active(
        self, previous: ActiveVersion, active: ActiveVersion
    ) -> bytes:
        if self._delta is None:
            delta = make_delta(previous.declaration, active.declaration)
            rebuilt = apply_delta(previous.declaration, delta)
            # Applying a delta sorts all tables by id. A declaration with
            # unsorted tables is sent in full.
            differs = rebuilt.digest != active.head.digest
            self._delta = b'' if differs else delta
        return self._delta


def digest_of(body: bytes) -> Digest:
    """Return the hexadecimal SHA-256 of a body."""
    return Digest(hashlib.sha256(body).hexdigest())


def decode_declaration(body: bytes) -> Declaration:
    """Decode a declaration; raise `StreamError` if the body is not one."""
    declaration = unpack(body)
    if not isinstance(declaration, Declaration):
        raise StreamError(
            code=ErrorCode.message_malformed,
            detail='the body is not a declaration',
        )
    return declaration
