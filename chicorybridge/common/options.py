"""Command line options: addresses and numbers, validated."""

from typing import Any

from cleo.commands.command import Command
from cleo.helpers import option as cleo_option
from cleo.io.inputs.option import Option

from chicorybridge.common.addresses import Address, parse_address
from chicorybridge.common.errors import ChicorybridgeError, ErrorCode


class OptionError(ChicorybridgeError):
    """Report an invalid command line option."""


def option(name: str, description: str, default: Any = None) -> Option:
    """Return an option that takes a value, with an optional default."""
    text = None if default is None else str(default)
    return cleo_option(name, None, description, flag=False, default=text)


def address_option(command: Command, name: str) -> Address:
    """Return the address in the option `name`; raise `OptionError`."""
    try:
        return parse_address(command.option(name))
    except ValueError as error:
        raise option_error(name, error) from error


def number_option(command: Command, name: str) -> float:
    """Return the number in the option `name`.

    Raise `OptionError` if it is not a number or below 0.
    """
    try:
        number = float(command.option(name))
    except ValueError as error:
        raise option_error(name, error) from error
    if number < 0:
        raise option_error(name, 'below 0', code=ErrorCode.setting_range)
    return number


def option_error(
    name: str, reason: object, *, code: ErrorCode = ErrorCode.setting_type
) -> OptionError:
    """Return the error for the option `name`; `reason` says what is wrong."""
    return OptionError(code=code, detail=f'--{name}: {reason}')
