"""Model checking of configurations."""

import pytest

from chicorybridge import settings
from chicorybridge.configuration.applies import Applies
from chicorybridge.tools.simulations.configuration_runs import ConfigurationRun
from chicorybridge.tools.specifications.configuration_specifications import (
    ConfigurationSpecification,
)
from chicorybridge.tools.specifications.configuration_worlds import (
    BrokenConfiguration,
)
from chicorybridge.tools.specifications.specifications import check

# Two operators at once whose writes may stay unanswered.
RACE = ConfigurationSpecification(hosts=1, bases=(0, 0), starts=0)
# Two versions among two hosts that lapse, join and, one by one, start anew.
SPREAD = ConfigurationSpecification(bases=(0, 1), answered=True, starts=0)


@pytest.mark.parametrize('specification', [RACE, SPREAD])
def test_promises_hold_in_every_state(specification):
    """No loss, pause, lapse or race breaks one."""
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
def test_promises_hold_in_larger_worlds(specification):
    """The same with restarts, three hosts or three applies."""
    assert check(specification.build()).holds


@pytest.mark.parametrize('broken', list(BrokenConfiguration))
def test_broken_variant_is_caught(broken):
    """Each safeguard is needed to keep a promise."""
    answered = broken is not BrokenConfiguration.guess_conflict
    variant = ConfigurationSpecification(
        bases=(0, 1), answered=answered, broken=broken
    )
    assert check(variant.build()).holds is False


@pytest.mark.parametrize('seed', [1, 2])
def test_specification_explains_the_code(seed):
    """Whatever real hosts do under faults, the specification allows."""
    trial = ConfigurationRun(seed=seed)
    assert trial.run(for_ms=90_000)
    assert trial.accepted > 3


@pytest.mark.long
@pytest.mark.parametrize('seed', range(100, 130))
def test_specification_explains_long_runs(seed):
    """The same for ten simulated minutes a seed."""
    assert ConfigurationRun(seed=seed).run(for_ms=600_000)


def _wait_for_nobody(applies, apply, now):
    apply.waiting = ()


@pytest.mark.parametrize(
    ('owner', 'name', 'broken'),
    [
        (Applies, '_update_waiting', _wait_for_nobody),
        (settings, 'EXCUSE_AFTER_MS', 0),
    ],
)
def test_broken_code_is_left_unexplained(monkeypatch, owner, name, broken):
    """Code that does not wait for a host that serves is not allowed."""
    monkeypatch.setattr(owner, name, broken)
    assert not all(
        ConfigurationRun(seed=seed).run(for_ms=120_000) for seed in range(1, 9)
    )
