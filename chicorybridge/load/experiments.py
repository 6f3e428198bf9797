"""Experiments: groups of callers, their requests, and scheduled faults."""

import dataclasses
import json
from enum import Enum
from typing import Any

from chicorybridge import settings
from chicorybridge.common import clocks

# Methods that a caller may retry after an unknown outcome.
IDEMPOTENT_METHODS = frozenset(('GET', 'HEAD', 'PUT', 'DELETE'))


class Via(Enum):
    """How callers find the addresses that they send to."""

    # They fetch the entry list from an entry and cache it.
    entries = 'entries'
    # They use the addresses of the experiment directly.
    direct = 'direct'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RequestKind:
    """A kind of request; `keyed` ones carry an idempotency key.

    `share` is the weight of the kind among those of its callers.
    """

    name: str
    method: str = 'GET'
    path: str = '/'
    body_bytes: int = 0
    share: float = 1
    keyed: bool = False

    @property
    def idempotent(self) -> bool:
        """Return whether a caller may retry it after an unknown outcome."""
        return self.keyed or self.method in IDEMPOTENT_METHODS


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CallerGroup:
    """Callers of one region that send at one rate.

    The rate is that of the group; its `hosts` share it, each with its own
    connections and entry list. `stop_ms` 0 means the end of the run.
    With `issued_keys` the idempotency keys start with the prefix that the
    entry list gives. `process` names the measured process to which the
    requests are attributed.
    """

    name: str
    to: tuple[str, ...]
    requests: tuple[str, ...]
    region: str = ''
    via: Via = Via.direct
    requests_per_second: float = settings.LOAD_REQUESTS_PER_SECOND
    hosts: int = 1
    workers: int = settings.LOAD_WORKERS
    start_ms: int = 0
    stop_ms: int = 0
    timeout_ms: int = settings.LOAD_TIMEOUT_MS
    issued_keys: bool = False
    repeats: int = 0
    repeat_after_ms: int = settings.LOAD_REPEAT_AFTER_MS
    process: str = ''


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class FaultStep:
    """A change to the knobs of stand-ins at `at_ms` of the run.

    `platform` marks stand-ins for the platform; others are targets.
    """

    name: str
    at_ms: int
    to: tuple[str, ...]
    knobs: dict[str, Any]
    platform: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class NamedAddress:
    """The address behind a name; `target` marks a target stand-in."""

    name: str
    at: str
    target: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class Experiment:
    """One run: groups of callers, their requests, and scheduled faults."""

    name: str
    duration_ms: int
    warm_up_ms: int
    seed: int
    places_by_name: dict[str, NamedAddress]
    requests_by_name: dict[str, RequestKind]
    callers_by_name: dict[str, CallerGroup]
    faults_by_name: dict[str, FaultStep]

    def addresses(self, names: tuple[str, ...]) -> tuple[str, ...]:
        """Return the addresses of `names`."""
        return tuple(self.places_by_name[name].at for name in names)

    def with_rate(self, requests_per_second: float) -> 'Experiment':
        """Return the experiment with the same rate for every group."""
        groups = {
            name: dataclasses.replace(
                group, requests_per_second=requests_per_second
            )
            for name, group in self.callers_by_name.items()
        }
        return dataclasses.replace(self, callers_by_name=groups)

    def summary(self) -> str:
        """Return a one-line description: name, duration and seed."""
        seconds = clocks.as_seconds(self.duration_ms)
        return '{0}: {1:g} s, seed {2}'.format(self.name, seconds, self.seed)

    def document(self) -> dict[str, Any]:
        """Return all settings as JSON values."""
        return json.loads(
            json.dumps(dataclasses.asdict(self), default=_enum_value)
        )


def _enum_value(value: Enum) -> str:
    return value.value
