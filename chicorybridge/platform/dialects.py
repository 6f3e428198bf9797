"""Names of the headers that callers and targets of the platform use."""

from chicorybridge.http.dialects import Dialect

REQUEST_ID_HEADER = b'x-request-id'
DEADLINE_HEADER = b'x-deadline-ms'

PLATFORM_DIALECT = Dialect(
    deadline=DEADLINE_HEADER,
    not_run=b'x-not-executed',
    draining=b'server-leaving',
    draining_value=b'1',
    limit=b'server-limit',
    request_id=REQUEST_ID_HEADER,
    signature=b'x-server-signature',
    # Holds the id of the target that the request is sent to.
    target=b'x-expect-instance',
    # Holds the id of the target that answers 421.
    instance=b'x-instance-id',
    key=b'x-key',
    workspace=b'x-tenant-id',
    # A target answers 421 if the request names another target.
    not_run_statuses=frozenset((421,)),
    fractional_retry_after=True,
)
