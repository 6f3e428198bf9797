"""Headers of requests and answers on the platform."""

from chicorybridge.http.dialects import Dialect

REQUEST_ID = b'x-request-id'
DEADLINE = b'x-deadline-ms'

PLATFORM_DIALECT = Dialect(
    deadline=DEADLINE,
    not_run=b'x-not-executed',
    request_id=REQUEST_ID,
    signature=b'x-server-signature',
    target=b'x-expect-instance',
    # A server answers 421 when another server was expected at its address.
    not_run_statuses=frozenset((421,)),
    fractional_retry_after=True,
)
