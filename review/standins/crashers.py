"""Requests that crash servers: the fleet, its traffic and the check."""

import asyncio
import random

from world import BOUNDS, CannotRunError, now, route

ZONES = {
    'groningen': 'noord',
    'leeuwarden': 'noord',
    'eindhoven': 'zuid',
    'maastricht': 'zuid',
}
# "The server is back after some seconds."
SERVER_BACK_S = 3.0
MOST_RETRIES = 3


class Crashers:
    """A fleet, clients, and requests that crash each server that runs them."""

    def __init__(self, world, *, hosts: int, servers: int, crash='crash', back_s=SERVER_BACK_S, timeout_s=4.0) -> None:
        self.world = world
        self._crash = crash
        self._back_s = back_s
        self._timeout_s = timeout_s
        self._hosts = hosts
        self._servers = servers
        self._tasks: set = set()
        self._background: list = []
        self.counts = {'answered': 0, 'ran, answer lost': 0, 'not served': 0}
        # Hosts that the other clients leave alone, as they stop.
        self.stopping: set = set()

    async def prepare(self) -> None:
        """Start the servers and write the configuration."""
        world = self.world
        zones = list(ZONES)
        for number in range(self._hosts):
            zone = zones[number % 4]
            world.add_host(f'edge-{zone}-{number // 4 + 1}', zone, ZONES[zone])
        for number in range(self._servers):
            server = await world.add_server(
                'offertes', zones[number % 4], work_s=0.3
            )
            server.behave = self._behave
        world.configure(
            [
                route('r-1', '/lookup/', 'offertes', 'idempotent', timeout_s=self._timeout_s),
                route('r-2', '/accept/', 'offertes', 'non_idempotent', timeout_s=self._timeout_s),
            ],
            ['offertes'],
        )

    def _behave(self, request_id, method, path, body):
        return self._crash if path.startswith('/accept/crashes') else None

    def start_traffic(self) -> None:
        """Start the other clients, and the restarts of crashed servers."""
        self._background = [
            asyncio.create_task(self._traffic()),
            asyncio.create_task(self._revive()),
        ]

    async def finish(self) -> None:
        """Stop the clients and wait for what is under way."""
        for task in self._background:
            task.cancel()
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=6)
        self.world.record.say(f'requests of other clients: {self.counts}')

    def send_crasher(self, host, number: int = 0) -> None:
        """Send one of these requests again: same path, caller and body."""
        self._spawn(
            self.world.request(
                host,
                'POST',
                f'/accept/crashes-{number}',
                body=f'the same body each time, {number}'.encode(),
            )
        )

    def broken(self) -> bool:
        """Return whether BUDGET was broken by one of these requests."""
        record = self.world.record
        for host in self.world.hosts:
            if host.process.poll() is not None:
                raise CannotRunError(f'{host.name} has ended')
        by_path: dict = {}
        for at, _, _, path in self.world.crashes:
            by_path.setdefault(path, []).append(at)
        if any(len(crashes) < 2 for crashes in by_path.values()) or not by_path:
            raise CannotRunError('the requests did not crash servers')
        worst = 0
        for path, crashes in sorted(by_path.items()):
            late = []
            if len(crashes) >= 3:
                bound = crashes[2] + BOUNDS['contact_s']
                late = [
                    at
                    for at, _, _, arrived in self.world.arrivals
                    if arrived == path and at > bound
                ]
            record.say(
                f'{path}: {len(crashes)} servers crashed; it reached servers'
                f' {len(late)} times later than contact_s after the third,'
                f' allowed {MOST_RETRIES}'
            )
            worst = max(worst, len(late))
        return worst > MOST_RETRIES

    def _spawn(self, coroutine) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _ask(self, method, path, body) -> None:
        hosts = [host for host in self.world.hosts if host not in self.stopping]
        request_id, got = await self.world.request(
            random.choice(hosts), method, path, body=body
        )
        if got is not None and got.status == 200:
            self.counts['answered'] += 1
        elif any(run[1] == request_id for run in self.world.runs):
            self.counts['ran, answer lost'] += 1
            self.world.record(f'{request_id} {method} ran, its answer is lost')
        else:
            self.counts['not served'] += 1

    async def _traffic(self) -> None:
        number = 0
        while True:
            number += 1
            self._spawn(self._ask('GET', f'/lookup/{number}', b''))
            body = f'acceptance {number}'.encode()
            self._spawn(self._ask('POST', f'/accept/{number}', body))
            await asyncio.sleep(0.06)

    async def _revive(self) -> None:
        back_at: dict = {}
        while True:
            for server in self.world.servers:
                if server.up:
                    continue
                if server not in back_at:
                    back_at[server] = now() + self._back_s
                elif now() >= back_at[server]:
                    back_at.pop(server)
                    await server.start()
            await asyncio.sleep(0.05)
