"""The declaration in force on this host, and the one it should fetch."""

import dataclasses
import hashlib
from collections.abc import Callable

from chicorybridge.common.codecs import unpack
from chicorybridge.common.errors import ErrorCode, StreamError, require
from chicorybridge.common.identities import NO_VERSION, Digest, Version
from chicorybridge.configuration.declarations import Declaration
from chicorybridge.configuration.deltas import difference, patched
from chicorybridge.configuration.versions import (
    BodySent,
    BodyWanted,
    HeadVersion,
)

NO_DIGEST = Digest('')


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Held:
    """A durable version together with its declaration."""

    head: HeadVersion
    declaration: Declaration


class Holdings:
    """Hold the version in force; it only ever grows.

    `settled` tells whether all work that contradicts a declaration is
    given up on this host.
    """

    def __init__(self, *, settled: Callable[[Declaration], bool]) -> None:
        """Start with no version."""
        self.held: Held | None = None
        self.wanted: HeadVersion | None = None
        self.confirmed: Version = NO_VERSION
        self._before: Held | None = None
        self._delta: bytes | None = None
        self._settled = settled

    @property
    def version(self) -> Version:
        """Return the version in force, 0 without one."""
        return self.held.head.version if self.held else NO_VERSION

    @property
    def digest(self) -> Digest:
        """Return the digest of the version in force."""
        return self.held.head.digest if self.held else NO_DIGEST

    @property
    def newest(self) -> HeadVersion | None:
        """Return the newest durable version known, held or not."""
        if self.wanted:
            return self.wanted
        return self.held.head if self.held else None

    @property
    def wanted_digest(self) -> Digest:
        """Return the digest of the version to fetch."""
        return self.wanted.digest if self.wanted else NO_DIGEST

    def want(self, head: HeadVersion) -> bool:
        """Note a durable version; return whether it is news."""
        newest = self.newest
        if newest is None or head.version > newest.version:
            self.wanted = head
            return True
        if head.version == newest.version:
            require(
                promise='a version has one body',
                holds=head.digest == newest.digest,
            )
        return False

    def activate(self, declaration: Declaration) -> Held:
        """Put the wanted version in force, whole."""
        head = self.wanted
        require(
            promise='an accepted configuration never reverts',
            holds=head is not None and head.version > self.version,
        )
        assert head is not None
        self._before = self.held
        self._delta = None
        self.held = Held(head=head, declaration=declaration)
        self.wanted = None
        return self.held

    def confirm(self) -> bool:
        """Confirm the version in force once settled; say if just now."""
        if self.held is None or self.confirmed == self.version:
            return False
        if not self._settled(self.held.declaration):
            return False
        self.confirmed = self.version
        return True

    def read(self, sent: BodySent) -> Declaration | None:
        """Return the wanted declaration, `None` if the body is another.

        Raise `StreamError` on a body that is malformed.
        """
        if self.wanted is None or sent.digest != self.wanted.digest:
            return None
        if not sent.base:
            return self._whole(sent.body)
        if self.held is None or sent.base != self.held.head.digest:
            return None
        declaration = patched(self.held.declaration, sent.body)
        matches = declaration.digest == sent.digest
        return declaration if matches else None

    def body_for(self, asked: BodyWanted) -> BodySent | None:
        """Return the body asked for, as a difference if that can be."""
        if self.held is None or asked.digest != self.held.head.digest:
            return None
        if self._before and asked.held == self._before.head.digest:
            delta = self._difference(self._before, self.held)
            if delta:
                return BodySent(
                    digest=asked.digest, base=asked.held, body=delta
                )
        return BodySent(
            digest=asked.digest,
            base=NO_DIGEST,
            body=self.held.declaration.body,
        )

    def _whole(self, body: bytes) -> Declaration | None:
        if digest_of(body) != self.wanted_digest:
            return None
        return declaration_from(body)

    def _difference(self, before: Held, held: Held) -> bytes:
        if self._delta is None:
            delta = difference(before.declaration, held.declaration)
            rebuilt = patched(before.declaration, delta)
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
