"""Reading INI files into sections, with every problem found at once."""

import configparser
import dataclasses
import pathlib
from collections.abc import Iterable, Mapping
from typing import Any

from chicorybridge.common.errors import ChicorybridgeError, ErrorCode
from chicorybridge.common.fields import Field, FieldError

# Fields of a section by key.
Fields = Mapping[str, Field]

SUFFIX = '*.ini'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Problem:
    """One error of a file, told by file, section and key."""

    file: str
    section: str
    key: str
    code: ErrorCode
    detail: str

    def __str__(self) -> str:
        """Return one line for people."""
        place = f'[{self.section}] {self.key}'.rstrip()
        return ': '.join((self.file, place, str(self.code), self.detail))


class SettingsError(ChicorybridgeError):
    """Report every problem of a set of files."""

    def __init__(self, *, problems: tuple[Problem, ...]) -> None:
        """Keep all problems; the first one gives the code."""
        super().__init__(
            code=problems[0].code,
            detail='\n'.join(str(problem) for problem in problems),
        )
        self.problems = problems


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Section:
    """A section as written: `[kind id]` and the text of its keys."""

    file: str
    title: str
    texts_by_key: dict[str, str]

    @property
    def kind(self) -> str:
        """Return the first word of the title."""
        return self.title.partition(' ')[0]

    @property
    def entity_id(self) -> str:
        """Return what follows the first word of the title."""
        return self.title.partition(' ')[2].strip()

    def problem(self, *, key: str, code: ErrorCode, detail: str) -> Problem:
        """Return a problem at `key` of this section."""
        return Problem(
            file=self.file,
            section=self.title,
            key=key,
            code=code,
            detail=detail,
        )


def find_files(path: pathlib.Path) -> tuple[pathlib.Path, ...]:
    """Return `path` itself, or the INI files of a directory in order."""
    if path.is_dir():
        return tuple(sorted(path.glob(SUFFIX)))
    return (path,)


def read_sections(
    path: pathlib.Path,
) -> tuple[tuple[Section, ...], tuple[Problem, ...]]:
    """Read one file; a file that can't be read is a problem, too."""
    problems = []
    try:
        parser = _parse(path, strict=True)
    except (configparser.Error, OSError, UnicodeDecodeError) as error:
        problems.append(_unreadable(path, error))
        parser = _parse_leniently(path)
    sections = tuple(
        Section(file=path.name, title=title, texts_by_key=dict(parser[title]))
        for title in parser.sections()
    )
    return sections, tuple(problems)


def parse_section(
    section: Section, fields: Fields
) -> tuple[dict[str, Any], tuple[Problem, ...]]:
    """Check the keys of a section; return values and problems."""
    problems = [
        section.problem(
            key=key, code=ErrorCode.setting_unknown, detail='unknown key'
        )
        for key in section.texts_by_key
        if key not in fields
    ]
    problems.extend(
        section.problem(
            key=key, code=ErrorCode.setting_missing, detail='missing key'
        )
        for key, field in fields.items()
        if field.required and key not in section.texts_by_key
    )
    values_by_key = {}
    for key, text in section.texts_by_key.items():
        if key not in fields:
            continue
        try:
            values_by_key[key] = fields[key].parse(text)
        except FieldError as error:
            problems.append(
                section.problem(key=key, code=error.code, detail=error.detail)
            )
    return values_by_key, tuple(problems)


def missing_section_problem(*, file: str, section: str, detail: str) -> Problem:
    """Return the problem of a file without a section that it needs."""
    return Problem(
        file=file,
        section=section,
        key='',
        code=ErrorCode.setting_missing,
        detail=detail,
    )


def raise_problems(problems: Iterable[Problem]) -> None:
    """Raise `SettingsError` if there is any problem."""
    found = tuple(problems)
    if found:
        raise SettingsError(problems=found)


def _parse(path: pathlib.Path, *, strict: bool) -> configparser.ConfigParser:
    parser = configparser.ConfigParser(
        strict=strict,
        interpolation=None,
        default_section='',
        inline_comment_prefixes=(';',),
    )
    with path.open(encoding='utf-8') as lines:
        parser.read_file(lines)
    return parser


def _parse_leniently(path: pathlib.Path) -> configparser.ConfigParser:
    # Duplicates stop a strict parser; the rest of the file is checked too.
    try:
        return _parse(path, strict=False)
    except (configparser.Error, OSError, UnicodeDecodeError):
        return configparser.ConfigParser()


def _unreadable(path: pathlib.Path, error: Exception) -> Problem:
    section = getattr(error, 'section', '') or ''
    key = getattr(error, 'option', '') or ''
    duplicates = (
        configparser.DuplicateSectionError,
        configparser.DuplicateOptionError,
    )
    code = ErrorCode.declaration_unreadable
    if isinstance(error, duplicates):
        code = ErrorCode.setting_duplicate
    return Problem(
        file=path.name,
        section=section,
        key=key,
        code=code,
        detail=str(error).replace('\n', ' '),
    )
