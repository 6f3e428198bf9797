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

# Exit status of a complete run in which a promise to callers was broken.
PROMISE_BROKEN_STATUS = 3

REPORT_OPTION = option('report', 'Write an HTML report to this file')
AGAINST_OPTION = option('against', 'An earlier result to compare with')


def repeatable_option(name: str, description: str) -> Option:
    """Return a command line option that may be given several times."""
    return cleo_option(name, None, description, flag=False, multiple=True)


class LoadCommand(Command):
    """Base of the commands: reports coded errors and prints results."""

    def handle(self) -> int:
        """Run the command; return 1 after a coded error."""
        logging.basicConfig(level=logging.INFO, stream=sys.stderr)
        try:
            return self.run_command()
        except ChicorybridgeError as error:
            self.line_error(str(error))
            return 1

    def run_command(self) -> int:
        """Do the work and return the exit status.

        Raise `ChicorybridgeError` to end with status 1.
        """
        raise NotImplementedError

    def load_result(self, name: str, path: str) -> dict[str, Any]:
        """Read a result file; `name` is the option or argument in errors."""
        try:
            return read_result(pathlib.Path(path))
        except (OSError, ValueError) as error:
            raise option_error(name, error) from error

    def earlier_result(self) -> dict[str, Any] | None:
        """Return the result that --against names, if any."""
        path = self.option('against')
        return self.load_result('against', path) if path else None

    def print_result(
        self, result: dict[str, Any], earlier: dict[str, Any] | None
    ) -> None:
        """Print the figures; write the HTML report if --report is given."""
        rows = map(_table_row, compare(result, earlier))
        table = self.table()
        table.set_headers(['group', 'figure', 'before', 'after'])
        table.set_rows(list(rows))
        table.render()
        for name, group in result['groups'].items():
            outcomes = group['outcomes']
            self.line(f'{name}: {outcomes}')
        promise_check = result['verdict']
        self.line(f'promises: {promise_check}')
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
        repeatable_option('address', 'NAME=IP:PORT, overrides the file'),
        repeatable_option('process', 'NAME=PID of a process to measure'),
        option('output', 'Write the result as JSON to this file'),
        option('seed', 'Overrides the seed of the file'),
        option(
            'rate', 'Requests per second of every group; overrides the file'
        ),
        AGAINST_OPTION,
        REPORT_OPTION,
    ]

    def run_command(self) -> int:
        """Run the experiment; print its result and write it to --output.

        Return `PROMISE_BROKEN_STATUS` if a promise was broken.
        """
        experiment = self._experiment()
        run = Run(
            experiment=experiment,
            pids_by_process=self._pids_by_process(),
            clock=Clock(),
        )
        earlier = self.earlier_result()
        self.line(experiment.summary())
        # Unlike epoll, select wakes up within a fraction of a millisecond.
        outcome = curio.run(run.execute, selector=selectors.SelectSelector())
        result = make_result(experiment, outcome, clock=Clock())
        if self.option('output'):
            write_result(result, pathlib.Path(self.option('output')))
        self.print_result(result, earlier)
        return 0 if outcome.promise_check.kept else PROMISE_BROKEN_STATUS

    def _experiment(self) -> Experiment:
        path = pathlib.Path(self.argument('experiment'))
        experiment = read_experiment(
            path,
            addresses_by_name=self._values_by_name('address'),
            seed=self._seed(),
        )
        if self.option('rate') is None:
            return experiment
        return experiment.with_rate(number_option(self, 'rate'))

    def _seed(self) -> int | None:
        text = self.option('seed')
        if text is None or text.isdecimal():
            return int(text) if text else None
        raise option_error('seed', 'expected a whole number of 0 or more')

    def _pids_by_process(self) -> dict[str, int]:
        pids_by_name = {}
        for name, text in self._values_by_name('process').items():
            if not text.isdecimal() or read_usage(int(text)) is None:
                raise option_error(
                    'process', f'no running process has the PID {text}'
                )
            pids_by_name[name] = int(text)
        return pids_by_name

    def _values_by_name(self, name: str) -> dict[str, str]:
        pairs = {}
        for text in self.option(name):
            key, separator, content = text.partition('=')
            if not separator or not content:
                raise option_error(name, f'expected NAME=VALUE, found {text!r}')
            pairs[key] = content
        return pairs


class ReportCommand(LoadCommand):
    """The command that prints an existing result."""

    name = 'report'
    description = 'Show a result, compared with an earlier one if given'
    arguments: ClassVar[list[Argument]] = [argument('result', 'A JSON result')]
    options: ClassVar[list[Option]] = [AGAINST_OPTION, REPORT_OPTION]

    def run_command(self) -> int:
        """Print the result and write the report."""
        result = self.load_result('result', self.argument('result'))
        self.print_result(result, self.earlier_result())
        return 0


def main() -> int:
    """Run the binary and return its exit status."""
    application = Application('chicorybridge-load', VERSION)
    application.add(RunCommand())
    application.add(ReportCommand())
    return application.run()


def _table_row(difference: Difference) -> list[str]:
    before = difference.before
    return [
        difference.group,
        difference.figure,
        '' if before is None else f'{before:.2f}',
        f'{difference.after:.2f}',
    ]
