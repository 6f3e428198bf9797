"""Messages about permits for requests of workspaces.

They are distinct from the permits of ejection in package `detection`, whose
messages have the shorter names.
"""

import dataclasses

from chicorybridge.common.codecs import wire_as
from chicorybridge.common.identities import HostId, WorkspaceId


@wire_as('WorkspacePermitRequest')
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PermitRequest:
    """Ask a granter for a permit; `number` is unique to the sender.

    A repetition with the same number gets the same reply.
    """

    number: int
    workspace_id: WorkspaceId


@wire_as('WorkspacePermitReply')
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PermitReply:
    """Give a permit, or tell after how long one is likely.

    `granter_id` is set instead if another host is the granter.
    """

    number: int
    is_granted: bool
    wait_ms: float = 0
    granter_id: HostId | None = None


@wire_as('WorkspacePermitReturn')
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PermitReturn:
    """Return the permit of a request that was not run."""

    number: int


@wire_as('WorkspacePermitHandover')
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PermitHandover:
    """Tell the next granter the levels of buckets by workspace."""

    levels_by_id: dict[WorkspaceId, float]
