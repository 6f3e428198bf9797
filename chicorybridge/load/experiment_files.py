"""Read experiments from INI files in the format of `docs/experiments.md`."""

import dataclasses
import json
import pathlib
from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import Any, TypeAlias

from chicorybridge.common.errors import ErrorCode
from chicorybridge.common.fields import (
    AddressField,
    ChoiceField,
    Field,
    FieldError,
    FlagField,
    IntegerField,
    NumberField,
    PathField,
)
from chicorybridge.common.ini_files import (
    Fields,
    Problem,
    Section,
    missing_section_problem,
    parse_section,
    raise_problems,
    read_sections,
)
from chicorybridge.load.experiments import (
    CallerGroup,
    Experiment,
    FaultStep,
    NamedAddress,
    RequestKind,
    Via,
)

MAX_DURATION_MS = 86_400_000
MAX_RATE = 100_000
MAX_COUNT = 10_000
MAX_BODY_BYTES = 1024**3
MAX_SEED = 1_000_000_000

EXPERIMENT_SECTION = 'experiment'

# The values by key of each section, by name of the section.
ValuesByName: TypeAlias = dict[str, dict[str, Any]]


@dataclasses.dataclass(frozen=True, kw_only=True)
class NamesField(Field):
    """A field of names separated by spaces."""

    def parse(self, text: str) -> Any:
        """Return a tuple of names."""
        return tuple(text.split())


@dataclasses.dataclass(frozen=True, kw_only=True)
class KnobsField(Field):
    """A field of knobs (runtime settings) of stand-ins, a JSON object."""

    def parse(self, text: str) -> Any:
        """Return the object or raise `FieldError`."""
        try:
            knobs = json.loads(text)
        except ValueError:
            knobs = None
        if isinstance(knobs, dict):
            return knobs
        raise FieldError(
            code=ErrorCode.setting_type, detail='expected a JSON object'
        )


def _milliseconds_field(*, required: bool = False) -> IntegerField:
    return IntegerField(low=0, high=MAX_DURATION_MS, required=required)


def _count_field(low: int = 1) -> IntegerField:
    return IntegerField(low=low, high=MAX_COUNT)


FIELDS_BY_KIND: Mapping[str, Fields] = MappingProxyType(
    {
        EXPERIMENT_SECTION: {
            'duration_ms': _milliseconds_field(required=True),
            'warm_up_ms': _milliseconds_field(),
            'seed': IntegerField(low=0, high=MAX_SEED),
        },
        'address': {
            'at': AddressField(required=True),
            'target': FlagField(),
        },
        'request': {
            'method': Field(),
            'path': PathField(),
            'body_bytes': IntegerField(low=0, high=MAX_BODY_BYTES),
            'share': NumberField(low=0, high=MAX_RATE),
            'keyed': FlagField(),
        },
        'callers': {
            'to': NamesField(required=True),
            'requests': NamesField(required=True),
            'region': Field(),
            'via': ChoiceField(choices=Via),
            'requests_per_second': NumberField(low=0, high=MAX_RATE),
            'hosts': _count_field(),
            'workers': _count_field(),
            'start_ms': _milliseconds_field(),
            'stop_ms': _milliseconds_field(),
            'timeout_ms': _milliseconds_field(),
            'issued_keys': FlagField(),
            'repeats': _count_field(low=0),
            'repeat_after_ms': _milliseconds_field(),
            'process': Field(),
        },
        'fault': {
            'at_ms': _milliseconds_field(required=True),
            'to': NamesField(required=True),
            'knobs': KnobsField(required=True),
            'platform': FlagField(),
        },
    }
)

CLASSES_BY_KIND: Mapping[str, Callable[..., Any]] = MappingProxyType(
    {
        'address': NamedAddress,
        'request': RequestKind,
        'callers': CallerGroup,
        'fault': FaultStep,
    }
)

# The kind of section that the names under a key refer to.
KINDS_BY_KEY = MappingProxyType({'to': 'address', 'requests': 'request'})


def read_experiment(
    path: pathlib.Path,
    *,
    addresses_by_name: Mapping[str, str] | None = None,
    seed: int | None = None,
) -> Experiment:
    """Read an experiment; raise `SettingsError` with all problems.

    `addresses_by_name` and `seed` override those of the file.
    """
    sections, problems = read_sections(path)
    reader = ExperimentReader(file=path.name)
    reader.problems.extend(problems)
    for section in sections:
        reader.add_section(section)
    for name, address in (addresses_by_name or {}).items():
        reader.override_address(name, address)
    experiment = reader.build()
    if seed is None:
        return experiment
    return dataclasses.replace(experiment, seed=seed)


class ExperimentReader:
    """Collect sections and their problems, then build the experiment."""

    def __init__(self, *, file: str) -> None:
        """Start without sections."""
        self.problems: list[Problem] = []
        self.values_by_kind: dict[str, ValuesByName] = {
            kind: {} for kind in FIELDS_BY_KIND
        }
        self._file = file
        self._sections: list[Section] = []

    def add_section(self, section: Section) -> None:
        """Parse one section and record its problems."""
        fields = FIELDS_BY_KIND.get(section.kind)
        if fields is None or not section.entity_id:
            self._add_problem(section, '', 'unknown section')
            return
        values_by_key, problems = parse_section(section, fields)
        self.problems.extend(problems)
        self.values_by_kind[section.kind][section.entity_id] = values_by_key
        self._sections.append(section)

    def override_address(self, name: str, address: str) -> None:
        """Set the address of a name, whether or not the file has it."""
        try:
            at = AddressField().parse(address)
        except FieldError as error:
            self.problems.append(
                Problem(
                    file=self._file,
                    section=f'address {name}',
                    key='at',
                    code=error.code,
                    detail=error.detail,
                )
            )
            return
        self.values_by_kind['address'].setdefault(name, {})['at'] = at

    def build(self) -> Experiment:
        """Check references and return the experiment.

        Raise `SettingsError` with all problems.
        """
        for section in self._sections:
            self._check_references(section)
        if len(self.values_by_kind[EXPERIMENT_SECTION]) != 1:
            self.problems.append(
                missing_section_problem(
                    file=self._file,
                    section=EXPERIMENT_SECTION,
                    detail='expected one [experiment NAME] section',
                )
            )
        raise_problems(self.problems)
        name, values_by_key = next(
            iter(self.values_by_kind[EXPERIMENT_SECTION].items())
        )
        return Experiment(
            name=name,
            duration_ms=values_by_key['duration_ms'],
            warm_up_ms=values_by_key.get('warm_up_ms', 0),
            seed=values_by_key.get('seed', 1),
            places_by_name=self._build_entities('address'),
            requests_by_name=self._build_entities('request'),
            callers_by_name=self._build_entities('callers'),
            faults_by_name=self._build_entities('fault'),
        )

    def _build_entities(self, kind: str) -> dict[str, Any]:
        return {
            name: CLASSES_BY_KIND[kind](name=name, **values_by_key)
            for name, values_by_key in self.values_by_kind[kind].items()
        }

    def _check_references(self, section: Section) -> None:
        for key, kind in KINDS_BY_KEY.items():
            names = section.texts_by_key.get(key, '').split()
            unknown = set(names) - set(self.values_by_kind[kind])
            for name in sorted(unknown):
                self._add_problem(
                    section,
                    key,
                    f'no section [{kind} {name}]',
                    code=ErrorCode.setting_reference,
                )

    def _add_problem(
        self,
        section: Section,
        key: str,
        detail: str,
        *,
        code: ErrorCode = ErrorCode.setting_unknown,
    ) -> None:
        self.problems.append(section.problem(key=key, code=code, detail=detail))
