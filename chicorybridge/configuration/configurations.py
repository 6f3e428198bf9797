"""The configuration that governs a process."""

import dataclasses

from chicorybridge.common.codecs import unpack
from chicorybridge.common.identities import Digest, Version
from chicorybridge.configuration.declarations import Declaration
from chicorybridge.configuration.versions import DeclarationActivated
from chicorybridge.routing.routes import RouteTable


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ActiveConfiguration:
    """A version with its declaration and what is derived from it."""

    version: Version
    digest: Digest
    declaration: Declaration
    routes: RouteTable


def activate(sent: DeclarationActivated) -> ActiveConfiguration:
    """Derive what requests need from a declaration."""
    declaration = unpack(sent.body)
    return ActiveConfiguration(
        version=sent.version,
        digest=sent.digest,
        declaration=declaration,
        routes=RouteTable(declaration=declaration),
    )
