"""Servers go down and up by turns: a harmless read is refused for good."""

import asyncio
import pathlib
import random
import sys
import tempfile

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'standins-2'))

import world as w  # noqa: E402

# As in the site: the servers of `offertes`, its slots and rates.
SERVERS = 28
BOOKINGS_EACH_S = 110
# Clients that read the same record together: ten twice a second, 20 a second.
READS_AT_ONCE, READS_PAUSE_S = 10, 0.5
# The site file: reads take 310 ms in the mean and 2400 ms at most.
READ_WORK_S, BOOKING_WORK_S = 2.2, 0.3
# Kinds: `srv_flap`, share (.15) go down and up, period gap_s: 4 of 28, as long
# as the site files have it at most (6.9 s), with their longest period.
FLAPPING, PERIOD_S, CYCLES = 4, 1.7, 4
FLAPS_AT_S = (1, 8, 15)
DAY_S = 98
RECOVERY_S = 15


class Server(w.Server):
    """Takes longer for one read than for the rest."""

    async def answer(self, head, body, writer):
        is_read = head[0].split(' ')[1].startswith('/lohu930/')
        self.work_s = READ_WORK_S if is_read else BOOKING_WORK_S
        await super().answer(head, body, writer)


async def flap(server):
    """Go down and up by turns."""
    for _ in range(CYCLES):
        await server.crash(PERIOD_S / 2)
        await asyncio.sleep(PERIOD_S / 2)


async def case(folder):
    with tempfile.TemporaryDirectory() as temporary:
        routes = (
            {**w.READ, 'timeout_s': 4, 'target_latency_s': 1.5},
            {**w.BOOK, 'timeout_s': 5, 'target_latency_s': 1.5})
        world = w.World(folder, temporary, hosts=8, servers=SERVERS,
                        zones={'groningen': 'noord', 'eindhoven': 'zuid'},
                        routes=routes)
        for server in world.servers:
            server.__class__ = Server
        try:
            return await play(world)
        finally:
            world.end()


async def play(world):
    await world.start()
    await asyncio.sleep(w.BOUNDS['contact_s'] + 1)
    loop = asyncio.get_running_loop()
    start = loop.time()
    begin = world.record.now()
    calls = {'read': [], 'booking': []}
    waves = list(FLAPS_AT_S) if w.TROUBLE else []

    def call(kind):
        host = random.choice(world.hosts)
        number = len(calls[kind])
        if kind == 'read':
            sent = w.request(world.record, host.front, '/lohu930/42',
                             deadline_ms=8000)
        else:
            sent = w.request(
                world.record, host.front, f'/pufi791/{number}', method='POST',
                body=b'%d' % number, deadline_ms=10000)
        calls[kind].append(asyncio.ensure_future(sent))

    while loop.time() < start + DAY_S:
        now = loop.time() - start
        if waves and now >= waves[0]:
            waves.pop(0)
            sound = [one for one in world.servers if not one.crashed]
            for server in random.sample(sound, FLAPPING):
                asyncio.ensure_future(flap(server))
        while len(calls['booking']) < now * BOOKINGS_EACH_S:
            call('booking')
        if len(calls['read']) < now / READS_PAUSE_S * READS_AT_ONCE:
            for _ in range(READS_AT_ONCE):
                call('read')
        await asyncio.sleep(0.005)
    reads = await asyncio.gather(*calls['read'])
    bookings = await asyncio.gather(*calls['booking'])
    calm_at = begin + FLAPS_AT_S[-1] + PERIOD_S * CYCLES + RECOVERY_S
    of_all = share([*reads, *bookings])
    of_reads = share(reads)
    late = [answer for answer in reads if answer.sent_at > calm_at]
    statuses = {}
    for answer in late:
        key = str(answer.status or answer.error)
        statuses[key] = statuses.get(key, 0) + 1
    text = (
        f'served of all {of_all:.3f}, of the reads {of_reads:.3f}; the reads '
        f'sent later than {RECOVERY_S} s after the last server was back: '
        f'{statuses}')
    world.record.write(text)
    print(text)
    # RULES.md, Starved.
    return of_reads < of_all / 4


def share(answers):
    return sum(w.served(answer) for answer in answers) / len(answers)


w.run_case(case, FOLDER)
