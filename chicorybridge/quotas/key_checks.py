"""Check the keys of callers, at arrival and before each attempt."""

import dataclasses
import math

from chicorybridge.common.errors import ErrorCode
from chicorybridge.configuration.declarations import Route
from chicorybridge.entry.attempt_runners import AttemptLimits
from chicorybridge.entry.calls import Call
from chicorybridge.entry.refusals import RefusalError
from chicorybridge.fleet.configurations import HostConfiguration
from chicorybridge.hosts.states import HostState
from chicorybridge.http.dialects import Dialect
from chicorybridge.http.exchanges import Head
from chicorybridge.quotas.keys import CallerWorkspace


class KeyChecks:
    """Find the workspaces of requests by their keys."""

    def __init__(self, *, state: HostState, dialect: Dialect) -> None:
        """Use the configurations of `state` and the headers of `dialect`."""
        self._state = state
        self._dialect = dialect

    def identify(
        self, head: Head, configuration: HostConfiguration, route: Route | None
    ) -> CallerWorkspace | None:
        """Return the workspace that sent a request, `None` if none is known.

        Raise `RefusalError` if the request needs a key and has no valid one.
        """
        if configuration.keys is None or self._dialect.key is None:
            return None
        workspace = None
        keys = head.values_of(self._dialect.key)
        is_outdated = self._is_outdated()
        if len(keys) == 1 and not is_outdated:
            workspace = configuration.keys.find(keys[0])
        if workspace is not None or configuration.is_public(route):
            return workspace
        if is_outdated:
            raise RefusalError(
                code=ErrorCode.no_configuration,
                detail='the keys that this host knows may be outdated',
            )
        if len(keys) == 1 and not self._state.is_current():
            # A newer configuration may have the key.
            raise RefusalError(
                code=ErrorCode.no_configuration,
                detail='this host may lack a newer configuration',
            )
        raise RefusalError(
            code=ErrorCode.key_rejected,
            detail='the request has no key of a workspace',
            facts={'keys': len(keys), 'keys_age_ms': self._state.age_ms()},
        )

    def check(self, call: Call) -> None:
        """Check the key of a call against the newest configuration.

        Raise `RefusalError` if it is no longer valid.
        """
        newest = self._state.configuration
        if call.is_keyed and isinstance(newest, HostConfiguration):
            call.caller_workspace = self.identify(call.head, newest, call.route)

    def guard(self, call: Call, limits: AttemptLimits) -> AttemptLimits:
        """Return limits by which nothing is sent once the key is invalid.

        The key may be removed while the call waits for a connection.
        """
        if not call.is_keyed:
            return limits
        return dataclasses.replace(
            limits,
            may_send=lambda: limits.may_send() and self._is_valid(call),
        )

    def _is_valid(self, call: Call) -> bool:
        try:
            self.check(call)
        except RefusalError:
            return False
        return True

    def _is_outdated(self) -> bool:
        """Return whether the known keys are too old to be used.

        Those of unknown age are, if there is a limit.
        """
        age_ms: float | None = self._state.age_ms()
        if age_ms is None:
            age_ms = math.inf
        return age_ms > self._state.max_key_age_ms
