"""Settings of a host process, read from its INI file."""

import dataclasses
import math
import pathlib
from types import MappingProxyType
from typing import Any

from chicorybridge import settings
from chicorybridge.common.addresses import parse_address
from chicorybridge.common.clocks import MILLIS_PER_SECOND
from chicorybridge.common.errors import ErrorCode
from chicorybridge.common.fields import (
    AddressField,
    Field,
    FieldError,
    FlagField,
    NumberField,
)
from chicorybridge.common.identities import HostId, RegionId, ZoneId
from chicorybridge.common.ini_files import (
    Fields,
    Problem,
    missing_section_problem,
    parse_section,
    raise_problems,
    read_sections,
)
from chicorybridge.quotas.limits import QuotaBounds
from chicorybridge.quotas.settings import QUOTA_WINDOW_MS, REVOKE_MS
from chicorybridge.routing.allowances import RetryBound

HOST_SECTION = 'host'
ZONES_SECTION = 'zones'
BOUNDS_SECTION = 'bounds'
MAX_NUMBER = 1_000_000.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class AddressesField(Field):
    """Addresses as IP:PORT, separated by commas; may be empty."""

    def parse(self, text: str) -> Any:
        """Return the addresses or raise `FieldError`."""
        items = [item.strip() for item in text.split(',') if item.strip()]
        try:
            return tuple(parse_address(item) for item in items)
        except ValueError as error:
            raise FieldError(
                code=ErrorCode.setting_type, detail=str(error)
            ) from error


@dataclasses.dataclass(frozen=True, kw_only=True)
class PortsField(Field):
    """The first and the last of a range of free ports."""

    def parse(self, text: str) -> Any:
        """Return the first port or raise `FieldError`."""
        first, _, last = text.partition(',')
        if not (first.isdecimal() and last.isdecimal()):
            raise FieldError(
                code=ErrorCode.setting_type, detail='expected FIRST,LAST'
            )
        return int(first)


HOST_FIELDS: Fields = MappingProxyType(
    {
        'host': Field(required=True),
        'ip': Field(required=True),
        'zone': Field(required=True),
        'region': Field(required=True),
        'front': AddressField(required=True),
        'readiness': AddressField(required=True),
        'directory': AddressField(required=True),
        'fleet_ports': PortsField(required=True),
        'seeds': AddressesField(),
        'bootstrap': FlagField(),
        'bandwidth_mbps': NumberField(low=0, high=MAX_NUMBER),
        'memory_mb': NumberField(low=0, high=MAX_NUMBER),
        'store': AddressField(required=True),
        'metrics': AddressField(required=True),
    }
)

NON_NEGATIVE = NumberField(low=0, high=MAX_NUMBER, required=True)

BOUND_FIELDS: Fields = MappingProxyType(
    {
        'grace_s': NON_NEGATIVE,
        'ttl_s': NON_NEGATIVE,
        'config_apply_s': NON_NEGATIVE,
        'drain_s': NON_NEGATIVE,
        'retry_ratio': NON_NEGATIVE,
        'retry_slack': NON_NEGATIVE,
        'retry_window_s': NON_NEGATIVE,
        'contact_s': NumberField(low=0, high=MAX_NUMBER),
        'target_heartbeat_s': NumberField(low=0, high=MAX_NUMBER),
        'revoke_s': NumberField(low=0, high=MAX_NUMBER),
        'fail_closed': FlagField(),
        'quota_window_s': NumberField(low=0, high=MAX_NUMBER),
        'quota_overage': NumberField(low=0, high=MAX_NUMBER),
        'quota_slack': NumberField(low=0, high=MAX_NUMBER),
    }
)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class HostBounds:
    """Limits that the operators of the platform set."""

    grace_ms: float
    # How long callers may use the addresses that this host returns.
    ttl_ms: float
    # Changes in the store should reach all hosts within this time.
    known_within_ms: float
    retries: RetryBound
    # A host that is silent for longer is out of touch.
    contact_ms: float = settings.HOST_CONTACT_MS
    # How often targets write their entries in the store.
    target_heartbeat_ms: float = settings.TARGET_HEARTBEAT_MS
    # Keys of callers are refused when the store data are older than this.
    max_key_age_ms: float = math.inf
    quotas: QuotaBounds = QuotaBounds()


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class HostSettings:
    """Settings of a host process; addresses are IP:PORT."""

    host_id: HostId
    ip_number: str
    zone_id: ZoneId
    region_id: RegionId
    # Address for callers.
    front: str
    readiness: str
    directory: str
    metrics: str
    fleet_port: int
    seeds: tuple[str, ...]
    store: str
    regions_by_zone: dict[ZoneId, RegionId]
    bounds: HostBounds
    # What the link of the host carries; 0 if it is not known.
    bandwidth_mbps: float = 0
    # Memory of the machine; 0 if it is not known.
    memory_mb: float = 0
    # The fleet starts for the first time: there was no earlier process.
    bootstrap: bool = False

    @property
    def fleet_address(self) -> str:
        """Return the IP:PORT for datagrams and streams of other hosts."""
        return f'{self.ip_number}:{self.fleet_port}'


def read_host_settings(path: pathlib.Path) -> HostSettings:
    """Read the file; raise `SettingsError` with every problem."""
    sections, problems = read_sections(path)
    texts_by_title = {
        section.title: section.texts_by_key for section in sections
    }
    all_problems = list(problems)
    values_by_key: dict[str, Any] = {}
    for title, fields in (
        (HOST_SECTION, HOST_FIELDS),
        (BOUNDS_SECTION, BOUND_FIELDS),
    ):
        all_problems.extend(
            _parse(path, sections, title, fields, values_by_key)
        )
    raise_problems(all_problems)
    return _settings(values_by_key, texts_by_title.get(ZONES_SECTION, {}))


def _parse(
    path: pathlib.Path,
    sections: Any,
    title: str,
    fields: Fields,
    values_by_key: dict[str, Any],
) -> list[Problem]:
    for section in sections:
        if section.title == title:
            parsed, problems = parse_section(section, fields)
            values_by_key.update(parsed)
            return list(problems)
    missing = missing_section_problem(
        file=path.name, section=title, detail='missing section'
    )
    return [missing]


def _settings(
    values_by_key: dict[str, Any], regions_by_zone: dict[str, str]
) -> HostSettings:
    fleet_port = values_by_key['fleet_ports']
    zone_id = ZoneId(values_by_key['zone'])
    region_id = RegionId(values_by_key['region'])
    regions = {
        ZoneId(zone): RegionId(region)
        for zone, region in regions_by_zone.items()
    }
    return HostSettings(
        host_id=HostId(values_by_key['host']),
        ip_number=values_by_key['ip'],
        zone_id=zone_id,
        region_id=region_id,
        front=values_by_key['front'],
        readiness=values_by_key['readiness'],
        directory=values_by_key['directory'],
        metrics=values_by_key['metrics'],
        fleet_port=fleet_port,
        # The port of a seed is replaced: all hosts use `fleet_port` among
        # themselves.
        seeds=tuple(
            f'{seed.host}:{fleet_port}'
            for seed in values_by_key.get('seeds', ())
        ),
        store=values_by_key['store'],
        regions_by_zone={zone_id: region_id, **regions},
        bounds=_bounds(values_by_key),
        bandwidth_mbps=values_by_key.get('bandwidth_mbps') or 0,
        memory_mb=values_by_key.get('memory_mb') or 0,
        bootstrap=bool(values_by_key.get('bootstrap')),
    )


def _bounds(values_by_key: dict[str, Any]) -> HostBounds:
    ttl_ms = values_by_key['ttl_s'] * MILLIS_PER_SECOND
    # New configurations and leaving targets are read from the store together,
    # so the shorter of their limits applies to both. Within it all hosts have
    # tried to read the store, so it ends before the store counts as
    # unavailable.
    spread_limit_s = min(
        values_by_key['config_apply_s'], values_by_key['drain_s']
    )
    heartbeat_ms = _optional_ms(
        values_by_key, 'target_heartbeat_s', settings.TARGET_HEARTBEAT_MS
    )
    return HostBounds(
        grace_ms=values_by_key['grace_s'] * MILLIS_PER_SECOND,
        ttl_ms=min(ttl_ms, settings.DIRECTORY_TTL_MS),
        known_within_ms=min(
            spread_limit_s * MILLIS_PER_SECOND,
            heartbeat_ms * settings.STORE_OUTAGE_HEARTBEATS,
        ),
        contact_ms=_optional_ms(
            values_by_key, 'contact_s', settings.HOST_CONTACT_MS
        ),
        target_heartbeat_ms=heartbeat_ms,
        max_key_age_ms=(
            _optional_ms(values_by_key, 'revoke_s', REVOKE_MS)
            if values_by_key.get('fail_closed')
            else math.inf
        ),
        quotas=QuotaBounds(
            window_ms=_optional_ms(
                values_by_key, 'quota_window_s', QUOTA_WINDOW_MS
            ),
            overage=values_by_key.get('quota_overage') or 0,
            slack=values_by_key.get('quota_slack') or 0,
        ),
        retries=RetryBound(
            ratio=values_by_key['retry_ratio'],
            slack=values_by_key['retry_slack'],
            window_ms=values_by_key['retry_window_s'] * MILLIS_PER_SECOND,
        ),
    )


def _optional_ms(
    values_by_key: dict[str, Any], key: str, default_ms: float
) -> float:
    """Return a setting in seconds as milliseconds, or the default."""
    seconds = values_by_key.get(key)
    return default_ms if seconds is None else seconds * MILLIS_PER_SECOND
