"""The checks of `make demo` on a fleet on loopback."""

import argparse
import hashlib
import json
import pathlib
import random
import sys
from collections import Counter
from typing import Any

import curio

from chicorybridge.common.addresses import Address, parse_address
from chicorybridge.common.clocks import Clock, Millis, as_seconds
from chicorybridge.common.identities import TargetId
from chicorybridge.configuration.declarations import Declaration
from chicorybridge.configuration.sections import read_declaration
from chicorybridge.control.operator_messages import HostsRequested
from chicorybridge.http.clients import Client
from chicorybridge.http.servers import Request, Response
from chicorybridge.operators.operator_clients import ControlClient, ControlError
from chicorybridge.operators.operator_commands import operator_token

CLOCK = Clock()
REQUEST_TIMEOUT_MS = 10_000
START_TIMEOUT_MS = 30_000
POLL_INTERVAL_MS = 200
UPLOAD_BYTES = 4 * 1024 * 1024
READ_COUNT = 200
GRAY_MS = 8000
GRAY_REQUEST_INTERVAL_MS = 5
GRAY_TARGET = TargetId('quote-01')
MAX_DETECTION_MS = 5000
OK_STATUS = 200


class CheckFailedError(Exception):
    """A check of the demo failed."""


class Demo:
    """Run the checks as a caller that fetches the list of entries first."""

    def __init__(self, *, entry: Address, declaration: Declaration) -> None:
        """Start with the address of one entry."""
        self.key_prefix = ''
        self._client = Client()
        self._entries = [entry]
        self._addresses_by_target = {
            target_id: parse_address(target.address)
            for target_id, target in declaration.targets_by_id.items()
        }

    async def fetch_entries(self) -> None:
        """Fetch the entry addresses and the key prefix."""
        request = Request(method='GET', path='/chicorybridge/entries')
        response = await self.fetch(0, request)
        document = json.loads(response.body)
        self._entries = [parse_address(text) for text in document['entries']]
        self.key_prefix = document['key_prefix']
        version = response.headers_by_name['chicorybridge-version']
        names = ', '.join(document['entries'])
        print_line(f'entry list under version {version}: {names}')
        check(len(self._entries) == 3, 'the entry list has three addresses')

    async def show_reads(self) -> None:
        """Send reads through all entries; check that answers match requests."""
        targets: Counter[str] = Counter()
        for number in range(READ_COUNT):
            name = f'read-{number}'
            response = await self.fetch(number, _read_request(name))
            body, _ = json.JSONDecoder().raw_decode(response.body.decode())
            check(
                body['request'] == name,
                'a caller gets the answer to its own request',
            )
            digest = hashlib.sha256(response.body).hexdigest()
            expected_digest = response.headers_by_name['chicorybridge-digest']
            check(
                digest == expected_digest, 'a caller gets the complete answer'
            )
            targets[body['target']] += 1
        print_line(
            f'{READ_COUNT} reads answered completely by {len(targets)} targets'
        )

    async def show_acceptance(self) -> None:
        """Send an acceptance through two entries; check that it runs once."""
        key = f'{self.key_prefix}cabinet-7'
        request = Request(
            method='POST',
            path='/acceptances/7',
            headers_by_name={'Idempotency-Key': key},
            body=b'{"quote": 7}',
        )
        first = await self.fetch(0, request)
        second = await self.fetch(1, request)
        check(
            first.status == OK_STATUS,
            'the acceptance is answered with status 200',
        )
        check(
            first.body == second.body,
            'the repeated acceptance gets the first answer',
        )
        runs = 0
        for target_id in self._addresses_by_target:
            counts = await self._fetch_counts(target_id)
            runs += counts['runs_by_key'].get(key, 0)
        check(runs == 1, 'the acceptance ran once')
        print_line(
            'acceptance sent through two hosts: ran once, same answer twice'
        )

    async def show_upload(self) -> None:
        """Upload 4 MiB; check that the target received every byte."""
        body = random.Random(1).randbytes(UPLOAD_BYTES)
        response = await self.fetch(
            2, Request(method='PUT', path='/photos/veneer', body=body)
        )
        answer = json.loads(response.body)
        digest = hashlib.sha256(body).hexdigest()
        check(answer['sha256'] == digest, 'the upload arrives completely')
        print_line(
            'upload of {0} bytes: digest matches'.format(answer['bytes'])
        )

    async def show_gray(self) -> None:
        """Make a target fail requests; check that it stops getting any.

        Its probes still succeed.
        """
        await self._set_knobs(GRAY_TARGET, failure_share=1)
        started_at = CLOCK.now()
        statuses: Counter[int] = Counter()
        while CLOCK.now() - started_at < GRAY_MS:
            number = statuses.total()
            response = await self.fetch(number, _read_request(f'gray-{number}'))
            statuses[response.status] += 1
            await curio.sleep(as_seconds(GRAY_REQUEST_INTERVAL_MS))
        counts = await self._fetch_counts(GRAY_TARGET)
        work = counts['work_since_knobs']
        last_work_ms = counts['last_work_ms']
        print_line(f'answers in that time, by status: {dict(statuses)}')
        print_line(
            f'the gray target got {work} requests, the last one after'
            f' {last_work_ms} ms'
        )
        check(
            last_work_ms is None or last_work_ms < MAX_DETECTION_MS,
            'the gray target stops receiving work within 5 s',
        )

    async def fetch(self, number: int, request: Request) -> Response:
        """Send a request to entry `number` modulo the number of entries."""
        address = self._entries[number % len(self._entries)]
        return await self._client.fetch(
            address, request, timeout_ms=REQUEST_TIMEOUT_MS
        )

    async def _set_knobs(self, target_id: TargetId, **knobs: Any) -> None:
        print_line(f'setting knobs of {target_id}: {knobs}')
        await self._client.fetch(
            self._addresses_by_target[target_id],
            Request(
                method='POST',
                path='/standin/knobs',
                body=json.dumps(knobs).encode(),
            ),
            timeout_ms=REQUEST_TIMEOUT_MS,
        )

    async def _fetch_counts(self, target_id: TargetId) -> dict[str, Any]:
        response = await self._client.fetch(
            self._addresses_by_target[target_id],
            Request(method='GET', path='/standin/counts'),
            timeout_ms=REQUEST_TIMEOUT_MS,
        )
        return json.loads(response.body)


def print_line(line: str) -> None:
    """Print a line and flush."""
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()


def check(holds: bool, expectation: str) -> None:  # noqa: FBT001
    """Raise `CheckFailedError` unless `holds`."""
    if not holds:
        raise CheckFailedError(expectation)


async def wait_for_hosts(control: str, hosts: int) -> None:
    """Wait until a control process lists this many hosts with entries."""
    deadline = Millis(CLOCK.now() + START_TIMEOUT_MS)
    while CLOCK.now() < deadline:
        if await _count_hosts(control) >= hosts:
            return
        await curio.sleep(as_seconds(POLL_INTERVAL_MS))
    raise CheckFailedError(
        f'fewer than {hosts} hosts found each other within 30 s'
    )


async def show(entry: str, declaration_path: str) -> None:
    """Run all checks, starting from the entry at address `entry`."""
    demo = Demo(
        entry=parse_address(entry),
        declaration=read_declaration(pathlib.Path(declaration_path)),
    )
    await demo.fetch_entries()
    await demo.show_reads()
    await demo.show_acceptance()
    await demo.show_upload()
    await demo.show_gray()


async def _count_hosts(control: str) -> int:
    try:
        async with ControlClient(
            address=control, token=operator_token()
        ) as client:
            listed_hosts = await client.request(HostsRequested())
    except ControlError:
        return 0
    return sum(bool(host.entries) for host in listed_hosts.hosts)


def _read_request(name: str) -> Request:
    return Request(
        method='GET',
        path=f'/quotes/{name}?bytes=2000',
        headers_by_name={
            'Chicorybridge-Request': name,
            'Chicorybridge-Workspace': 'restorers',
        },
    )


def main() -> int:
    """Run one step of the demo and return its exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    steps = parser.add_subparsers(dest='step', required=True)
    wait_parser = steps.add_parser('wait')
    wait_parser.add_argument('--control', required=True)
    wait_parser.add_argument('--hosts', type=int, required=True)
    show_parser = steps.add_parser('show')
    show_parser.add_argument('--entry', required=True)
    show_parser.add_argument('--declaration', required=True)
    arguments = parser.parse_args()
    try:
        if arguments.step == 'wait':
            curio.run(wait_for_hosts, arguments.control, arguments.hosts)
        else:
            curio.run(show, arguments.entry, arguments.declaration)
    except CheckFailedError as error:
        sys.stderr.write(f'FAILED: {error}\n')
        return 1
    return 0


if __name__ == '__main__':
    sys.exit(main())
