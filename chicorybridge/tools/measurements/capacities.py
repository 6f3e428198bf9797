"""Measure the cost slopes that docs/CAPACITY.md lists.

    python -m chicorybridge.tools.measurements.capacities measure

Processor times depend on the machine and its other load; all else is
exact.
"""

import json
import pathlib
import sys
from collections.abc import Callable, Iterable, Mapping
from types import MappingProxyType
from typing import ClassVar

from cleo.application import Application
from cleo.commands.command import Command
from cleo.helpers import argument
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option

from chicorybridge.common.options import number_option, option, option_error
from chicorybridge.load.results import describe_machine
from chicorybridge.tools.measurements.control_costs import measure_controls
from chicorybridge.tools.measurements.declaration_costs import (
    measure_changes,
    measure_declarations,
)
from chicorybridge.tools.measurements.message_costs import measure_messages
from chicorybridge.tools.measurements.slopes import Slope
from chicorybridge.tools.models.synthetics import Sizes, write_declaration

Measure = Callable[[], Iterable[Slope]]

MEASURES_BY_PART: Mapping[str, Measure] = MappingProxyType(
    {
        'declarations': measure_declarations,
        'changes': measure_changes,
        'messages': measure_messages,
        'controls': measure_controls,
    }
)
ALL_PARTS = 'all'

TABLE_HEADER = """| figure | per unit | fixed | worst distance | points |
| --- | --- | --- | --- | --- |"""


class MeasureCommand(Command):
    """The command that measures slopes and prints them as a table."""

    name = 'measure'
    description = 'Measure costs at several sizes and fit slopes'
    options: ClassVar[list[Option]] = [
        option(
            'part',
            'Which slopes: declarations, changes, messages, controls, all',
            ALL_PARTS,
        ),
        option('output', 'Write the slopes as JSON to this file'),
    ]

    def handle(self) -> int:
        """Measure, print the table and write the output file, if any."""
        self.line(TABLE_HEADER)
        slopes = []
        for measure in self._measures():
            for slope in measure():
                self.line(format_row(slope))
                slopes.append(slope)
        if self.option('output'):
            _write_results(slopes, pathlib.Path(self.option('output')))
        return 0

    def _measures(self) -> list[Measure]:
        part = self.option('part')
        if part == ALL_PARTS:
            return list(MEASURES_BY_PART.values())
        if part not in MEASURES_BY_PART:
            raise option_error('part', f'unknown part {part}')
        return [MEASURES_BY_PART[part]]


class DeclareCommand(Command):
    """The command that writes a synthetic declaration."""

    name = 'declare'
    description = 'Write a synthetic declaration as an INI file'
    arguments: ClassVar[list[Argument]] = [argument('file', 'The INI file')]
    options: ClassVar[list[Option]] = [
        option('share', 'Share of the full size', 1)
    ]

    def handle(self) -> int:
        """Write the declaration at the share of the full size."""
        sizes = Sizes().scaled(number_option(self, 'share'))
        write_declaration(sizes, pathlib.Path(self.argument('file')))
        return 0


def format_row(slope: Slope) -> str:
    """Return a slope as a row of a Markdown table."""
    points = [': '.join(map(_format_number, point)) for point in slope.points]
    per_unit = _format_number(slope.per_unit)
    cells = (
        slope.name,
        f'{per_unit} {slope.unit}',
        _format_number(slope.fixed),
        format(slope.worst_share, '.0%'),
        ', '.join(points),
    )
    row = ' | '.join(cells)
    return f'| {row} |'


def _format_number(number: float) -> str:
    return format(number, '.4g')


def main() -> int:
    """Run the program and return its exit status."""
    application = Application('capacities')
    application.add(MeasureCommand())
    application.add(DeclareCommand())
    return application.run()


def _write_results(slopes: Iterable[Slope], path: pathlib.Path) -> None:
    document = {
        'machine': describe_machine(),
        'slopes': [slope.document() for slope in slopes],
    }
    path.write_text(json.dumps(document, indent=1))


if __name__ == '__main__':
    sys.exit(main())
