"""Tests of experiments as INI files."""

import pathlib

import pytest

from chicorybridge.common.ini_files import SettingsError
from chicorybridge.load.experiment_files import read_experiment
from chicorybridge.load.experiments import Via

EXPERIMENTS_FOLDER = pathlib.Path(__file__).parents[3] / 'experiments'

VALID_EXPERIMENT = """
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

INVALID_EXPERIMENT = """
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


def _write(tmp_path, text):
    path = tmp_path / 'experiment.ini'
    path.write_text(text)
    return path


def test_address_and_seed_override_the_file(tmp_path):
    """All sections are read; arguments replace an address and the seed."""
    experiment = read_experiment(
        _write(tmp_path, VALID_EXPERIMENT),
        addresses_by_name={'entry': '127.0.0.1:2'},
        seed=7,
    )
    assert experiment.addresses(('entry',)) == ('127.0.0.1:2',)
    assert experiment.seed == 7
    assert experiment.callers_by_name['noord'].via is Via.entries
    assert experiment.requests_by_name['accept'].idempotent
    assert experiment.faults_by_name['slow'].knobs == {'slow_factor': 3}
    assert experiment.document()['callers_by_name']['noord']['repeats'] == 0


def test_all_problems_are_reported_at_once(tmp_path, snapshot):
    """Bad types and references, unknown keys and sections are listed."""
    with pytest.raises(SettingsError) as raised:
        read_experiment(_write(tmp_path, INVALID_EXPERIMENT))
    assert [str(problem) for problem in raised.value.problems] == snapshot


@pytest.mark.parametrize(
    'path', sorted(EXPERIMENTS_FOLDER.glob('*.ini')), ids=lambda path: path.stem
)
def test_committed_experiments_are_valid(path):
    """Every file in experiments/ can be read."""
    assert read_experiment(path).callers_by_name
