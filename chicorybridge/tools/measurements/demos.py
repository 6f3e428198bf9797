"""The checks of `make demo`: a fleet on loopback, shown working."""

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
TIMEOUT_MS = 10_000
START_MS = 30_000
PAUSE_MS = 200
UPLOAD_BYTES = 4 * 1024 * 1024
READS = 200
GRAY_MS = 8000
GRAY_PAUSE_MS = 5
GRAY_TARGET = TargetId('quote-01')
DETECTED_WITHIN_MS = 5000
OK_STATUS = 200


class CheckFailedError(Exception):
    """Report a check of the demo that failed."""


class Demo:
    """Use the fleet as a caller that asked one entry for the others."""

    def __init__(self, *, entry: Address, declaration: Declaration) -> None:
        """Start from one known entry address."""
        self.key_prefix = ''
        self._client = Client()
        self._entries = [entry]
        self._addresses_by_target = {
            target_id: parse_address(target.address)
            for target_id, target in declaration.targets_by_id.items()
        }

    async def learn_entries(self) -> None:
        """Ask which addresses to use."""
        request = Request(method='GET', path='/chicorybridge/entries')
        response = await self.fetch(0, request)
        listed = json.loads(response.body)
        self._entries = [parse_address(text) for text in listed['entries']]
        self.key_prefix = listed['key_prefix']
        version = response.headers_by_name['chicorybridge-version']
        names = ', '.join(listed['entries'])
        say(f'entry list under version {version}: {names}')
        check(len(self._entries) == 3, 'the entry list names three hosts')

    async def show_reads(self) -> None:
        """Send reads through all entries; each answer must be its own."""
        targets: Counter[str] = Counter()
        for number in range(READS):
            name = f'read-{number}'
            response = await self.fetch(number, _read(name))
            body, _ = json.JSONDecoder().raw_decode(response.body.decode())
            check(body['request'] == name, 'a caller gets its own answer')
            digest = hashlib.sha256(response.body).hexdigest()
            told = response.headers_by_name['chicorybridge-digest']
            check(digest == told, 'a caller gets the whole answer')
            targets[body['target']] += 1
        say(f'{READS} reads answered whole by {len(targets)} targets')

    async def show_acceptance(self) -> None:
        """Accept twice through two entries; it must run once."""
        key = f'{self.key_prefix}cabinet-7'
        request = Request(
            method='POST',
            path='/acceptances/7',
            headers_by_name={'Idempotency-Key': key},
            body=b'{"quote": 7}',
        )
        first = await self.fetch(0, request)
        second = await self.fetch(1, request)
        check(first.status == OK_STATUS, 'the acceptance is answered')
        check(first.body == second.body, 'the repeat gets the first answer')
        runs = 0
        for target_id in self._addresses_by_target:
            counts = await self._count(target_id)
            runs += counts['runs_by_key'].get(key, 0)
        check(runs == 1, 'the acceptance ran once')
        say('acceptance sent through two hosts: ran once, same answer twice')

    async def show_upload(self) -> None:
        """Upload 4 MiB; the target must have got every byte."""
        body = random.Random(1).randbytes(UPLOAD_BYTES)
        response = await self.fetch(
            2, Request(method='PUT', path='/photos/veneer', body=body)
        )
        told = json.loads(response.body)
        digest = hashlib.sha256(body).hexdigest()
        check(told['sha256'] == digest, 'the upload arrives whole')
        say('upload of {0} bytes: digest agrees'.format(told['bytes']))

    async def show_gray(self) -> None:
        """Make a target fail its work while its probes stay good."""
        await self._turn(GRAY_TARGET, failure_share=1)
        began = CLOCK.now()
        statuses: Counter[int] = Counter()
        while CLOCK.now() - began < GRAY_MS:
            number = statuses.total()
            response = await self.fetch(number, _read(f'gray-{number}'))
            statuses[response.status] += 1
            await curio.sleep(as_seconds(GRAY_PAUSE_MS))
        counts = await self._count(GRAY_TARGET)
        work = counts['work_since_knobs']
        last = counts['last_work_ms']
        say(f'answers meanwhile, by status: {dict(statuses)}')
        say(f'the gray target got {work} requests, the last after {last} ms')
        check(
            last is None or last < DETECTED_WITHIN_MS,
            'the gray target stops receiving work within 5 s',
        )

    async def fetch(self, number: int, request: Request) -> Response:
        """Send a request to the entry of this number, modulo all."""
        address = self._entries[number % len(self._entries)]
        return await self._client.fetch(address, request, timeout_ms=TIMEOUT_MS)

    async def _turn(self, target_id: TargetId, **knobs: Any) -> None:
        say(f'{target_id} from now on: {knobs}')
        await self._client.fetch(
            self._addresses_by_target[target_id],
            Request(
                method='POST',
                path='/standin/knobs',
                body=json.dumps(knobs).encode(),
            ),
            timeout_ms=TIMEOUT_MS,
        )

    async def _count(self, target_id: TargetId) -> dict[str, Any]:
        response = await self._client.fetch(
            self._addresses_by_target[target_id],
            Request(method='GET', path='/standin/counts'),
            timeout_ms=TIMEOUT_MS,
        )
        return json.loads(response.body)


def say(line: str) -> None:
    """Print a line at once."""
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()


def check(holds: bool, promise: str) -> None:  # noqa: FBT001
    """Raise `CheckFailedError` unless `holds`."""
    if not holds:
        raise CheckFailedError(promise)


async def wait_for_hosts(control: str, hosts: int) -> None:
    """Wait until a control process knows this many hosts."""
    deadline = Millis(CLOCK.now() + START_MS)
    while CLOCK.now() < deadline:
        if await _count_hosts(control) >= hosts:
            return
        await curio.sleep(as_seconds(PAUSE_MS))
    raise CheckFailedError(f'{hosts} hosts did not find each other')


async def show(entry: str, declared: str) -> None:
    """Run all checks through one entry."""
    demo = Demo(
        entry=parse_address(entry),
        declaration=read_declaration(pathlib.Path(declared)),
    )
    await demo.learn_entries()
    await demo.show_reads()
    await demo.show_acceptance()
    await demo.show_upload()
    await demo.show_gray()


async def _count_hosts(control: str) -> int:
    try:
        async with ControlClient(
            address=control, token=operator_token()
        ) as client:
            known = await client.request(HostsRequested())
    except ControlError:
        return 0
    return sum(bool(host.entries) for host in known.hosts)


def _read(name: str) -> Request:
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
    wait = steps.add_parser('wait')
    wait.add_argument('--control', required=True)
    wait.add_argument('--hosts', type=int, required=True)
    shown = steps.add_parser('show')
    shown.add_argument('--entry', required=True)
    shown.add_argument('--declaration', required=True)
    given = parser.parse_args()
    try:
        if given.step == 'wait':
            curio.run(wait_for_hosts, given.control, given.hosts)
        else:
            curio.run(show, given.entry, given.declaration)
    except CheckFailedError as error:
        sys.stderr.write(f'FAILED: {error}\n')
        return 1
    return 0


if __name__ == '__main__':
    sys.exit(main())
