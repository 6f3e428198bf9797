"""Write `docs/constants.md` from the comments and values of the settings.

Modules named `settings` in subpackages hold the constants of their subject.

python -m chicorybridge.tools.constants
"""

import ast
import dataclasses
import importlib
import pathlib
import sys
from collections.abc import Iterable, Iterator
from types import ModuleType

from chicorybridge import settings

PACKAGE_PATH = pathlib.Path(settings.__file__).parent
PAGE_PATH = pathlib.Path(__file__).parents[2] / 'docs' / 'constants.md'
INTRODUCTION = """# Constants

Times, limits and weights that are the same on all hosts, from
`chicorybridge/settings.py` and the modules `settings` of its packages. The
text above each table says what its constants are for and gives reasons for
their values. Names in `_MS` are milliseconds, `_BYTES` bytes; shares are from
0 to 1. For the settings of operators, see [settings](settings.md).
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


def _lines(blocks: Iterable[Block], module: ModuleType) -> Iterator[str]:
    for block in blocks:
        yield ' '.join(block.comment)
        yield ''
        yield '| constant | value |'
        yield '| --- | --- |'
        for name in block.names:
            constant = getattr(module, name)
            yield f'| `{name}` | {constant!r} |'
        yield ''


def _package_modules() -> Iterator[ModuleType]:
    """Yield the settings modules of subpackages in alphabetical order."""
    for path in sorted(PACKAGE_PATH.glob('*/settings.py')):
        package = path.parent.name
        yield importlib.import_module(f'chicorybridge.{package}.settings')


def _module_lines(module: ModuleType) -> Iterator[str]:
    blocks = read_blocks(pathlib.Path(str(module.__file__)).read_text())
    yield from _lines(blocks, module)


def render_page() -> str:
    """Return the text of the page for the current settings."""
    lines = [INTRODUCTION, *_module_lines(settings)]
    for module in _package_modules():
        lines.extend((f'## Package `{module.__name__}`', ''))
        lines.extend(_module_lines(module))
    return '\n'.join(lines)


def main() -> int:
    """Write the page."""
    PAGE_PATH.write_text(render_page())
    return 0


if __name__ == '__main__':
    sys.exit(main())
