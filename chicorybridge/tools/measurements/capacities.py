"""Measure the slopes of docs/CAPACITY.md.

    python -m chicorybridge.tools.measurements.capacities measure

Processor times depend on the machine and on what else it runs; the rest
is exact.
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

HEAD = """| figure | per unit | fixed | worst distance | points |
| --- | --- | --- | --- | --- |"""


class MeasureCommand(Command):
    """The command that measures and prints the slopes."""

    name = 'measure'
    description = 'Measure slopes at several sizes'
    options: ClassVar[list[Option]] = [
        option(
            'part',
            'Which slopes: declarations, changes, messages, controls, all',
            ALL_PARTS,
        ),
        option('output', 'Write the slopes as JSON to this file'),
    ]

    def handle(self) -> int:
        """Measure, print a table, write the file."""
        self.line(HEAD)
        slopes = []
        for measure in self._measures():
            for slope in measure():
                self.line(describe(slope))
                slopes.append(slope)
        if self.option('output'):
            _write(slopes, pathlib.Path(self.option('output')))
        return 0

    def _measures(self) -> list[Measure]:
        part = self.option('part')
        if part == ALL_PARTS:
            return list(MEASURES_BY_PART.values())
        if part not in MEASURES_BY_PART:
            raise option_error('part', f'no part {part}')
        return [MEASURES_BY_PART[part]]


class DeclareCommand(Command):
    """The command that writes a declaration of the full size."""

    name = 'declare'
    description = 'Write a made-up declaration as an INI file'
    arguments: ClassVar[list[Argument]] = [argument('file', 'The INI file')]
    options: ClassVar[list[Option]] = [
        option('share', 'Share of the full size', 1)
    ]

    def handle(self) -> int:
        """Write the file."""
        sizes = Sizes().scaled(number_option(self, 'share'))
        write_declaration(sizes, pathlib.Path(self.argument('file')))
        return 0


def describe(slope: Slope) -> str:
    """Return a slope as a row of a Markdown table."""
    points = [': '.join(map(_rounded, point)) for point in slope.points]
    per_unit = _rounded(slope.per_unit)
    cells = (
        slope.name,
        f'{per_unit} {slope.unit}',
        _rounded(slope.fixed),
        format(slope.worst_share, '.0%'),
        ', '.join(points),
    )
    row = ' | '.join(cells)
    return f'| {row} |'


def _rounded(number: float) -> str:
    return format(number, '.4g')


def main() -> int:
    """Run the program and return its exit status."""
    application = Application('capacities')
    application.add(MeasureCommand())
    application.add(DeclareCommand())
    return application.run()


def _write(slopes: Iterable[Slope], path: pathlib.Path) -> None:
    document = {
        'machine': describe_machine(),
        'slopes': [slope.document() for slope in slopes],
    }
    path.write_text(json.dumps(document, indent=1))


if __name__ == '__main__':
    sys.exit(main())
