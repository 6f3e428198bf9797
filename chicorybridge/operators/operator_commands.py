"""What all operators' commands share: options, streams and output."""

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

PATH = argument('path', 'INI file, or a directory of them')

EXIT_DONE = 0
EXIT_FAILED = 1
EXIT_REFUSED = 2
EXIT_WAITING = 3

TOKEN_VARIABLE = 'CHICORYBRIDGE_OPERATOR_TOKEN'  # noqa: S105
CONTROL_VARIABLE = 'CHICORYBRIDGE_CONTROL'


class CommandBase(Command):
    """Run `act` and turn coded errors into messages."""

    options: ClassVar[list[Option]] = [
        option('json', None, 'Print JSON', flag=True),
    ]

    clock = Clock()

    def handle(self) -> int:
        """Return the exit status."""
        try:
            return curio.run(self.act)
        except ChicorybridgeError as error:
            self.line_error(str(error))
            return EXIT_FAILED

    async def act(self) -> int:
        """Do the work of the command; raise coded errors."""
        raise NotImplementedError

    def show(self, document: dict[str, Any]) -> None:
        """Print a document as JSON or as lines."""
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
            self.line('  {0}'.format(_one_line(row)))


class FleetCommand(CommandBase):
    """Talk to the control processes of the fleet."""

    options: ClassVar[list[Option]] = [
        *CommandBase.options,
        option(
            'control',
            None,
            f'IP:PORT of a control process; else {CONTROL_VARIABLE}',
            flag=False,
        ),
    ]

    def connect(self, address: str = '') -> ControlClient:
        """Return a client of `address`, or of the control given."""
        chosen = address or self.option('control')
        chosen = chosen or os.environ.get(CONTROL_VARIABLE, '')
        if not chosen:
            raise ControlError(
                code=ErrorCode.setting_missing,
                detail=f'give --control or set {CONTROL_VARIABLE}',
            )
        return ControlClient(address=chosen, token=operator_token())

    async def ask_all(self, message: Any) -> list[Any]:
        """Ask every host that the given one knows; report the silent."""
        async with self.connect() as client:
            known = await client.ask(HostsRequested())
        answers = []
        for host in known.hosts:
            try:
                answers.append(await self._ask_one(host.address, message))
            except ControlError as error:
                self.line_error(str(error))
        return answers

    def show_record(self, record: dict[str, Any]) -> None:
        """Print one event."""
        if self.option('json'):
            self.line(json.dumps(record, default=str))
            return
        self.line(_one_line(record))

    async def _ask_one(self, address: str, message: Any) -> Any:
        async with self.connect(address) as client:
            return await client.ask(message)


def operator_token() -> bytes:
    """Return the operators' token of the environment."""
    token = os.environ.get(TOKEN_VARIABLE, '')
    if not token:
        raise ControlError(
            code=ErrorCode.setting_missing, detail=f'set {TOKEN_VARIABLE}'
        )
    return token.encode()


def _one_line(row: Any) -> str:
    if isinstance(row, tuple):
        key, content = row
        return f'{key}: {_one_line(content)}'
    if isinstance(row, dict):
        return ' '.join(f'{key}={content}' for key, content in row.items())
    return str(row)
