"""Upper bounds on the age of peers' messages, from echoed clock readings.

A stamp carries the sender's clock reading and echoes the last reading it
got from the receiver. A message that echoes reading R was sent after R,
by a process that was running then. Clocks of different hosts are never
compared.
"""

import dataclasses

from chicorybridge.common.clocks import Millis
from chicorybridge.common.codecs import wire
from chicorybridge.common.identities import HostId, Incarnation
from chicorybridge.common.systems import Effects, Send, System

# How long after an echoed reading a message still counts: announcements,
# loans, and the echo that shows that a host runs.
FRESH_MS = 4000.0
# A host drops its permits when no peer echoed a reading for this long.
ECHO_TIMEOUT_MS = 10_000.0

# Interval between two rounds of stamp requests, and number of peers
# that get one per round in addition to those that are always polled.
ROUND_INTERVAL_MS = 1000.0
PEERS_PER_ROUND = 2

NEVER = Millis(float('-inf'))


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Stamp:
    """The sender's clock reading, and the echo of the receiver's.

    `echo` and `echo_incarnation` are `None` until the sender has received
    a stamp from the receiver.
    """

    incarnation: Incarnation
    reading: Millis
    echo_incarnation: Incarnation | None = None
    echo: Millis | None = None

    def is_newer_than(self, other: 'Stamp') -> bool:
        """Return whether `other` is an earlier stamp of the same process."""
        if self.incarnation != other.incarnation:
            return False
        return self.reading > other.reading


class Freshness:
    """Track the stamps of all peers; one instance per control process."""

    def __init__(self, *, incarnation: Incarnation) -> None:
        """Start without stamps; `incarnation` is that of this process."""
        self._incarnation = incarnation
        self._stamps_by_host: dict[HostId, Stamp] = {}
        self._echoed_by_host: dict[HostId, Millis] = {}
        self._contacts_by_host: dict[HostId, int] = {}
        self._last_echoed = NEVER
        self._echo_losses = 0

    def has_lost_echoes(self, *, now: Millis) -> bool:
        """Return whether no peer echoed a reading for `ECHO_TIMEOUT_MS`.

        False if this host never received an echo.
        """
        if self._last_echoed == NEVER:
            return False
        return now - self._last_echoed > ECHO_TIMEOUT_MS

    def echo_loss_count(self, *, now: Millis) -> int:
        """Return how often echoes were lost, including now."""
        return self._echo_losses + self.has_lost_echoes(now=now)

    def contact_count(self, host_id: HostId) -> int:
        """Return how often contact with a host was established.

        Contact is established by its first echo, and again by an echo
        more than `FRESH_MS` newer than the one before.
        """
        return self._contacts_by_host.get(host_id, 0)

    def stamp(self, *, to: HostId, now: Millis) -> Stamp:
        """Return a stamp for a message to `to`."""
        last = self._stamps_by_host.get(to)
        return Stamp(
            incarnation=self._incarnation,
            reading=now,
            echo_incarnation=None if last is None else last.incarnation,
            echo=None if last is None else last.reading,
        )

    def record(self, stamp: Stamp, *, sender: HostId, now: Millis) -> Millis:
        """Record a stamp; return a time after which it was sent.

        The time is on this host's clock, and `NEVER` if the stamp echoes
        no reading of this process.
        """
        last = self._stamps_by_host.get(sender)
        if last is None or not last.is_newer_than(stamp):
            self._stamps_by_host[sender] = stamp
        if stamp.echo is None or stamp.echo_incarnation != self._incarnation:
            return NEVER
        echo = Millis(min(stamp.echo, now))
        self._record_echo(sender, echo)
        return echo

    def echoed_at(self, host_id: HostId) -> Millis:
        """Return the newest reading of this host that `host_id` echoed."""
        return self._echoed_by_host.get(host_id, NEVER)

    def incarnation_of(self, host_id: HostId) -> Incarnation | None:
        """Return the incarnation in the last stamp of a host."""
        last = self._stamps_by_host.get(host_id)
        return None if last is None else last.incarnation

    def is_fresh(self, host_id: HostId, *, now: Millis) -> bool:
        """Return whether a host provably ran less than `FRESH_MS` ago."""
        return now - self.echoed_at(host_id) < FRESH_MS

    def _record_echo(self, sender: HostId, echo: Millis) -> None:
        previous = self._echoed_by_host.get(sender, NEVER)
        if echo - previous > FRESH_MS:
            self._contacts_by_host[sender] = self.contact_count(sender) + 1
        self._echoed_by_host[sender] = max(echo, previous)
        if (
            echo - self._last_echoed > ECHO_TIMEOUT_MS
            and self._last_echoed != NEVER
        ):
            self._echo_losses += 1
        self._last_echoed = max(echo, self._last_echoed)


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StampRequest:
    """Request a stamp that echoes this one."""

    stamp: Stamp


@wire
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StampReply:
    """Echo the stamp of a request."""

    stamp: Stamp


class StampExchange(System):
    """Exchange stamps with peers in round-robin order.

    The hosts in `always_polled` get a request in every round.
    """

    def __init__(self, *, host_id: HostId, freshness: Freshness) -> None:
        """Record the stamps received in `freshness`."""
        self.always_polled: set[HostId] = set()
        self._host_id = host_id
        self._freshness = freshness
        self._hosts: tuple[HostId, ...] = ()
        self._next_peer = 0
        self._next_round_at = Millis(0)

    def update_hosts(self, host_ids: tuple[HostId, ...]) -> None:
        """Set the live hosts to exchange stamps with."""
        self._hosts = tuple(
            host_id for host_id in host_ids if host_id != self._host_id
        )

    def tick(self, *, now: Millis) -> Effects:
        """Request stamps once every `ROUND_INTERVAL_MS`."""
        if now < self._next_round_at or not self._hosts:
            return ()
        self._next_round_at = Millis(now + ROUND_INTERVAL_MS)
        receivers = set(self.always_polled)
        for _ in range(PEERS_PER_ROUND):
            self._next_peer = (self._next_peer + 1) % len(self._hosts)
            receivers.add(self._hosts[self._next_peer])
        return tuple(
            Send(
                to=peer,
                message=StampRequest(
                    stamp=self._freshness.stamp(to=peer, now=now)
                ),
            )
            for peer in sorted(receivers)
        )

    def receive(
        self, message: object, *, sender: HostId, now: Millis
    ) -> Effects:
        """Answer a stamp request, or record a reply."""
        if isinstance(message, StampReply):
            self._freshness.record(message.stamp, sender=sender, now=now)
        if not isinstance(message, StampRequest):
            return ()
        self._freshness.record(message.stamp, sender=sender, now=now)
        stamp = self._freshness.stamp(to=sender, now=now)
        return (Send(to=sender, message=StampReply(stamp=stamp)),)
