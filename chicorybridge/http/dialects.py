"""What forwarding has to know of the headers that targets understand."""

import dataclasses

from chicorybridge.http.exchanges import Head

SHED_STATUSES = frozenset((429, 503))


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Dialect:
    """Names of headers, lower case, as targets and callers use them.

    `deadline` carries the milliseconds left; `not_run` marks an answer to
    a request that was not run, with the value `not_run_value` or, if that
    is empty, with any. The rest is optional: `request_id` is echoed by
    targets, `signature` is borne by their whole answers, `target` names
    the target that a request is meant for, and `not_run_statuses` are
    answers that never come after a run.
    """

    deadline: bytes
    not_run: bytes
    not_run_value: bytes = b''
    draining: bytes | None = None
    request_id: bytes | None = None
    signature: bytes | None = None
    target: bytes | None = None
    not_run_statuses: frozenset[int] = frozenset()
    # Whether answers bear the outcome and the version of the product.
    sends_outcome: bool = False
    # Whether `Retry-After` may have a fraction of a second.
    fractional_retry_after: bool = False

    def is_not_run(self, head: Head | None) -> bool:
        """Return whether the target says that it ran nothing."""
        if head is None:
            return False
        if head.status in self.not_run_statuses:
            return True
        text = head.header(self.not_run)
        if text is None:
            return False
        return not self.not_run_value or text == self.not_run_value

    def is_draining(self, head: Head | None) -> bool:
        """Return whether the target says that it is leaving."""
        if head is None or self.draining is None:
            return False
        return head.header(self.draining) == b'true'


# The product's own headers.
DEFAULT_DIALECT = Dialect(
    deadline=b'chicorybridge-deadline-ms',
    not_run=b'chicorybridge-outcome',
    not_run_value=b'not-run',
    draining=b'chicorybridge-draining',
    sends_outcome=True,
)
