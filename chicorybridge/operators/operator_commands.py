"""Base classes of the operator commands: options, queries and output."""

import json
import os
from typing import Any, ClassVar

import curio
from cleo.commands.command import Command
from cleo.helpers import argument, option
from cleo.io.inputs.option import Option

from chicorybridge.common.clocks import Clock
from chicorybridge.common.errors import ChicorybridgeError, ErrorCode
from chicorybridge.control.operator_messages import HostsRequested
from chicorybridge.operators.operator_clients import ControlClient, ControlError

PATH_ARGUMENT = argument('path', 'INI file, or a directory of them')

EXIT_SUCCESS = 0
EXIT_FAILURE = 1
EXIT_REFUSED = 2
EXIT_PENDING = 3

TOKEN_VARIABLE = 'CHICORYBRIDGE_OPERATOR_TOKEN'  # noqa: S105
CONTROL_VARIABLE = 'CHICORYBRIDGE_CONTROL'


class CommandBase(Command):
    """Base of all commands, which run in an event loop.

    Coded errors are printed and end the command.
    """

    options: ClassVar[list[Option]] = [
        option('json', None, 'Print JSON', flag=True),
    ]

    clock = Clock()

    def handle(self) -> int:
        """Run the command and return its exit status."""
        try:
            return curio.run(self.handle_async)
        except ChicorybridgeError as error:
            self.line_error(str(error))
            return EXIT_FAILURE

    async def handle_async(self) -> int:
        """Run the command and return its exit status; raise coded errors."""
        raise NotImplementedError

    def show(self, document: dict[str, Any]) -> None:
        """Print a document as JSON with --json, else as lines of text."""
        if self.option('json'):
            self.line(json.dumps(document, default=str))
            return
        for key, content in document.items():
            self._show_item(key, content)

    def _show_item(self, key: str, content: Any) -> None:
        if not isinstance(content, list | dict):
            self.line(f'{key}: {content}')
            return
        self.line(f'{key}:')
        rows = content.items() if isinstance(content, dict) else content
        for row in rows:
            self.line('  {0}'.format(_format_row(row)))


class FleetCommand(CommandBase):
    """Base of the commands that query control processes of the fleet."""

    options: ClassVar[list[Option]] = [
        *CommandBase.options,
        option(
            'control',
            None,
            'IP:PORT of a control process; default: environment variable '
            f'{CONTROL_VARIABLE}',
            flag=False,
        ),
    ]

    def connect(self, address: str = '') -> ControlClient:
        """Return a client of `address`, or of the configured control process.

        Its address is that of --control, else of the environment. Raise
        `ControlError` if there is none, or no token.
        """
        control_address = address or self.option('control')
        control_address = control_address or os.environ.get(
            CONTROL_VARIABLE, ''
        )
        if not control_address:
            raise ControlError(
                code=ErrorCode.setting_missing,
                detail='no control process: pass --control or set the '
                f'environment variable {CONTROL_VARIABLE}',
            )
        return ControlClient(address=control_address, token=operator_token())

    async def request_from_all(self, message: Any) -> list[Any]:
        """Send a message to every host and return the answers.

        The hosts are those in the view of the configured control process.
        Print an error for each host that can't be reached or gives no answer.
        """
        async with self.connect() as client:
            host_list = await client.request(HostsRequested())
        answers = []
        for host in host_list.hosts:
            try:
                answers.append(await self._request_from(host.address, message))
            except ControlError as error:
                self.line_error(str(error))
        return answers

    def show_record(self, record: dict[str, Any]) -> None:
        """Print one event as JSON with --json, else as a line of text."""
        if self.option('json'):
            self.line(json.dumps(record, default=str))
            return
        self.line(_format_row(record))

    async def _request_from(self, address: str, message: Any) -> Any:
        async with self.connect(address) as client:
            return await client.request(message)


def operator_token() -> bytes:
    """Return the token of operators from the environment.

    Raise `ControlError` if it is not set.
    """
    token = os.environ.get(TOKEN_VARIABLE, '')
    if not token:
        raise ControlError(
            code=ErrorCode.setting_missing, detail=f'set {TOKEN_VARIABLE}'
        )
    return token.encode()


def _format_row(row: Any) -> str:
    if isinstance(row, tuple):
        key, content = row
        return f'{key}: {_format_row(content)}'
    if isinstance(row, dict):
        return ' '.join(f'{key}={content}' for key, content in row.items())
    return str(row)
