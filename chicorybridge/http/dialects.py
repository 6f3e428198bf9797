"""Names and values of the proxy headers that targets and callers use."""

import dataclasses

from chicorybridge.http.exchanges import Head

SHED_STATUSES = frozenset((429, 503))


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Dialect:
    """Names of headers, in lower case, with the values that go with them.

    `deadline` is the header with the milliseconds left for a request.
    `not_run` is the header of an answer to a request that was not run; its
    value is `not_run_value`, or any if that is empty. The rest is optional:
    targets set `draining` to `draining_value` when they leave, name in
    `limit` the requests a second that they take from all hosts together,
    echo `request_id` and set `signature` on complete answers; `target`
    carries the id of the target that a request is meant for. Another target
    answers with one of `not_run_statuses`, which means that the request was
    not run, and its id in `instance`. Where workspaces have keys, callers
    send theirs in `key`, and targets get the name of the workspace in
    `workspace`.
    """

    deadline: bytes
    not_run: bytes
    not_run_value: bytes = b''
    draining: bytes | None = None
    draining_value: bytes = b'true'
    limit: bytes | None = None
    request_id: bytes | None = None
    signature: bytes | None = None
    target: bytes | None = None
    instance: bytes | None = None
    key: bytes | None = None
    workspace: bytes | None = None
    not_run_statuses: frozenset[int] = frozenset()
    # Whether answers carry the chicorybridge outcome and version headers.
    sends_outcome: bool = False
    # Whether `Retry-After` may have a fraction of a second.
    fractional_retry_after: bool = False

    def is_not_run(self, head: Head | None) -> bool:
        """Return whether an answer states that the request was not run."""
        if head is None:
            return False
        if head.status in self.not_run_statuses:
            return True
        not_run_header = head.header(self.not_run)
        if not_run_header is None:
            return False
        return not self.not_run_value or not_run_header == self.not_run_value

    def is_draining(self, head: Head | None) -> bool:
        """Return whether an answer states that the target is draining."""
        if head is None or self.draining is None:
            return False
        return head.header(self.draining) == self.draining_value

    def is_from_another(self, head: Head, target_id: bytes) -> bool:
        """Return whether an answer names another target as its sender."""
        if self.instance is None or head.status not in self.not_run_statuses:
            return False
        return head.header(self.instance) not in {None, target_id}

    def is_surely_own(self, head: Head | None, request: Head) -> bool:
        """Return whether an answer is surely the target's to `request`.

        Without an id that targets echo, every answer counts as such.
        """
        if head is None or head.status in self.not_run_statuses:
            return False
        if self.request_id is None:
            return True
        request_id = request.header(self.request_id)
        return request_id is not None and head.values_of(self.request_id) == (
            request_id,
        )


# The headers of chicorybridge, used unless a platform defines its own.
DEFAULT_DIALECT = Dialect(
    deadline=b'chicorybridge-deadline-ms',
    not_run=b'chicorybridge-outcome',
    not_run_value=b'not-run',
    draining=b'chicorybridge-draining',
    sends_outcome=True,
)
