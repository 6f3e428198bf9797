"""When a pipelined request may be sent to a target.

Its caller takes it as not read if an earlier answer ends the connection, and
sends it again, whatever its type. So it must not have been sent by then.
"""

import dataclasses

from chicorybridge.common.clocks import Clock
from chicorybridge.common.errors import ErrorCode
from chicorybridge.entry.attempt_runners import AttemptLimits
from chicorybridge.entry.calls import Call
from chicorybridge.entry.refusals import RefusalError
from chicorybridge.hosts.states import HostPhase, HostState
from chicorybridge.http.bodies import CallerError


class TurnChecks:
    """Let requests wait for the earlier ones of their connection."""

    def __init__(self, *, clock: Clock, state: HostState) -> None:
        """Start none ahead of its turn unless `state` is serving."""
        self._clock = clock
        self._state = state

    async def await_turn(self, call: Call) -> None:
        """Wait until the earlier requests are answered, if the call must.

        Idempotent ones need not, as they can be sent again. A host that is
        stopping starts none ahead, so that the next answer can end the
        connection. Raise `RefusalError` if the deadline passes.
        """
        if call.exchange.turn.pipeline is None:
            return
        if call.idempotent and self._state.phase is HostPhase.serving:
            return
        await call.exchange.turn.wait()
        if self._clock.now() >= call.deadline_at:
            raise RefusalError(
                code=ErrorCode.overloaded,
                detail='earlier requests of the connection took too long',
            )

    def check(self, call: Call) -> None:
        """Raise `CallerError` if an earlier answer has ended the connection."""
        if call.exchange.turn.withdrawn:
            raise CallerError(
                code=ErrorCode.stream_closed,
                detail='an earlier answer ended the connection',
            )

    def guard(self, call: Call, limits: AttemptLimits) -> AttemptLimits:
        """Return limits by which a withdrawn call is not sent.

        This is checked last, right before it is sent: from then on no
        earlier answer can end the connection.
        """
        if call.exchange.turn.pipeline is None:
            return limits
        return dataclasses.replace(
            limits,
            may_send=lambda: (
                limits.may_send() and call.exchange.turn.begin_forwarding()
            ),
        )
