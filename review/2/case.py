"""A request that crashes servers, while the hosts are restarted in turn."""

import asyncio
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'standins'))

from crashers import Crashers  # noqa: E402
from world import BOUNDS, TROUBLE, CannotRunError, main, now  # noqa: E402

HOSTS = 5


async def restart(world, host) -> None:
    """Stop a host as the platform does, and start it again."""
    host.signal(signal.SIGTERM)
    kill_at = now() + BOUNDS['grace_s']
    while host.process.poll() is None and now() < kill_at:
        await asyncio.sleep(0.02)
    host.kill()
    await asyncio.sleep(0.5)
    host.start()
    await world.wait_ready([host])


async def case(world) -> bool:
    crashers = Crashers(world, hosts=HOSTS, servers=12)
    await crashers.prepare()
    for host in world.hosts:
        host.start()
    await world.wait_ready()
    await asyncio.sleep(6)
    crashers.start_traffic()
    await asyncio.sleep(2)
    # All hosts learn of the request.
    for number in range(4):
        crashers.send_crasher(world.hosts[number])
        await asyncio.sleep(1)
    if len(world.crashes) > 3:
        raise CannotRunError('the request was not refused before the restarts')
    for host in world.hosts:
        if TROUBLE:
            crashers.stopping.add(host)
            await restart(world, host)
            crashers.stopping.discard(host)
        # Longer than contact_s: the machine is in touch again.
        await asyncio.sleep(BOUNDS['contact_s'] + 1)
        # The request comes again, first where it was refused, then here.
        crashers.send_crasher(world.hosts[world.hosts.index(host) - 1])
        await asyncio.sleep(1)
        for _ in range(3):
            crashers.send_crasher(host)
            await asyncio.sleep(1.5)
    await crashers.finish()
    return crashers.broken()


main(case, FOLDER)
