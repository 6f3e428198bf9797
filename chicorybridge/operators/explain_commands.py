"""Command that shows the log records of one request."""

import itertools
import pathlib
from collections.abc import Iterator
from typing import ClassVar

from cleo.helpers import argument
from cleo.io.inputs.argument import Argument

from chicorybridge.common.errors import ChicorybridgeError, ErrorCode
from chicorybridge.operators.explanations import explain, format_record
from chicorybridge.operators.operator_commands import (
    EXIT_FAILURE,
    EXIT_SUCCESS,
    CommandBase,
)


class ExplainCommand(CommandBase):
    """Show the records that explain the outcome of a request."""

    name = 'explain'
    description = 'Show what happened to a request, from logs of hosts'
    arguments: ClassVar[list[Argument]] = [
        argument('request', 'Id of the request'),
        argument('files', 'Log files', multiple=True),
    ]

    async def handle_async(self) -> int:
        """Print the records found in the files; return 1 if there are none."""
        request_id = self.argument('request')
        paths = [pathlib.Path(name) for name in self.argument('files')]
        explanation = explain(
            request_id, itertools.chain.from_iterable(map(_read_lines, paths))
        )
        if self.option('json'):
            self.show(
                {
                    'records': list(explanation.records),
                    'beliefs': list(explanation.target_records),
                    'unreadable_lines': explanation.unreadable_lines,
                }
            )
        else:
            for record in (*explanation.target_records, *explanation.records):
                self.line(format_record(record))
        if explanation.unreadable_lines:
            self.line_error(
                f'skipped {explanation.unreadable_lines} lines without a record'
            )
        if explanation.records:
            return EXIT_SUCCESS
        self.line_error(f'{ErrorCode.request_unknown}: {request_id}')
        return EXIT_FAILURE


def _read_lines(path: pathlib.Path) -> Iterator[str]:
    try:
        with path.open(encoding='utf-8', errors='replace') as lines:
            yield from lines
    except OSError as error:
        raise ChicorybridgeError(
            code=ErrorCode.log_unreadable, detail=str(error)
        ) from error
