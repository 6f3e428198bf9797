"""The binary chicorybridge-load: experiments, results and reports."""

import logging
import pathlib
import selectors
import sys
from typing import Any, ClassVar

import curio
from cleo.application import Application
from cleo.commands.command import Command
from cleo.helpers import argument
from cleo.helpers import option as cleo_option
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option

from chicorybridge.common.binaries import VERSION
from chicorybridge.common.clocks import Clock
from chicorybridge.common.errors import ChicorybridgeError
from chicorybridge.common.options import number_option, option, option_error
from chicorybridge.load.experiment_files import read_experiment
from chicorybridge.load.experiments import Experiment
from chicorybridge.load.reports import write_report
from chicorybridge.load.results import (
    Difference,
    compare,
    make_result,
    read_result,
    write_result,
)
from chicorybridge.load.runs import Run
from chicorybridge.load.usages import read_usage

logger = logging.getLogger(__name__)

# Exit status when the run ended and a promise was seen broken.
BROKEN_STATUS = 3

REPORT = option('report', 'Write an HTML report to this file')
AGAINST = option('against', 'An earlier result to show side by side')


def repeated(name: str, description: str) -> Option:
    """Return an option that can be given many times."""
    return cleo_option(name, None, description, flag=False, multiple=True)


class LoadCommand(Command):
    """Base of the commands: coded errors and the table of figures."""

    def handle(self) -> int:
        """Carry the command out; return 1 after a coded error."""
        logging.basicConfig(level=logging.INFO, stream=sys.stderr)
        try:
            return self.carry_out()
        except ChicorybridgeError as error:
            self.line_error(str(error))
            return 1

    def carry_out(self) -> int:
        """Return the exit status; raise `ChicorybridgeError`."""
        raise NotImplementedError

    def result_of(self, name: str, path: str) -> dict[str, Any]:
        """Read the result that an option or argument names."""
        try:
            return read_result(pathlib.Path(path))
        except (OSError, ValueError) as error:
            raise option_error(name, error) from error

    def earlier(self) -> dict[str, Any] | None:
        """Return the result of --against, if any."""
        path = self.option('against')
        return self.result_of('against', path) if path else None

    def show(
        self, result: dict[str, Any], earlier: dict[str, Any] | None
    ) -> None:
        """Print the figures, write the report if one is asked for."""
        rows = map(_row, compare(result, earlier))
        table = self.table()
        table.set_headers(['group', 'figure', 'before', 'after'])
        table.set_rows(list(rows))
        table.render()
        for name, group in result['groups'].items():
            outcomes = group['outcomes']
            self.line(f'{name}: {outcomes}')
        verdict = result['verdict']
        self.line(f'promises: {verdict}')
        if self.option('report'):
            write_report(
                result, earlier, path=pathlib.Path(self.option('report'))
            )


class RunCommand(LoadCommand):
    """The command that runs an experiment."""

    name = 'run'
    description = 'Run an experiment and write its result'
    arguments: ClassVar[list[Argument]] = [
        argument('experiment', 'The INI file of the experiment')
    ]
    options: ClassVar[list[Option]] = [
        repeated('address', 'NAME=IP:PORT, goes before the file'),
        repeated('process', 'NAME=PID of a process to be measured'),
        option('output', 'Write the result as JSON to this file'),
        option('seed', 'Goes before the seed of the file'),
        option('rate', 'Requests a second of every group, before the file'),
        AGAINST,
        REPORT,
    ]

    def carry_out(self) -> int:
        """Run, show, and tell broken promises by the exit status."""
        experiment = self._experiment()
        run = Run(
            experiment=experiment,
            pids_by_process=self._processes(),
            clock=Clock(),
        )
        earlier = self.earlier()
        self.line(experiment.summary())
        # Unlike epoll, select wakes up within a fraction of a millisecond.
        outcome = curio.run(run.carry_out, selector=selectors.SelectSelector())
        result = make_result(experiment, outcome, clock=Clock())
        if self.option('output'):
            write_result(result, pathlib.Path(self.option('output')))
        self.show(result, earlier)
        return 0 if outcome.verdict.kept else BROKEN_STATUS

    def _experiment(self) -> Experiment:
        path = pathlib.Path(self.argument('experiment'))
        experiment = read_experiment(
            path,
            addresses_by_name=self._pairs('address'),
            seed=self._seed(),
        )
        if self.option('rate') is None:
            return experiment
        return experiment.at_rate(number_option(self, 'rate'))

    def _seed(self) -> int | None:
        text = self.option('seed')
        if text is None or text.isdecimal():
            return int(text) if text else None
        raise option_error('seed', 'expected a whole number')

    def _processes(self) -> dict[str, int]:
        pids_by_name = {}
        for name, text in self._pairs('process').items():
            if not text.isdecimal() or read_usage(int(text)) is None:
                raise option_error('process', f'{text} is no running process')
            pids_by_name[name] = int(text)
        return pids_by_name

    def _pairs(self, name: str) -> dict[str, str]:
        pairs = {}
        for text in self.option(name):
            key, separator, content = text.partition('=')
            if not separator or not content:
                raise option_error(name, f'expected NAME=..., found {text!r}')
            pairs[key] = content
        return pairs


class ReportCommand(LoadCommand):
    """The command that shows a result again."""

    name = 'report'
    description = 'Show a result, beside an earlier one if given'
    arguments: ClassVar[list[Argument]] = [argument('result', 'A JSON result')]
    options: ClassVar[list[Option]] = [AGAINST, REPORT]

    def carry_out(self) -> int:
        """Show the result."""
        result = self.result_of('result', self.argument('result'))
        self.show(result, self.earlier())
        return 0


def main() -> int:
    """Run the binary and return its exit status."""
    application = Application('chicorybridge-load', VERSION)
    application.add(RunCommand())
    application.add(ReportCommand())
    return application.run()


def _row(difference: Difference) -> list[str]:
    before = difference.before
    return [
        difference.group,
        difference.figure,
        '' if before is None else f'{before:.2f}',
        f'{difference.after:.2f}',
    ]
