"""Tests of experiments as INI files."""

import pathlib

import pytest

from chicorybridge.common.ini_files import SettingsError
from chicorybridge.load.experiment_files import read_experiment
from chicorybridge.load.experiments import Via

FOLDER = pathlib.Path(__file__).parents[3] / 'experiments'

GOOD = """
[experiment small]
duration_ms = 1000
[address entry]
at = 127.0.0.1:1
[request accept]
method = POST
keyed = yes
[callers noord]
to = entry
requests = accept
via = entries
[fault slow]
at_ms = 500
to = entry
knobs = {"slow_factor": 3}
"""

BAD = """
[experiment small]
duration_ms = long
[address entry]
at = localhost:1
[callers noord]
to = entry other
requests = accept
colour = blue
[fault slow]
at_ms = 500
to = entry
knobs = slow
[extra]
"""


def _written(tmp_path, text):
    path = tmp_path / 'experiment.ini'
    path.write_text(text)
    return path


def test_experiment_is_read_and_overridden(tmp_path):
    """Sections become entities; an address and a seed can be given."""
    experiment = read_experiment(
        _written(tmp_path, GOOD),
        addresses_by_name={'entry': '127.0.0.1:2'},
        seed=7,
    )
    assert experiment.addresses(('entry',)) == ('127.0.0.1:2',)
    assert experiment.seed == 7
    assert experiment.callers_by_name['noord'].via is Via.entries
    assert experiment.requests_by_name['accept'].idempotent
    assert experiment.faults_by_name['slow'].knobs == {'slow_factor': 3}
    assert experiment.document()['callers_by_name']['noord']['repeats'] == 0


def test_every_problem_is_named_at_once(tmp_path, snapshot):
    """Type, reference, unknown key and unknown section are all told."""
    with pytest.raises(SettingsError) as raised:
        read_experiment(_written(tmp_path, BAD))
    assert [str(problem) for problem in raised.value.problems] == snapshot


@pytest.mark.parametrize(
    'path', sorted(FOLDER.glob('*.ini')), ids=lambda path: path.stem
)
def test_committed_experiments_can_be_read(path):
    """Every file in experiments/ is without problems."""
    assert read_experiment(path).callers_by_name
