"""Sample attempts for tests and measurements."""

from typing import Any

from chicorybridge.common.attempts import Attempt, AttemptOutcome
from chicorybridge.common.clocks import Millis
from chicorybridge.common.identities import RouteId, ServiceId, TargetId


def make_attempt(
    outcome: AttemptOutcome = AttemptOutcome.answered,
    *,
    target: str = 'quotes-0',
    service: str = 'quotes',
    **fields: Any,
) -> Attempt:
    """Return an ended attempt; by default it took 10 ms and sent 100 bytes."""
    fields.setdefault('elapsed_ms', 10)
    fields.setdefault('sent_bytes', 100)
    fields.setdefault('started_at', Millis(0))
    fields.setdefault('route_id', RouteId(service))
    return Attempt(
        service_id=ServiceId(service),
        target_id=TargetId(target),
        outcome=outcome,
        **fields,
    )
