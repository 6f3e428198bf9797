"""Fields of INI sections, which parse and validate the text of a key."""

import dataclasses
import ipaddress
from enum import Enum
from types import MappingProxyType
from typing import Any

from chicorybridge.common.errors import ErrorCode

FLAGS_BY_TEXT = MappingProxyType(
    {'yes': True, 'no': False, 'true': True, 'false': False}
)
MAX_PORT = 65535


class FieldError(Exception):
    """Report text that is not valid for a field."""

    def __init__(self, *, code: ErrorCode, detail: str) -> None:
        """Create an error; `detail` says what was expected."""
        super().__init__(detail)
        self.code = code
        self.detail = detail


@dataclasses.dataclass(frozen=True, kw_only=True)
class Field:
    """A key of a section; its value is any text that is not empty."""

    required: bool = False

    def parse(self, text: str) -> Any:
        """Return the value that `text` stands for; raise `FieldError`."""
        if not text:
            raise FieldError(
                code=ErrorCode.setting_type, detail='expected text, found none'
            )
        return text


@dataclasses.dataclass(frozen=True, kw_only=True)
class NumberField(Field):
    """A decimal number from `low` to `high`, inclusive."""

    low: float
    high: float

    def parse(self, text: str) -> Any:
        """Return the number or raise `FieldError`."""
        try:
            number = self.convert(text)
        except ValueError:
            raise self._error(ErrorCode.setting_type, text) from None
        if self.low <= number <= self.high:
            return number
        raise self._error(ErrorCode.setting_range, text)

    def convert(self, text: str) -> float:
        """Convert `text`; raise `ValueError` if it is not a number."""
        return float(text)

    def _error(self, code: ErrorCode, text: str) -> FieldError:
        expected = f'expected a number from {self.low} to {self.high}'
        return FieldError(code=code, detail=f'{expected}, found {text!r}')


@dataclasses.dataclass(frozen=True, kw_only=True)
class IntegerField(NumberField):
    """An integer from `low` to `high`, inclusive."""

    def convert(self, text: str) -> int:
        """Convert `text`; raise `ValueError` if it is not an integer."""
        return int(text)


@dataclasses.dataclass(frozen=True, kw_only=True)
class FlagField(Field):
    """A boolean: yes, no, true or false."""

    def parse(self, text: str) -> Any:
        """Return the boolean or raise `FieldError`."""
        flag = FLAGS_BY_TEXT.get(text.lower())
        if flag is None:
            raise FieldError(
                code=ErrorCode.setting_type,
                detail=f'expected yes or no, found {text!r}',
            )
        return flag


@dataclasses.dataclass(frozen=True, kw_only=True)
class AddressField(Field):
    """An IP address and a port, such as 127.0.0.1:8080."""

    def parse(self, text: str) -> Any:
        """Return the address as IP:PORT or raise `FieldError`."""
        host, _, port = text.rpartition(':')
        try:
            ipaddress.ip_address(host.strip('[]'))
        except ValueError:
            raise self._error(text) from None
        if port.isdecimal() and int(port) <= MAX_PORT:
            return text
        raise self._error(text)

    def _error(self, text: str) -> FieldError:
        return FieldError(
            code=ErrorCode.setting_type,
            detail=f'expected IP:PORT, found {text!r}',
        )


@dataclasses.dataclass(frozen=True, kw_only=True)
class PathField(Field):
    """A path that starts with a slash."""

    def parse(self, text: str) -> Any:
        """Return the path or raise `FieldError`."""
        if text.startswith('/'):
            return text
        raise FieldError(
            code=ErrorCode.setting_type,
            detail=f'expected a path that starts with /, found {text!r}',
        )


@dataclasses.dataclass(frozen=True, kw_only=True)
class WordListField(Field):
    """Words separated by spaces, converted to upper case."""

    def parse(self, text: str) -> Any:
        """Return the words as a tuple."""
        return tuple(text.upper().split())


@dataclasses.dataclass(frozen=True, kw_only=True)
class ChoiceField(Field):
    """A member of an enum, written as its value."""

    choices: type[Enum]

    def parse(self, text: str) -> Any:
        """Return the member or raise `FieldError`."""
        try:
            return self.choices(text)
        except ValueError:
            expected = ', '.join(choice.value for choice in self.choices)
            raise FieldError(
                code=ErrorCode.setting_range,
                detail=f'expected one of {expected}, found {text!r}',
            ) from None


@dataclasses.dataclass(frozen=True, kw_only=True)
class ReferenceField(Field):
    """The id of another section, whose kind is `kind`."""

    kind: str


def share_field(*, required: bool = False) -> NumberField:
    """Return a field for a share from 0 to 1."""
    return NumberField(low=0, high=1, required=required)
