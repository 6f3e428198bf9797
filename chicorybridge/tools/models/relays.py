"""A minimal relay on h11 and curio, the baseline of added latency.

It forwards each request to a random target over pooled connections, without
limits or retries. Start it with `python -m chicorybridge.tools.models.relays`.
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

# Headers that apply to one connection and are not forwarded.
HOP_BY_HOP_HEADERS = frozenset(
    ('connection', 'host', 'content-length', 'transfer-encoding', 'keep-alive')
)


class Relay:
    """Forward requests to targets and return their answers."""

    def __init__(self, *, targets: tuple[Address, ...]) -> None:
        """Choose uniformly among `targets`."""
        self._targets = targets
        self._client = Client()

    async def handle(
        self, connection: ServerConnection, request: Request
    ) -> None:
        """Forward one request and respond with the answer."""
        forwarded = Request(
            method=request.method,
            path=request.path,
            headers_by_name=_end_to_end_headers(request.headers_by_name),
            body=await connection.read_body(),
        )
        answer = await self._client.fetch(
            random.choice(self._targets),
            forwarded,
            timeout_ms=settings.TIMEOUT_MS,
        )
        response = Response(
            status=answer.status,
            headers_by_name=_end_to_end_headers(answer.headers_by_name),
            body=answer.body,
        )
        await connection.respond(response, method=request.method)


class RelayCommand(ServeCommand):
    """The command that runs a relay."""

    name = 'relay'
    description = (
        'Forward requests to random targets, without limits or retries'
    )
    options: ClassVar[list[Option]] = [
        LISTEN_OPTION,
        cleo_option(
            'target', None, 'IP:PORT of a target', flag=False, multiple=True
        ),
    ]

    def serve(self) -> None:
        """Run the relay until it is stopped."""
        try:
            targets = tuple(map(parse_address, self.option('target')))
        except ValueError as error:
            raise option_error('target', error) from error
        if not targets:
            raise option_error('target', 'expected at least one address')
        self.run_handler(Relay(targets=targets).handle)


def main() -> int:
    """Run the relay and return its exit status."""
    application = Application('relay')
    application.add(RelayCommand())
    return application.run()


def _end_to_end_headers(headers_by_name: Mapping[str, str]) -> dict[str, str]:
    return {
        name: text
        for name, text in headers_by_name.items()
        if name not in HOP_BY_HOP_HEADERS
    }


if __name__ == '__main__':
    sys.exit(main())
