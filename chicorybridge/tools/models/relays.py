"""A bare relay of h11 over curio, the baseline of added latency.

It sends each request to one of its targets over pooled connections, and
decides nothing. Start it with `python -m chicorybridge.tools.models.relays`.
"""

import random
import sys
from collections.abc import Mapping
from typing import ClassVar

from cleo.application import Application
from cleo.helpers import option as cleo_option
from cleo.io.inputs.option import Option

from chicorybridge import settings
from chicorybridge.common.addresses import Address, parse_address
from chicorybridge.common.options import option_error
from chicorybridge.http.clients import Client
from chicorybridge.http.servers import Request, Response, ServerConnection
from chicorybridge.standins.standins import LISTEN_OPTION, ServeCommand

# Fields that belong to one connection only.
HOP_FIELDS = frozenset(
    ('connection', 'host', 'content-length', 'transfer-encoding', 'keep-alive')
)


class Relay:
    """Send requests on and bring answers back."""

    def __init__(self, *, targets: tuple[Address, ...]) -> None:
        """Choose among `targets` evenly."""
        self._targets = targets
        self._client = Client()

    async def handle(
        self, connection: ServerConnection, request: Request
    ) -> None:
        """Relay one request."""
        forwarded = Request(
            method=request.method,
            path=request.path,
            headers_by_name=_end_to_end(request.headers_by_name),
            body=await connection.read_body(),
        )
        answer = await self._client.fetch(
            random.choice(self._targets),
            forwarded,
            timeout_ms=settings.TIMEOUT_MS,
        )
        response = Response(
            status=answer.status,
            headers_by_name=_end_to_end(answer.headers_by_name),
            body=answer.body,
        )
        await connection.respond(response, method=request.method)


class RelayCommand(ServeCommand):
    """The command that relays."""

    name = 'relay'
    description = 'Relay requests to targets without any decision'
    options: ClassVar[list[Option]] = [
        LISTEN_OPTION,
        cleo_option(
            'target', None, 'IP:PORT of a target', flag=False, multiple=True
        ),
    ]

    def serve(self) -> None:
        """Relay until stopped."""
        try:
            targets = tuple(map(parse_address, self.option('target')))
        except ValueError as error:
            raise option_error('target', error) from error
        if not targets:
            raise option_error('target', 'expected at least one')
        self.run_handler(Relay(targets=targets).handle)


def main() -> int:
    """Run the relay and return its exit status."""
    application = Application('relay')
    application.add(RelayCommand())
    return application.run()


def _end_to_end(headers_by_name: Mapping[str, str]) -> dict[str, str]:
    return {
        name: text
        for name, text in headers_by_name.items()
        if name not in HOP_FIELDS
    }


if __name__ == '__main__':
    sys.exit(main())
