"""What the specifications of the core protocol share.

A message that was sent stays in the set of messages for good: it may
arrive never, late, or many times, in any order. That covers loss, delay
and duplicates at once.
"""

import dataclasses
import functools
from collections.abc import Callable, Iterable
from typing import Any, Generic, TypeAlias, TypeVar

from minicheck import Protocol, check_safety

MAX_STATES = 3_000_000

State = TypeVar('State')
Element = TypeVar('Element')

Promise: TypeAlias = Callable[[Any], bool]

# What a step does, such as ('deliver', 'run', 1).
Label = tuple[Any, ...]


# A step and the state after it.
Step: TypeAlias = tuple[Label, Any]
Steps: TypeAlias = Iterable[Step]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Specification(Generic[State]):
    """A state machine with the promises that every state must keep.

    A state is a frozen dataclass; `steps` yields labelled successors.
    """

    name: str
    initial: State
    steps: Callable[[State], Steps]
    promises: dict[str, Promise]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CheckReport:
    """What the model checker found.

    `holds` is `None` if it was stopped before all states were seen;
    `trace` is a shortest way to a broken promise.
    """

    states: int
    holds: bool | None
    broken: str | None
    trace: tuple[Label, ...]


def check(
    specification: Specification[Any], *, max_states: int = MAX_STATES
) -> CheckReport:
    """Explore all states of a specification breadth first."""
    outcome = check_safety(
        _Search(specification=specification).protocol(), max_states=max_states
    )
    properties = outcome['properties']
    broken = [
        name for name, found in properties.items() if found['holds'] is False
    ]
    if broken:
        found = properties[broken[0]]['counterexample']
        return CheckReport(
            states=outcome['reachable_states'],
            holds=False,
            broken=broken[0],
            trace=tuple(step['label'] for step in found[1:]),
        )
    return CheckReport(
        states=outcome['reachable_states'],
        holds=True if outcome['exhaustive'] else None,
        broken=None,
        trace=(),
    )


class _Search:
    """Hand states to the checker until a promise is broken."""

    def __init__(self, *, specification: Specification[Any]) -> None:
        """Start from the initial state."""
        self._specification = specification
        self._broken = False

    def protocol(self) -> Protocol:
        """Return the specification as the checker takes it."""
        return Protocol(
            name=self._specification.name,
            candidate=False,
            fields=('state',),
            initial=(self._specification.initial,),
            transitions=self._transitions,
            invariants={
                name: functools.partial(self._holds, promise)
                for name, promise in self._specification.promises.items()
            },
        )

    def _transitions(self, fields: tuple[Any]) -> list[Step]:
        if self._broken:
            # One shortest trace is enough: end the search.
            return []
        return [
            (label, (state,))
            for label, state in self._specification.steps(fields[0])
        ]

    def _holds(self, promise: Promise, fields: dict[str, Any]) -> bool:
        holds = promise(fields['state'])
        self._broken = self._broken or not holds
        return holds


def replace_at(
    elements: tuple[Element, ...], place: int, element: Element
) -> tuple[Element, ...]:
    """Return the tuple with another element at `place`."""
    return (*elements[:place], element, *elements[place + 1 :])
