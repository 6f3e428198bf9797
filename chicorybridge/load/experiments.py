"""Experiments: who sends what where, and what goes wrong when."""

import dataclasses
import json
from enum import Enum
from typing import Any

from chicorybridge import settings
from chicorybridge.common import clocks

# Methods that a caller may repeat after an unknown outcome.
IDEMPOTENT_METHODS = frozenset(('GET', 'HEAD', 'PUT', 'DELETE'))


class Via(Enum):
    """How callers find the process that they send to."""

    # They ask an entry which addresses to use, and cache the answer.
    entries = 'entries'
    # They use the addresses of the experiment.
    direct = 'direct'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RequestKind:
    """A kind of request: its size, and whether a key protects it.

    `share` weighs the kind against the others of its callers.
    """

    name: str
    method: str = 'GET'
    path: str = '/'
    body_bytes: int = 0
    share: float = 1
    keyed: bool = False

    @property
    def idempotent(self) -> bool:
        """Tell whether a caller may repeat it after an unknown outcome."""
        return self.keyed or self.method in IDEMPOTENT_METHODS


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CallerGroup:
    """Callers of one region that send at one rate.

    The rate is that of the group; `hosts` share it, each with its own
    connections and entry list. `stop_ms` 0 means the end of the run.
    With `issued_keys` the keys start as the entry list says.
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
    """Knobs that are turned at stand-ins during the run."""

    name: str
    at_ms: int
    to: tuple[str, ...]
    knobs: dict[str, Any]
    platform: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Place:
    """The address that a name of the experiment stands for."""

    name: str
    at: str
    target: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class Experiment:
    """One run: who sends what where, and what goes wrong when."""

    name: str
    duration_ms: int
    warm_up_ms: int
    seed: int
    places_by_name: dict[str, Place]
    requests_by_name: dict[str, RequestKind]
    callers_by_name: dict[str, CallerGroup]
    faults_by_name: dict[str, FaultStep]

    def addresses(self, names: tuple[str, ...]) -> tuple[str, ...]:
        """Return the addresses that `names` stand for."""
        return tuple(self.places_by_name[name].at for name in names)

    def at_rate(self, requests_per_second: float) -> 'Experiment':
        """Return the same experiment with one rate for all groups."""
        groups = {
            name: dataclasses.replace(
                group, requests_per_second=requests_per_second
            )
            for name, group in self.callers_by_name.items()
        }
        return dataclasses.replace(self, callers_by_name=groups)

    def summary(self) -> str:
        """Return one line for people."""
        seconds = clocks.as_seconds(self.duration_ms)
        return '{0}: {1:g} s, seed {2}'.format(self.name, seconds, self.seed)

    def document(self) -> dict[str, Any]:
        """Return all settings as JSON values."""
        return json.loads(json.dumps(dataclasses.asdict(self), default=_text))


def _text(value: Enum) -> str:
    return value.value
