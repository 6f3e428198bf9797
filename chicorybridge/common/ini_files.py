"""INI files, read into sections; all problems are reported together."""

import configparser
import dataclasses
import pathlib
from collections.abc import Iterable, Mapping
from typing import Any

from chicorybridge.common.errors import ChicorybridgeError, ErrorCode
from chicorybridge.common.fields import Field, FieldError

# Fields of a section, by key.
Fields = Mapping[str, Field]

INI_PATTERN = '*.ini'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Problem:
    """An error in a file, with its section and key."""

    file: str
    section: str
    key: str
    code: ErrorCode
    detail: str

    def __str__(self) -> str:
        """Return the problem as one line for people."""
        place = f'[{self.section}] {self.key}'.rstrip()
        return ': '.join((self.file, place, str(self.code), self.detail))


class SettingsError(ChicorybridgeError):
    """Report all problems of a set of files."""

    def __init__(self, *, problems: tuple[Problem, ...]) -> None:
        """Report `problems`; the code is that of the first one."""
        super().__init__(
            code=problems[0].code,
            detail='\n'.join(str(problem) for problem in problems),
        )
        self.problems = problems


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Section:
    """A section of a file: its title `[kind id]` and the text of its keys."""

    file: str
    title: str
    texts_by_key: dict[str, str]

    @property
    def kind(self) -> str:
        """Return the kind, the first word of the title."""
        return self.title.partition(' ')[0]

    @property
    def entity_id(self) -> str:
        """Return the id, the part of the title after the first word."""
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
    """Return `path` itself, or the INI files of a directory, sorted."""
    if path.is_dir():
        return tuple(sorted(path.glob(INI_PATTERN)))
    return (path,)


def read_sections(
    path: pathlib.Path,
) -> tuple[tuple[Section, ...], tuple[Problem, ...]]:
    """Read one file; return its sections and the problems found.

    A file that can't be read is reported as a problem.
    """
    problems = []
    try:
        parser = _parse(path, strict=True)
    except (configparser.Error, OSError, UnicodeDecodeError) as error:
        problems.append(_read_problem(path, error))
        parser = _parse_leniently(path)
    sections = tuple(
        Section(file=path.name, title=title, texts_by_key=dict(parser[title]))
        for title in parser.sections()
    )
    return sections, tuple(problems)


def parse_section(
    section: Section, fields: Fields
) -> tuple[dict[str, Any], tuple[Problem, ...]]:
    """Parse the keys of a section; return the values by key and problems."""
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
    """Return the problem of a file that lacks a required section."""
    return Problem(
        file=file,
        section=section,
        key='',
        code=ErrorCode.setting_missing,
        detail=detail,
    )


def raise_problems(problems: Iterable[Problem]) -> None:
    """Raise `SettingsError` if there are any problems."""
    all_problems = tuple(problems)
    if all_problems:
        raise SettingsError(problems=all_problems)


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
    # A strict parser stops at duplicates; this one reads the rest of the file,
    # so that its problems are reported as well.
    try:
        return _parse(path, strict=False)
    except (configparser.Error, OSError, UnicodeDecodeError):
        return configparser.ConfigParser()


def _read_problem(path: pathlib.Path, error: Exception) -> Problem:
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
