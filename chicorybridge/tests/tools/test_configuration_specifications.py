"""Model checking of configurations, and checks of the code."""

import pytest

from chicorybridge import settings
from chicorybridge.configuration.applies import Applies
from chicorybridge.tools.simulations.configuration_runs import ConfigurationRun
from chicorybridge.tools.specifications.configuration_specifications import (
    ConfigurationSpecification,
)
from chicorybridge.tools.specifications.configuration_worlds import (
    ConfigurationMutation,
)
from chicorybridge.tools.specifications.specifications import check

# Two concurrent applies whose writes may stay unanswered.
RACE = ConfigurationSpecification(hosts=1, bases=(0, 0), starts=0)
# Two versions and two hosts whose leases expire and that join again.
PROPAGATION = ConfigurationSpecification(bases=(0, 1), answered=True, starts=0)


@pytest.mark.parametrize('specification', [RACE, PROPAGATION])
def test_invariants_hold_in_every_state(specification):
    """Invariants hold under loss, pauses, expired leases and races."""
    report = check(specification.build())
    assert report.holds
    assert report.states > 1000


@pytest.mark.long
@pytest.mark.parametrize(
    'specification',
    [
        ConfigurationSpecification(bases=(0, 1), answered=True),
        ConfigurationSpecification(
            hosts=3, bases=(0, 1), answered=True, starts=0
        ),
        ConfigurationSpecification(hosts=1),
        ConfigurationSpecification(bases=(0, 0)),
    ],
)
def test_invariants_hold_in_larger_worlds(specification):
    """Invariants hold with restarts, three hosts or three applies."""
    assert check(specification.build()).holds


@pytest.mark.parametrize('mutation', list(ConfigurationMutation))
def test_mutated_specification_violates_an_invariant(mutation):
    """Without any one of the safeguards an invariant is violated."""
    answered = mutation is not ConfigurationMutation.guess_conflict
    variant = ConfigurationSpecification(
        bases=(0, 1), answered=answered, mutation=mutation
    )
    assert check(variant.build()).holds is False


@pytest.mark.parametrize('seed', [1, 2])
def test_specification_explains_the_code(seed):
    """The specification allows all changes of real hosts under faults."""
    trial = ConfigurationRun(seed=seed)
    assert trial.run(for_ms=90_000)
    assert trial.accepted > 3


@pytest.mark.long
@pytest.mark.parametrize('seed', range(100, 130))
def test_specification_explains_long_runs(seed):
    """The specification explains ten simulated minutes a seed."""
    assert ConfigurationRun(seed=seed).run(for_ms=600_000)


def _clear_waiting(applies, apply, now):
    apply.waiting = ()


@pytest.mark.parametrize(
    ('owner', 'name', 'mutation'),
    [
        (Applies, '_update_waiting', _clear_waiting),
        (settings, 'EXCUSE_AFTER_MS', 0),
    ],
)
def test_broken_code_is_not_explained(monkeypatch, owner, name, mutation):
    """Code that does not wait for serving hosts is not explained."""
    monkeypatch.setattr(owner, name, mutation)
    assert not all(
        ConfigurationRun(seed=seed).run(for_ms=120_000) for seed in range(1, 9)
    )
