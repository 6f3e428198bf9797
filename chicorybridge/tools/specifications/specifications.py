"""Types and the check that the specifications of the protocols share.

In the specifications a message that was sent is never removed from the
set of messages: it may arrive never, late or several times, in any order.
This covers loss, delay and duplicates.
"""

import dataclasses
import functools
from collections.abc import Callable, Iterable
from typing import Any, Generic, TypeAlias, TypeVar

from minicheck import Protocol, check_safety

MAX_STATES = 3_000_000

State = TypeVar('State')
Element = TypeVar('Element')

Invariant: TypeAlias = Callable[[Any], bool]

# Name and arguments of a step, such as ('deliver', 'run', 1).
Label = tuple[Any, ...]


# The label of a step and the state after it.
Step: TypeAlias = tuple[Label, Any]
Steps: TypeAlias = Iterable[Step]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Specification(Generic[State]):
    """A state machine and the invariants that hold in every state.

    A state is a frozen dataclass; `steps` yields each possible next
    state with its label.
    """

    name: str
    initial: State
    steps: Callable[[State], Steps]
    invariants: dict[str, Invariant]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CheckReport:
    """The result of a model check.

    `holds` is `None` if the check stopped before it explored all states;
    `trace` is a shortest sequence of steps to a violated invariant.
    """

    states: int
    holds: bool | None
    violated: str | None
    trace: tuple[Label, ...]


def check(
    specification: Specification[Any], *, max_states: int = MAX_STATES
) -> CheckReport:
    """Check the invariants in all states, breadth first."""
    outcome = check_safety(
        _Search(specification=specification).protocol(), max_states=max_states
    )
    properties = outcome['properties']
    violated = [
        name for name, result in properties.items() if result['holds'] is False
    ]
    if violated:
        counterexample = properties[violated[0]]['counterexample']
        return CheckReport(
            states=outcome['reachable_states'],
            holds=False,
            violated=violated[0],
            trace=tuple(step['label'] for step in counterexample[1:]),
        )
    return CheckReport(
        states=outcome['reachable_states'],
        holds=True if outcome['exhaustive'] else None,
        violated=None,
        trace=(),
    )


class _Search:
    """Pass states to the checker until an invariant is violated."""

    def __init__(self, *, specification: Specification[Any]) -> None:
        """Start from the initial state."""
        self._specification = specification
        self._is_violated = False

    def protocol(self) -> Protocol:
        """Return the specification in the form that the checker expects."""
        return Protocol(
            name=self._specification.name,
            candidate=False,
            fields=('state',),
            initial=(self._specification.initial,),
            transitions=self._transitions,
            invariants={
                name: functools.partial(self._holds, invariant)
                for name, invariant in self._specification.invariants.items()
            },
        )

    def _transitions(self, fields: tuple[Any]) -> list[Step]:
        if self._is_violated:
            # One shortest trace is enough, so the search ends.
            return []
        return [
            (label, (state,))
            for label, state in self._specification.steps(fields[0])
        ]

    def _holds(self, invariant: Invariant, fields: dict[str, Any]) -> bool:
        holds = invariant(fields['state'])
        self._is_violated = self._is_violated or not holds
        return holds


def replace_at(
    elements: tuple[Element, ...], index: int, element: Element
) -> tuple[Element, ...]:
    """Return the tuple with `element` at `index`."""
    return (*elements[:index], element, *elements[index + 1 :])
