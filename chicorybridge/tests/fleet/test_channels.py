"""Datagrams that can't be handled don't end the process of a host."""

import random
from typing import Any

import curio

from chicorybridge import settings
from chicorybridge.common.clocks import (
    Clock,
    ManualClock,
    Millis,
    as_seconds,
)
from chicorybridge.common.identities import HostId, Incarnation, ZoneId
from chicorybridge.fleet.channels import Channel
from chicorybridge.fleet.host_tables import FleetMember
from chicorybridge.fleet.store_reads import ReadInProgress
from chicorybridge.routing.workloads import HostWorkload
from chicorybridge.tests.hosts.deployments import (
    Origin,
    deployed,
    on_curio,
    until,
)

SENDER = HostId('edge-groningen-9')
# Another port than those of the deployments of other tests.
ADDRESS = '127.0.0.1:19871'
OTHER_ADDRESS = '127.0.0.1:19872'
MESSAGES = 40


class Receiver:
    """Raise an error on each message but the last one."""

    def __init__(self) -> None:
        """Start without messages."""
        self.ended = False

    def on_message(
        self, message: object, _sender: HostId, _arrived_after: Millis
    ) -> None:
        """Handle a message."""
        if isinstance(message, ReadInProgress):
            self.ended = True
            return
        raise TypeError('a field has another type')


@on_curio
async def test_error_in_a_message_does_not_end_the_channel():
    receiver = Receiver()
    channel = Channel(
        clock=Clock(),
        host_id=SENDER,
        address=ADDRESS,
        on_message=receiver.on_message,
    )
    async with curio.TaskGroup() as tasks:
        await tasks.spawn(channel.run)
        channel.send(HostWorkload(sent_at=1, in_flight_by_id={}), (ADDRESS,))
        channel.send(ReadInProgress(), (ADDRESS,))
        await until(lambda: receiver.ended)
        await tasks.cancel_remaining()
    assert channel.received == 2


def test_datagram_that_waited_arrived_after_the_socket_was_last_empty():
    clock = ManualClock(start=1000)
    arrived_after: list[Millis] = []
    channel = Channel(
        clock=clock,
        host_id=SENDER,
        address=OTHER_ADDRESS,
        on_message=lambda *arguments: arrived_after.append(arguments[-1]),
    )
    channel.receive_waiting()
    channel.send(ReadInProgress(), (OTHER_ADDRESS,))
    clock.advance(by_ms=4000)
    channel.send(ReadInProgress(), (OTHER_ADDRESS,))
    channel.receive_waiting()
    assert arrived_after == [1000, 1000]
    channel.send(ReadInProgress(), (OTHER_ADDRESS,))
    channel.receive_waiting()
    assert arrived_after[-1] == 5000


def _profile() -> FleetMember:
    return FleetMember(
        host_id=SENDER,
        zone_id=ZoneId('groningen'),
        incarnation=Incarnation(1),
        serial=1,
        front='127.0.0.1:1',
        fleet_address='127.0.0.1:2',
        serving=True,
    )


def _odd_value(rng: random.Random) -> Any:
    return rng.choice((None, -1, 1.5, 'text', b'bytes', (), {}, True, 2**60))


def _odd_report(rng: random.Random) -> HostWorkload:
    in_flight = _odd_value(rng)
    if isinstance(in_flight, dict):
        in_flight = {'i-1': _odd_value(rng)}
    return HostWorkload(
        sent_at=_odd_value(rng),
        in_flight_by_id=in_flight,
        seen=_odd_value(rng),
    )


@on_curio
async def test_fields_of_other_types_do_not_end_a_host():
    async with deployed(Origin(target_id='i-1')) as deployment:
        rng = random.Random(1)
        sender = Channel(
            clock=Clock(),
            host_id=SENDER,
            address='127.0.0.1:0',
            on_message=Receiver().on_message,
        )
        for _ in range(MESSAGES):
            message = _odd_report(rng)
            sender.send(message, (deployment.settings.fleet_address,))
        # A message after them is still handled, and so is the next tick.
        sender.send(_profile(), (deployment.settings.fleet_address,))
        await until(lambda: deployment.host.fleet_view.host_table.profiles())
        await curio.sleep(as_seconds(2 * settings.TICK_MS))
        sender.send(ReadInProgress(), (deployment.settings.fleet_address,))
        answer = await deployment.send('/lookup/7')
    assert answer.status == 200
