"""One apply under way: its stage, its requests and what is told of it."""

import dataclasses

from chicorybridge.common.clocks import Millis
from chicorybridge.common.errors import StreamError
from chicorybridge.common.identities import NO_VERSION, HostId
from chicorybridge.configuration.declarations import Declaration
from chicorybridge.configuration.heads import read_version, write_version
from chicorybridge.configuration.version_states import NO_DIGEST, digest_of
from chicorybridge.configuration.versions import (
    ApplyProgress,
    ApplyRequested,
    ApplyStage,
    ApplyWatched,
    HeadVersion,
    HostStatus,
    LagReason,
)
from chicorybridge.fleet.links import NEVER
from chicorybridge.storage.stores import PutObject, StoreRequest

FINAL_STAGES = (ApplyStage.accepted, ApplyStage.conflict, ApplyStage.rejected)
UNWRITTEN_STAGES = (ApplyStage.storing, ApplyStage.writing)
NONBLOCKING_REASONS = (LagReason.current, LagReason.excused)


@dataclasses.dataclass(kw_only=True, slots=True)
class Apply:
    """One apply under way, and the operators who watch it."""

    request: ApplyRequested
    head: HeadVersion
    declaration: Declaration
    stage: ApplyStage = ApplyStage.storing
    operators: set[HostId] = dataclasses.field(default_factory=set)
    watched_at: Millis
    due: Millis = NEVER
    # When lagging hosts are asked for reports again.
    ask_due: Millis = NEVER
    # When the operators are told again without an end.
    tell_due: Millis = NEVER
    # Whether a request to the platform is under way.
    asked: bool = False
    durable_at: Millis = NEVER
    store_unavailable: bool = False
    winner: HeadVersion | None = None
    waiting: tuple[HostStatus, ...] = ()


def request_of(apply: Apply) -> StoreRequest:
    """Return the request to the platform that is the next step."""
    match apply.stage:
        case ApplyStage.storing:
            return PutObject(digest=apply.head.digest, body=apply.request.body)
        case ApplyStage.writing:
            return write_version(apply.head)
        case _:
            return read_version(apply.head.version)


def rejected(message: ApplyRequested, error: StreamError) -> ApplyProgress:
    """Return the progress of a body that is no declaration."""
    return ApplyProgress(
        apply_id=message.apply_id,
        stage=ApplyStage.rejected,
        version=NO_VERSION,
        digest=digest_of(message.body),
        detail=error.detail,
    )


def unknown(message: ApplyWatched) -> ApplyProgress:
    """Return the progress of an apply that this host does not know."""
    return ApplyProgress(
        apply_id=message.apply_id,
        stage=ApplyStage.unknown,
        version=NO_VERSION,
        digest=NO_DIGEST,
    )


def progress_of(apply: Apply) -> ApplyProgress:
    """Return what operators are told of an apply."""
    return ApplyProgress(
        apply_id=apply.request.apply_id,
        stage=apply.stage,
        version=apply.head.version,
        digest=apply.head.digest,
        waiting=apply.waiting,
        winner=apply.winner,
        store_unavailable=apply.store_unavailable,
    )
