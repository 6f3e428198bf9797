"""What a run does, drawn from its seed: load, configurations, signals."""

import dataclasses
import itertools
import random
from collections.abc import Iterator
from enum import Enum

WARM_S = 2.0
SHORT_IDLE_S = 1.2
LONG_IDLE_S = 9.0
# Callers reuse connections that idled for this share of the limit.
REUSED_SHARE = 0.8
LARGE_BYTES = 700_000


class Kind(Enum):
    """Kinds of requests, by the prefix of their route."""

    lookup = '/lookup/'
    accept = '/accept/'
    upload = '/upload/'
    slow = '/slow/'

    @property
    def repeatable(self) -> bool:
        """Return whether a request may run more than once."""
        return self is Kind.lookup

    @property
    def route_type(self) -> str:
        """Return the type of its route."""
        return 'idempotent' if self.repeatable else 'non_idempotent'


class Manner(Enum):
    """How long a caller lets its connection idle."""

    busy = 'busy'
    reusing = 'reusing'
    # Uses its connection when the host is about to close it.
    crossing = 'crossing'
    # Idles from before the stop until its drain ends, more or less.
    aiming = 'aiming'
    # Reads large answers slowly.
    slow = 'slow'


class ActKind(Enum):
    """What is done to the hosts or to their configuration."""

    configure = 'configure'
    rewrite = 'rewrite'
    tear = 'tear'
    hang_up = 'hang_up'
    freeze = 'freeze'
    stop = 'stop'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True, order=True)
class Act:
    """One act at a host; `amount` says how much, in its own unit."""

    at_s: float
    host: int = 0
    kind: ActKind = dataclasses.field(compare=False)
    amount: float = 0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Step:
    """One request of a caller, and the pause before it."""

    pause_s: float
    kind: Kind
    work_ms: int
    body_bytes: int
    answer_bytes: int
    # A body goes out in so many writes, with pauses between them.
    writes: int
    write_pause_s: float
    # Pauses between the reads of the answer.
    read_pause_s: float
    chunked: bool
    fresh: bool


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Plan:
    """All that a seed fixes."""

    seed: int
    grace_s: float
    idle_s: float
    slow_percent: int
    manners: tuple[Manner, ...]
    acts: tuple[Act, ...]
    stop_at_s_by_host: dict[int, float]

    @property
    def hosts(self) -> int:
        """Return the number of hosts."""
        return len(self.stop_at_s_by_host)


def draw_plan(seed: int) -> Plan:
    """Return the plan of a seed."""
    rng = random.Random(seed)
    hosts = rng.choice((1, 1, 1, 3))
    grace_s = rng.choice((3.0, 4.0, 6.0))
    idle_s = rng.choice((SHORT_IDLE_S, SHORT_IDLE_S, LONG_IDLE_S))
    stops = {
        host: WARM_S + rng.uniform(0.5, 2.0) + host * rng.uniform(0, 1.5)
        for host in range(hosts)
    }
    acts = [act for host in stops for act in _host_acts(rng, host, stops[host])]
    acts.extend(
        Act(at_s=at_s, kind=ActKind.configure, amount=idle_s * share)
        for at_s, share in _configurations(rng, max(stops.values()))
    )
    return Plan(
        seed=seed,
        grace_s=grace_s,
        idle_s=idle_s,
        slow_percent=rng.choice((0, 0, 3)),
        manners=_manners(rng, idle_s),
        acts=tuple(sorted(acts)),
        stop_at_s_by_host=stops,
    )


def steps(plan: Plan, serial: int) -> Iterator[Step]:
    """Yield the requests of one caller, without end."""
    rng = random.Random(f'{plan.seed}/{serial}')
    manner = plan.manners[serial]
    stop_at_s = plan.stop_at_s_by_host[serial % plan.hosts]
    if manner is Manner.aiming:
        began_s = stop_at_s - rng.uniform(0.1, 1.0)
        yield _draw_step(rng, plan, manner, began_s)
        aimed_s = stop_at_s + plan.grace_s * rng.uniform(0.43, 0.5)
        yield _draw_step(rng, plan, manner, aimed_s - began_s)
        manner = Manner.busy
    else:
        # In groups, since requests that come together take the loop longer.
        pause_s = serial % 4 * 0.3 + rng.uniform(0, 0.05)
        yield _draw_step(rng, plan, manner, pause_s)
    for _ in itertools.count():
        pause_s = _pause_s(rng, manner, plan.idle_s)
        yield _draw_step(rng, plan, manner, pause_s)


def _host_acts(
    rng: random.Random, host: int, stop_at_s: float
) -> Iterator[Act]:
    yield Act(at_s=stop_at_s, host=host, kind=ActKind.stop)
    if _happens(rng, percent=30):
        again_s = stop_at_s + rng.uniform(0, 2)
        yield Act(at_s=again_s, host=host, kind=ActKind.stop)
    if _happens(rng, percent=30):
        yield Act(
            at_s=rng.uniform(0.5, stop_at_s + 0.5),
            host=host,
            kind=ActKind.freeze,
            amount=rng.uniform(0.15, 0.5),
        )
    for _ in range(rng.randint(0, 5)):
        yield Act(
            at_s=stop_at_s + rng.uniform(-1.5, 0.5),
            host=host,
            kind=rng.choice((ActKind.rewrite, ActKind.tear, ActKind.hang_up)),
            amount=rng.randint(10, 90),
        )


def _configurations(
    rng: random.Random, last_stop_at_s: float
) -> Iterator[tuple[float, float]]:
    for _ in range(rng.randint(0, 4)):
        at_s = last_stop_at_s + rng.uniform(-2.5, 1)
        yield at_s, rng.choice((0.5, 1.0, 1.0, 2.0))


def _manners(rng: random.Random, idle_s: float) -> tuple[Manner, ...]:
    others = [Manner.reusing] * 20 + [Manner.crossing] * 100
    if idle_s == LONG_IDLE_S:
        others = [Manner.aiming] * 120
    drawn = [Manner.busy] * 16 + [Manner.slow] * 12 + others
    rng.shuffle(drawn)
    return tuple(drawn)


def _pause_s(rng: random.Random, manner: Manner, idle_s: float) -> float:
    match manner:
        case Manner.reusing:
            return idle_s * rng.uniform(REUSED_SHARE - 0.05, REUSED_SHARE)
        case Manner.crossing:
            return idle_s + rng.uniform(-0.03, 0.15)
        case _:
            return rng.expovariate(3.0)


def _draw_step(
    rng: random.Random, plan: Plan, manner: Manner, pause_s: float
) -> Step:
    kind = _draw_kind(rng, plan)
    work_ms = rng.randint(2, 60)
    if _happens(rng, percent=10):
        work_ms = rng.randint(300, 900)
    if kind is Kind.slow:
        work_ms = rng.randint(1500, 3500)
    sizes = {
        Kind.lookup: 0,
        Kind.upload: rng.choice((20_000, 200_000, LARGE_BYTES)),
    }
    reads_slowly = manner is Manner.slow
    large = _happens(rng, percent=60 if reads_slowly else 3)
    return Step(
        pause_s=max(0, pause_s),
        kind=kind,
        work_ms=work_ms,
        body_bytes=sizes.get(kind, 200),
        answer_bytes=rng.randint(200_000, LARGE_BYTES) if large else 500,
        writes=rng.randint(2, 8) if kind is Kind.upload else 1,
        write_pause_s=rng.uniform(0, 0.4),
        read_pause_s=rng.uniform(0.01, 0.03) if reads_slowly else 0,
        chunked=_happens(rng, percent=30),
        fresh=_happens(rng, percent=10),
    )


def _draw_kind(rng: random.Random, plan: Plan) -> Kind:
    shares = {
        Kind.slow: plan.slow_percent,
        Kind.upload: 8,
        Kind.accept: 40,
        Kind.lookup: 50,
    }
    return rng.choices(list(shares), weights=list(shares.values()))[0]


def _happens(rng: random.Random, *, percent: int) -> bool:
    return rng.randrange(100) < percent
