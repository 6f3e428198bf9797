"""The declaration in force on this host, and the one it should fetch."""

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
    """A durable version together with its declaration."""

    head: HeadVersion
    declaration: Declaration


class VersionState:
    """Hold the version in force; it only ever grows.

    `is_settled` tells whether all work that contradicts a declaration is
    given up on this host.
    """

    def __init__(self, *, is_settled: Callable[[Declaration], bool]) -> None:
        """Start with no version."""
        self.active: ActiveVersion | None = None
        self.pending: HeadVersion | None = None
        self.confirmed: Version = NO_VERSION
        self._previous: ActiveVersion | None = None
        self._delta: bytes | None = None
        self._is_settled = is_settled

    @property
    def version(self) -> Version:
        """Return the version in force, 0 without one."""
        return self.active.head.version if self.active else NO_VERSION

    @property
    def digest(self) -> Digest:
        """Return the digest of the version in force."""
        return self.active.head.digest if self.active else NO_DIGEST

    @property
    def newest(self) -> HeadVersion | None:
        """Return the newest durable version known, held or not."""
        if self.pending:
            return self.pending
        return self.active.head if self.active else None

    @property
    def pending_digest(self) -> Digest:
        """Return the digest of the version to fetch."""
        return self.pending.digest if self.pending else NO_DIGEST

    def want(self, head: HeadVersion) -> bool:
        """Note a durable version; return whether it is news."""
        newest = self.newest
        if newest is None or head.version > newest.version:
            self.pending = head
            return True
        if head.version == newest.version:
            require(
                promise='a version has one body',
                holds=head.digest == newest.digest,
            )
        return False

    def activate(self, declaration: Declaration) -> ActiveVersion:
        """Put the wanted version in force, whole."""
        head = self.pending
        require(
            promise='an accepted configuration never reverts',
            holds=head is not None and head.version > self.version,
        )
        assert head is not None
        self._previous = self.active
        self._delta = None
        self.active = ActiveVersion(head=head, declaration=declaration)
        self.pending = None
        return self.active

    def confirm(self) -> bool:
        """Confirm the version in force once settled; say if just now."""
        if self.active is None or self.confirmed == self.version:
            return False
        if not self._is_settled(self.active.declaration):
            return False
        self.confirmed = self.version
        return True

    def read(self, sent: BodySent) -> Declaration | None:
        """Return the wanted declaration, `None` if the body is another.

        Raise `StreamError` on a body that is malformed.
        """
        if self.pending is None or sent.digest != self.pending.digest:
            return None
        if not sent.base:
            return self._whole(sent.body)
        if self.active is None or sent.base != self.active.head.digest:
            return None
        declaration = apply_delta(self.active.declaration, sent.body)
        matches = declaration.digest == sent.digest
        return declaration if matches else None

    def body_for(self, asked: BodyWanted) -> BodySent | None:
        """Return the body asked for, as a difference if that can be."""
        if self.active is None or asked.digest != self.active.head.digest:
            return None
        if self._previous and asked.active_digest == self._previous.head.digest:
            delta = self._difference(self._previous, self.active)
            if delta:
                return BodySent(
                    digest=asked.digest, base=asked.active_digest, body=delta
                )
        return BodySent(
            digest=asked.digest,
            base=NO_DIGEST,
            body=self.active.declaration.body,
        )

    def _whole(self, body: bytes) -> Declaration | None:
        if digest_of(body) != self.pending_digest:
            return None
        return declaration_from(body)

    def _difference(self, before: ActiveVersion, held: ActiveVersion) -> bytes:
        if self._delta is None:
            delta = make_delta(before.declaration, held.declaration)
            rebuilt = apply_delta(before.declaration, delta)
            # A table out of order cannot be rebuilt from its difference.
            whole = rebuilt.digest != held.head.digest
            self._delta = b'' if whole else delta
        return self._delta


def digest_of(body: bytes) -> Digest:
    """Return the digest under which a body is kept."""
    return Digest(hashlib.sha256(body).hexdigest())


def declaration_from(body: bytes) -> Declaration:
    """Decode a declaration; raise `StreamError` if it is none."""
    declaration = unpack(body)
    if not isinstance(declaration, Declaration):
        raise StreamError(
            code=ErrorCode.message_malformed, detail='no declaration'
        )
    return declaration
