"""The command that explains what became of one request."""

import itertools
import pathlib
from collections.abc import Iterator
from typing import ClassVar

from cleo.helpers import argument
from cleo.io.inputs.argument import Argument

from chicorybridge.common.errors import ChicorybridgeError, ErrorCode
from chicorybridge.operators.explanations import explain, one_line
from chicorybridge.operators.operator_commands import (
    EXIT_DONE,
    EXIT_FAILED,
    CommandBase,
)


class ExplainCommand(CommandBase):
    """Tell the story of a request from log files of hosts."""

    name = 'explain'
    description = 'Tell what became of a request, from logs of hosts'
    arguments: ClassVar[list[Argument]] = [
        argument('request', 'Id of the request'),
        argument('files', 'Log files', multiple=True),
    ]

    async def act(self) -> int:
        """Read the files and print the story; return 1 without one."""
        request_id = self.argument('request')
        paths = [pathlib.Path(name) for name in self.argument('files')]
        story = explain(
            request_id, itertools.chain.from_iterable(map(_lines, paths))
        )
        if self.option('json'):
            self.show(
                {
                    'records': list(story.records),
                    'beliefs': list(story.beliefs),
                    'unreadable_lines': story.unreadable,
                }
            )
        else:
            for record in (*story.beliefs, *story.records):
                self.line(one_line(record))
        if story.unreadable:
            self.line_error(f'{story.unreadable} lines hold no record')
        if story.records:
            return EXIT_DONE
        self.line_error(f'{ErrorCode.request_unknown}: {request_id}')
        return EXIT_FAILED


def _lines(path: pathlib.Path) -> Iterator[str]:
    try:
        with path.open(encoding='utf-8', errors='replace') as lines:
            yield from lines
    except OSError as error:
        raise ChicorybridgeError(
            code=ErrorCode.log_unreadable, detail=str(error)
        ) from error
