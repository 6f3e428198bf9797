"""Tests of complete runs against a target stand-in."""

import json
import os
import random

import pytest

from chicorybridge.common.clocks import Clock
from chicorybridge.load.experiments import (
    CallerGroup,
    Experiment,
    FaultStep,
    NamedAddress,
    RequestKind,
)
from chicorybridge.load.reports import make_report
from chicorybridge.load.results import (
    compare,
    make_result,
    read_result,
    write_result,
)
from chicorybridge.load.runs import Run
from chicorybridge.standins.emulators import TargetEmulator
from chicorybridge.standins.impairments import EmulatorKnobs
from chicorybridge.tests.serving import serving

KINDS = (
    RequestKind(name='read', path='/read?bytes=500', share=8),
    RequestKind(name='accept', method='POST', keyed=True),
    RequestKind(name='upload', method='POST', body_bytes=9000),
)


def _experiment(address, **knobs):
    return Experiment(
        name='small',
        duration_ms=600,
        warm_up_ms=100,
        seed=1,
        places_by_name={
            'target': NamedAddress(name='target', at=str(address), target=True)
        },
        requests_by_name={kind.name: kind for kind in KINDS},
        callers_by_name={
            'noord': CallerGroup(
                name='noord',
                to=('target',),
                requests=tuple(kind.name for kind in KINDS),
                requests_per_second=200,
                hosts=2,
                process='self',
            )
        },
        faults_by_name={
            'fault': FaultStep(
                name='fault', at_ms=300, to=('target',), knobs=knobs
            )
        },
    )


async def _run(**knobs):
    emulator = TargetEmulator(
        name='target',
        zone='groningen',
        # A long queue, so that a slow test machine sheds no request.
        knobs=EmulatorKnobs(service_ms=1, queue=1000),
        clock=Clock(),
        rng=random.Random(1),
    )
    async with serving(emulator.handle) as address:
        experiment = _experiment(address, **knobs)
        run = Run(
            experiment=experiment,
            pids_by_process={'self': os.getpid()},
            clock=Clock(),
        )
        outcome = await run.execute()
    return make_result(experiment, outcome, clock=Clock())


async def test_run_without_faults_keeps_all_promises():
    """All requests, with and without key or body, get complete answers."""
    result = await _run()
    group = result['groups']['noord']
    assert list(group['outcomes']) == ['whole']
    assert 60 < group['outcomes']['whole'] < 140
    assert result['verdict']['checked']
    assert result['verdict']['keyed_calls'] > 0
    assert result['verdict']['lost_uploads'] == 0
    assert result['targets']['target']['uploads'] > 1
    assert result['processes']['self']['processor_ms_per_request'] > 0


async def test_fault_starts_on_time_and_affects_callers():
    """After the fault starts, answers are cut and count as lost."""
    result = await _run(cut_share=1)
    fault = result['faults'][0]
    assert fault['set']
    assert 300 <= fault['at_ms'] < 500
    assert result['groups']['noord']['outcomes']['lost'] > 10


async def test_result_is_written_read_compared_and_reported(tmp_path):
    """A result read from its file equals the original in all figures."""
    path = tmp_path / 'result.json'
    result = await _run()
    write_result(result, path)
    reread = read_result(path)
    assert reread == json.loads(json.dumps(result))
    for difference in compare(result, reread):
        assert difference.before == difference.after
    page = make_report(result, reread)
    assert page.count('data:image/svg+xml') == 2
    assert '<td>p99_ms</td>' in page


def test_result_of_another_format_is_refused(tmp_path):
    """Reading a result in another format raises an error."""
    path = tmp_path / 'result.json'
    path.write_text('{"format": 0}')
    with pytest.raises(ValueError, match='format'):
        read_result(path)
