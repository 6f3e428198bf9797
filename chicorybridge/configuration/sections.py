"""Reading of a `Declaration` from the sections of INI files."""

import pathlib
from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import Any, TypeAlias

from chicorybridge.common.errors import ErrorCode
from chicorybridge.common.fields import (
    AddressField,
    ChoiceField,
    Field,
    FlagField,
    IntegerField,
    NumberField,
    PathField,
    ReferenceField,
    WordListField,
    share_field,
)
from chicorybridge.common.ini_files import (
    Fields,
    Problem,
    Section,
    find_files,
    missing_section_problem,
    parse_section,
    raise_problems,
    read_sections,
)
from chicorybridge.configuration.declarations import (
    Declaration,
    Pool,
    Priority,
    Region,
    Route,
    Service,
    Target,
    Workspace,
    Zone,
)

MAX_TIMEOUT_MS = 3_600_000
MAX_BITS_PER_SECOND = 1_000_000_000_000
MAX_BODY_BYTES = 1024**4
MAX_SLOTS = 10_000
MAX_CONNECTIONS = 100_000
MAX_SPEED = 1000
MIN_SPEED = 0.001
MAX_REQUESTS_PER_SECOND = 1_000_000

NAME_KIND = 'declaration'

FIELDS_BY_KIND: Mapping[str, Fields] = MappingProxyType(
    {
        NAME_KIND: {},
        'region': {
            'link_bits_per_second': IntegerField(
                low=1, high=MAX_BITS_PER_SECOND
            ),
        },
        'zone': {'region': ReferenceField(kind='region', required=True)},
        'service': {
            'floor': share_field(),
            'sensitivity': share_field(),
            'timeout_ms': IntegerField(low=1, high=MAX_TIMEOUT_MS),
            'retry_share': share_field(),
            'max_body_bytes': IntegerField(low=0, high=MAX_BODY_BYTES),
            'link_share': share_field(),
            'probe_path': PathField(),
        },
        'pool': {
            'service': ReferenceField(kind='service', required=True),
            'hardware': Field(),
            'speed': NumberField(low=MIN_SPEED, high=MAX_SPEED),
            'slots': IntegerField(low=1, high=MAX_SLOTS),
            'connections': IntegerField(low=1, high=MAX_CONNECTIONS),
            'warm_up_ms': IntegerField(low=0, high=MAX_TIMEOUT_MS),
        },
        'target': {
            'pool': ReferenceField(kind='pool', required=True),
            'zone': ReferenceField(kind='zone', required=True),
            'address': AddressField(required=True),
        },
        'route': {
            'service': ReferenceField(kind='service', required=True),
            'prefix': PathField(required=True),
            'methods': WordListField(),
            'idempotent': FlagField(),
            'priority': ChoiceField(choices=Priority),
            'timeout_ms': IntegerField(low=1, high=MAX_TIMEOUT_MS),
        },
        'workspace': {
            'requests_per_second': IntegerField(
                low=1, high=MAX_REQUESTS_PER_SECOND
            ),
        },
    }
)

# Classes of entities by section kind; the id is the field `<kind>_id`.
CLASSES_BY_KIND: Mapping[str, Callable[..., Any]] = MappingProxyType(
    {
        'region': Region,
        'zone': Zone,
        'service': Service,
        'pool': Pool,
        'target': Target,
        'route': Route,
        'workspace': Workspace,
    }
)

# Parsed values by entity id, then by key.
ValuesById: TypeAlias = dict[str, dict[str, Any]]


def read_declaration(path: pathlib.Path) -> Declaration:
    """Read a file or directory; report all problems in a `SettingsError`."""
    reader = DeclarationReader()
    for file in find_files(path):
        sections, problems = read_sections(file)
        reader.problems.extend(problems)
        for section in sections:
            reader.add(section)
    return reader.build(path)


class DeclarationReader:
    """Collect sections and problems, then build the declaration."""

    def __init__(self) -> None:
        """Start without sections."""
        self.problems: list[Problem] = []
        self._name = ''
        self._sections_by_title: dict[str, Section] = {}
        self._values_by_kind: dict[str, ValuesById] = {
            kind: {} for kind in CLASSES_BY_KIND
        }

    def add(self, section: Section) -> None:
        """Add a section and check its values; `build` checks references."""
        fields = FIELDS_BY_KIND.get(section.kind)
        if fields is None or not section.entity_id:
            self._add_problem(
                section, '', ErrorCode.setting_unknown, 'unknown section'
            )
            return
        if section.title in self._sections_by_title:
            self._add_problem(
                section, '', ErrorCode.setting_duplicate, 'duplicate section'
            )
            return
        self._sections_by_title[section.title] = section
        values_by_key, problems = parse_section(section, fields)
        self.problems.extend(problems)
        if section.kind == NAME_KIND:
            self._name = section.entity_id
            return
        values_by_id = self._values_by_kind[section.kind]
        values_by_id[section.entity_id] = values_by_key

    def build(self, path: pathlib.Path) -> Declaration:
        """Check references and build the declaration.

        Raise `SettingsError` if any section has a problem.
        """
        for section in self._sections_by_title.values():
            self._check_references(section)
        self._check_addresses()
        if not self._name:
            self.problems.append(
                missing_section_problem(
                    file=path.name,
                    section=NAME_KIND,
                    detail='no [declaration NAME] section',
                )
            )
        raise_problems(self.problems)
        tables: dict[str, Any] = {
            f'{kind}s_by_id': self._build_table(kind)
            for kind in CLASSES_BY_KIND
        }
        return Declaration(name=self._name, **tables)

    def _build_table(self, kind: str) -> dict[str, Any]:
        references = _references(FIELDS_BY_KIND[kind])
        entities_by_id = {}
        # Sorted, so that the digest does not depend on the order of files and
        # sections.
        for entity_id, values_by_key in sorted(
            self._values_by_kind[kind].items()
        ):
            arguments = {
                f'{key}_id' if key in references else key: value
                for key, value in values_by_key.items()
            }
            arguments[f'{kind}_id'] = entity_id
            entities_by_id[entity_id] = CLASSES_BY_KIND[kind](**arguments)
        return entities_by_id

    def _check_references(self, section: Section) -> None:
        for key, kind in _references(FIELDS_BY_KIND[section.kind]).items():
            entity_id = section.texts_by_key.get(key)
            if entity_id is None or entity_id in self._values_by_kind[kind]:
                continue
            self._add_problem(
                section,
                key,
                ErrorCode.setting_reference,
                f'no section [{kind} {entity_id}]',
            )

    def _check_addresses(self) -> None:
        ids_by_address: dict[str, str] = {}
        for target_id, target in self._values_by_kind['target'].items():
            address = target.get('address')
            if address is None:
                continue
            first_id = ids_by_address.setdefault(address, target_id)
            if first_id != target_id:
                self._add_problem(
                    self._sections_by_title[f'target {target_id}'],
                    'address',
                    ErrorCode.setting_duplicate,
                    f'target {first_id} has the same address',
                )

    def _add_problem(
        self, section: Section, key: str, code: ErrorCode, detail: str
    ) -> None:
        self.problems.append(section.problem(key=key, code=code, detail=detail))


def _references(fields: Fields) -> dict[str, str]:
    return {
        key: field.kind
        for key, field in fields.items()
        if isinstance(field, ReferenceField)
    }
