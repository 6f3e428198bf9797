"""Exceptions with error codes; `docs/errors.md` lists the codes."""

from enum import Enum


class ErrorCode(Enum):
    """Codes of all errors that operators or callers can see."""

    # Settings and declarations.
    setting_unknown = 'CB1001'
    setting_missing = 'CB1002'
    setting_type = 'CB1003'
    setting_range = 'CB1004'
    setting_reference = 'CB1005'
    setting_duplicate = 'CB1006'
    declaration_unreadable = 'CB1007'

    # The platform's store.
    store_unavailable = 'CB2001'
    entry_unreadable = 'CB2002'

    # Streams between processes.
    stream_closed = 'CB3001'
    stream_unauthenticated = 'CB3002'
    message_malformed = 'CB3003'

    # Requests of callers.
    request_malformed = 'CB4001'
    request_too_large = 'CB4002'
    request_timeout = 'CB4003'
    route_unknown = 'CB4004'
    no_target = 'CB4005'
    target_failed = 'CB4006'
    overloaded = 'CB4007'
    no_configuration = 'CB4008'
    workspace_limit = 'CB4009'
    request_quarantined = 'CB4010'
    key_conflict = 'CB4011'
    claim_unavailable = 'CB4012'
    host_leaving = 'CB4013'
    host_cut_off = 'CB4014'
    workspace_unknown = 'CB4015'
    body_timeout = 'CB4016'
    host_failed = 'CB4017'
    key_rejected = 'CB4018'
    quota_unknown = 'CB4019'

    # Operations.
    apply_conflict = 'CB5001'
    apply_rejected = 'CB5002'
    control_unreachable = 'CB5003'
    request_unknown = 'CB5004'
    log_unreadable = 'CB5005'

    # Violated invariants of the program.
    promise_broken = 'CB9001'

    def __str__(self) -> str:
        """Return the number and the name of the code."""
        return ' '.join((self.value, self.name))


class ChicorybridgeError(Exception):
    """Base of the errors that have a code."""

    def __init__(self, *, code: ErrorCode, detail: str) -> None:
        """Create an error; `detail` describes it to people."""
        super().__init__(f'{code}: {detail}')
        self.code = code
        self.detail = detail


class StreamError(ChicorybridgeError):
    """Report a broken stream between processes."""


class RequestError(ChicorybridgeError):
    """Report why no target answered a request of a caller."""


class PromiseError(ChicorybridgeError):
    """Report a violated invariant; it ends the request or the process."""


def require(*, promise: str, holds: bool) -> None:
    """Raise `PromiseError` if an invariant does not hold.

    `promise` is its description, which the error names.
    """
    if not holds:
        raise PromiseError(code=ErrorCode.promise_broken, detail=promise)
