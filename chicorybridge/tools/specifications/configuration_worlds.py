"""The state in the specification of configurations.

A world is one state of the model: versions, hosts, applies and reports.
"""

import dataclasses
from enum import Enum

from chicorybridge.tools.specifications.specifications import replace_at


class ConfigurationMutation(Enum):
    """Deliberate faults, each of which violates an invariant."""

    # An apply is accepted although a serving host has not confirmed it.
    accept_early = 'accept_early'
    # A write without an answer counts as a conflict.
    guess_conflict = 'guess_conflict'
    # A host activates any version that it receives, also an older one.
    accept_any_version = 'accept_any_version'
    # A host still serves after its lease has expired.
    serve_expired = 'serve_expired'
    # A host joins on the version of a peer that does not serve.
    join_any = 'join_any'
    # A report of a process counts for the process that replaced it.
    trust_replaced = 'trust_replaced'


class ApplyState(Enum):
    """The stage of an apply, as reported to its operator."""

    planned = 'planned'
    sent = 'sent'
    # The write may or may not have taken effect; the log is read next.
    unsure = 'unsure'
    durable = 'durable'
    conflict = 'conflict'
    accepted = 'accepted'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ConfiguredHost:
    """One host; `expired` means that its lease has expired.

    `taking` means that it considers itself in service. A host that is
    paused while its lease expires stays so, but checks its lease before it
    serves a request.
    """

    starts: int = 0
    version: int = 0
    confirmed: int = 0
    taking: bool = False
    expired: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Report:
    """A message that a process of a host has confirmed a version."""

    host: int
    starts: int
    confirmed: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ConfigurationWorld:
    """Durable versions, hosts, applies, and reports sent.

    `log` holds the apply of each version from 1; `pending` the applies
    whose write may still take effect.
    """

    hosts: tuple[ConfiguredHost, ...]
    applies: tuple[ApplyState, ...]
    log: tuple[int, ...] = ()
    pending: frozenset[int] = frozenset()
    reports: frozenset[Report] = frozenset()
    reverted: bool = False

    def with_host(
        self, number: int, host: ConfiguredHost
    ) -> 'ConfigurationWorld':
        """Return the world with another state of a host."""
        hosts = replace_at(self.hosts, number, host)
        return dataclasses.replace(self, hosts=hosts)

    def with_apply(
        self, number: int, state: ApplyState
    ) -> 'ConfigurationWorld':
        """Return the world with an apply in `state`."""
        applies = replace_at(self.applies, number, state)
        return dataclasses.replace(self, applies=applies)

    def is_durable(self, number: int, *, base: int) -> bool:
        """Return whether the version after `base` is that of an apply."""
        return len(self.log) > base and self.log[base] == number
