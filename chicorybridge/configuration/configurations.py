"""The configuration that an entry process uses for its requests."""

import dataclasses

from chicorybridge.common.codecs import unpack
from chicorybridge.common.identities import Digest, Version
from chicorybridge.configuration.declarations import Declaration
from chicorybridge.configuration.versions import DeclarationActivated
from chicorybridge.routing.routes import RouteTable


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ActiveConfiguration:
    """A configuration version, its declaration and its route table."""

    version: Version
    digest: Digest
    declaration: Declaration
    routes: RouteTable


def activate(message: DeclarationActivated) -> ActiveConfiguration:
    """Decode a declaration and build its route table."""
    declaration = unpack(message.body)
    return ActiveConfiguration(
        version=message.version,
        digest=message.digest,
        declaration=declaration,
        routes=RouteTable(declaration=declaration),
    )
