"""Write `docs/constants.md` from the comments and values of the settings.

python -m chicorybridge.tools.constants
"""

import ast
import dataclasses
import pathlib
import sys
from collections.abc import Iterable, Iterator

from chicorybridge import settings

PAGE_PATH = pathlib.Path(__file__).parents[2] / 'docs' / 'constants.md'
INTRODUCTION = """# Constants

Times, limits and weights that are the same on all hosts, from
`chicorybridge/settings.py`. The text above each table says what its constants
are for and gives reasons for their values. Names in `_MS` are milliseconds,
`_BYTES` bytes; shares are from 0 to 1. For the settings of operators, see
[settings](settings.md).
Written by `python -m chicorybridge.tools.constants`; a test compares it with
the code.
"""


@dataclasses.dataclass(kw_only=True)
class Block:
    """A comment and the names of the constants below it."""

    comment: list[str] = dataclasses.field(default_factory=list)
    names: list[str] = dataclasses.field(default_factory=list)


def read_blocks(source: str) -> list[Block]:
    """Return the constants of a module, grouped by the comment above them."""
    names_by_line = {
        statement.lineno: target.id
        for statement in ast.parse(source).body
        if isinstance(statement, ast.Assign)
        for target in statement.targets
        if isinstance(target, ast.Name)
    }
    blocks = [Block()]
    for number, line in enumerate(source.splitlines(), start=1):
        if line.startswith('#'):
            if blocks[-1].names:
                blocks.append(Block())
            blocks[-1].comment.append(line.lstrip('# '))
        name = names_by_line.get(number)
        if name is not None:
            blocks[-1].names.append(name)
    return blocks


def _render_blocks(blocks: Iterable[Block]) -> str:
    """Return the text of the page."""
    return '\n'.join((INTRODUCTION, *_lines(blocks)))


def _lines(blocks: Iterable[Block]) -> Iterator[str]:
    for block in blocks:
        yield ' '.join(block.comment)
        yield ''
        yield '| constant | value |'
        yield '| --- | --- |'
        for name in block.names:
            constant = getattr(settings, name)
            yield f'| `{name}` | {constant!r} |'
        yield ''


def render_page() -> str:
    """Return the text of the page for the current settings."""
    source = pathlib.Path(settings.__file__).read_text()
    return _render_blocks(read_blocks(source))


def main() -> int:
    """Write the page."""
    PAGE_PATH.write_text(render_page())
    return 0


if __name__ == '__main__':
    sys.exit(main())
