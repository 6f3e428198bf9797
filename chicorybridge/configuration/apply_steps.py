"""State of one apply, its next request and its progress messages."""

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

# Stages after which an apply takes no more steps.
FINAL_STAGES = (ApplyStage.accepted, ApplyStage.conflict, ApplyStage.rejected)
# Stages before the version is written; a request in flight may still write it.
UNWRITTEN_STAGES = (ApplyStage.storing, ApplyStage.writing)
# Lag reasons of hosts that do not delay the acceptance of a version.
NONBLOCKING_REASONS = (LagReason.current, LagReason.excused)


@dataclasses.dataclass(kw_only=True, slots=True)
class Apply:
    """One apply, and the operators that get its progress."""

    request: ApplyRequested
    head: HeadVersion
    declaration: Declaration
    stage: ApplyStage = ApplyStage.storing
    operators: set[HostId] = dataclasses.field(default_factory=set)
    # When an operator last requested the apply or its progress.
    watched_at: Millis
    step_due: Millis = NEVER
    # When reports are next requested from lagging hosts.
    reports_due: Millis = NEVER
    # When the progress of an unfinished apply is next sent to the operators.
    progress_due: Millis = NEVER
    # Whether a request to the platform is in flight.
    request_in_flight: bool = False
    durable_at: Millis = NEVER
    store_unavailable: bool = False
    winner: HeadVersion | None = None
    waiting: tuple[HostStatus, ...] = ()


def store_request_of(apply: Apply) -> StoreRequest:
    """Return the request to the platform for the current stage."""
    match apply.stage:
        case ApplyStage.storing:
            return PutObject(digest=apply.head.digest, body=apply.request.body)
        case ApplyStage.writing:
            return write_version(apply.head)
        case _:
            return read_version(apply.head.version)


def rejected_progress(
    message: ApplyRequested, error: StreamError
) -> ApplyProgress:
    """Return the progress of an apply whose body is not a declaration."""
    return ApplyProgress(
        apply_id=message.apply_id,
        stage=ApplyStage.rejected,
        version=NO_VERSION,
        digest=digest_of(message.body),
        detail=error.detail,
    )


def unknown_progress(message: ApplyWatched) -> ApplyProgress:
    """Return the progress of an apply that this host has no record of."""
    return ApplyProgress(
        apply_id=message.apply_id,
        stage=ApplyStage.unknown,
        version=NO_VERSION,
        digest=NO_DIGEST,
    )


def progress_of(apply: Apply) -> ApplyProgress:
    """Return the progress of an apply for its operators."""
    return ApplyProgress(
        apply_id=apply.request.apply_id,
        stage=apply.stage,
        version=apply.head.version,
        digest=apply.head.digest,
        waiting=apply.waiting,
        winner=apply.winner,
        store_unavailable=apply.store_unavailable,
    )
