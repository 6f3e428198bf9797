"""Settings of the processes of a host, from INI files."""

import dataclasses
import os
import pathlib
from collections.abc import Mapping
from types import MappingProxyType
from typing import Any

from chicorybridge.common.errors import ErrorCode
from chicorybridge.common.fields import AddressField, Field
from chicorybridge.common.identities import HostId, RegionId, ZoneId
from chicorybridge.common.ini_files import (
    Fields,
    Problem,
    Section,
    missing_section_problem,
    parse_section,
    raise_problems,
    read_sections,
)
from chicorybridge.storage.stores import HostState, ListedHost

ENTRY = 'entry'
CONTROL = 'control'


@dataclasses.dataclass(frozen=True, kw_only=True)
class SeedsField(AddressField):
    """Seed hosts to contact first, each as HOST@IP:PORT of its control."""

    def parse(self, text: str) -> Any:
        """Return the seed hosts; raise `FieldError` on a bad address."""
        hosts = []
        for word in text.split():
            host_id, _, address = word.partition('@')
            hosts.append(
                ListedHost(
                    host_id=HostId(host_id),
                    address=super().parse(address),
                    state=HostState.live,
                )
            )
        return tuple(hosts)


HOST_FIELDS: Fields = MappingProxyType(
    {
        'host': Field(required=True),
        'zone': Field(required=True),
        'region': Field(required=True),
        'fleet_key_variable': Field(required=True),
    }
)

FIELDS_BY_KIND: Mapping[str, Fields] = MappingProxyType(
    {
        ENTRY: {
            **HOST_FIELDS,
            'listen': AddressField(required=True),
            'control': AddressField(required=True),
        },
        CONTROL: {
            **HOST_FIELDS,
            'listen': AddressField(required=True),
            'platform': AddressField(required=True),
            'operator_token_variable': Field(required=True),
            'seeds': SeedsField(),
        },
    }
)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class EntrySettings:
    """Settings of an entry process; addresses are IP:PORT."""

    host_id: HostId
    zone_id: ZoneId
    region_id: RegionId
    listen: str
    control: str
    fleet_key: bytes


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ControlSettings:
    """Settings of a control process; addresses are IP:PORT."""

    host_id: HostId
    zone_id: ZoneId
    region_id: RegionId
    listen: str
    platform: str
    fleet_key: bytes
    operator_token: bytes
    seeds: tuple[ListedHost, ...] = ()


def read_entry_settings(
    path: pathlib.Path, overrides: Mapping[str, str]
) -> EntrySettings:
    """Read the section [entry]; raise `SettingsError` on any problem.

    `overrides` replaces values of keys in the file.
    """
    values_by_key = _read_values(path, ENTRY, overrides)
    return EntrySettings(
        **_host_values(values_by_key),
        listen=values_by_key['listen'],
        control=values_by_key['control'],
    )


def read_control_settings(
    path: pathlib.Path, overrides: Mapping[str, str]
) -> ControlSettings:
    """Read the section [control]; raise `SettingsError` on any problem.

    `overrides` replaces values of keys in the file.
    """
    values_by_key = _read_values(path, CONTROL, overrides)
    return ControlSettings(
        **_host_values(values_by_key),
        listen=values_by_key['listen'],
        platform=values_by_key['platform'],
        operator_token=_secret(values_by_key['operator_token_variable']),
        seeds=values_by_key.get('seeds', ()),
    )


def _host_values(values_by_key: dict[str, Any]) -> dict[str, Any]:
    return {
        'host_id': HostId(values_by_key['host']),
        'zone_id': ZoneId(values_by_key['zone']),
        'region_id': RegionId(values_by_key['region']),
        'fleet_key': _secret(values_by_key['fleet_key_variable']),
    }


def _read_values(
    path: pathlib.Path, kind: str, overrides: Mapping[str, str]
) -> dict[str, Any]:
    sections, problems = read_sections(path)
    matching = [section for section in sections if section.title == kind]
    if not matching:
        missing = missing_section_problem(
            file=path.name, section=kind, detail='missing section'
        )
        raise_problems((*problems, missing))
    section = dataclasses.replace(
        matching[0], texts_by_key={**matching[0].texts_by_key, **overrides}
    )
    values_by_key, own_problems = parse_section(section, FIELDS_BY_KIND[kind])
    raise_problems((*problems, *own_problems, *_unset_variables(section)))
    return values_by_key


def _unset_variables(section: Section) -> list[Problem]:
    return [
        section.problem(
            key=key,
            code=ErrorCode.setting_missing,
            detail=f'the environment variable {text} is not set',
        )
        for key, text in section.texts_by_key.items()
        if key.endswith('_variable') and not os.environ.get(text)
    ]


def _secret(name: str) -> bytes:
    return os.environ[name].encode()
