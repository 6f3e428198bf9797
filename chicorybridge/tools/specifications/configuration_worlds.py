"""The state of the specification of configurations."""

import dataclasses
from enum import Enum

from chicorybridge.tools.specifications.specifications import replace_at


class BrokenConfiguration(Enum):
    """Deliberate faults, each of which breaks a promise."""

    # An apply is accepted although a host that serves has not confirmed.
    accept_early = 'accept_early'
    # A write without an answer counts as lost against another apply.
    guess_conflict = 'guess_conflict'
    # A host takes any version that is offered.
    take_any = 'take_any'
    # A host that was silent for long serves on when it wakes.
    serve_lapsed = 'serve_lapsed'
    # A host joins on the word of a peer that takes no work itself.
    join_any = 'join_any'
    # The report of a process counts for the one that replaced it.
    trust_ended = 'trust_ended'


class ApplyState(Enum):
    """How far an apply has come, as its operator is told."""

    planned = 'planned'
    sent = 'sent'
    unsure = 'unsure'
    durable = 'durable'
    conflict = 'conflict'
    accepted = 'accepted'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ConfiguredHost:
    """One host; `taking` is what it believes, `lapsed` ends its lease.

    A host that is paused while its lease ends believes that it may take
    work, and checks its lease before it does.
    """

    starts: int = 0
    version: int = 0
    confirmed: int = 0
    taking: bool = False
    lapsed: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Report:
    """A host's process confirmed a version; it may arrive at any time."""

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
        """Return the world after a host has changed."""
        hosts = replace_at(self.hosts, number, host)
        return dataclasses.replace(self, hosts=hosts)

    def with_apply(
        self, number: int, state: ApplyState
    ) -> 'ConfigurationWorld':
        """Return the world after an apply has come to `state`."""
        applies = replace_at(self.applies, number, state)
        return dataclasses.replace(self, applies=applies)

    def is_durable(self, number: int, *, base: int) -> bool:
        """Tell whether the version after `base` is that of an apply."""
        return len(self.log) > base and self.log[base] == number
