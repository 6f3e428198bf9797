"""Plans of runs, drawn from seeds: load, configurations and signals."""

import dataclasses
import itertools
import random
from collections.abc import Iterator
from enum import Enum

WARMUP_S = 2.0
SHORT_IDLE_TIMEOUT_S = 1.2
LONG_IDLE_TIMEOUT_S = 9.0
# Upper bound of the pauses of `CallerPattern.reusing`, as a share of the idle
# timeout: the host must not close these connections.
MAX_REUSE_IDLE_SHARE = 0.8
LARGE_BODY_BYTES = 700_000


class RequestKind(Enum):
    """Kinds of requests; the value is the path prefix of the route."""

    lookup = '/lookup/'
    accept = '/accept/'
    upload = '/upload/'
    slow = '/slow/'

    @property
    def idempotent(self) -> bool:
        """Return whether a request may run more than once."""
        return self is RequestKind.lookup

    @property
    def route_type(self) -> str:
        """Return the `route_type` of the configured route."""
        return 'idempotent' if self.idempotent else 'non_idempotent'


class CallerPattern(Enum):
    """How a caller uses its connection."""

    # Sends requests with short random pauses.
    busy = 'busy'
    # Reuses its connection somewhat before the idle timeout.
    reusing = 'reusing'
    # Reuses its connection close to the idle timeout, when the host closes it.
    near_timeout = 'near_timeout'
    # Idles from before the stop until about the end of the drain, then is busy.
    through_drain = 'through_drain'
    # Reads large answers slowly.
    slow_reader = 'slow_reader'


class ActionKind(Enum):
    """What is done to the hosts or to their configuration.

    The comments give the meaning of `Action.amount` in parentheses.
    """

    # Store another configuration (idle timeout in seconds).
    configure = 'configure'
    # Replace the settings file (retry slack).
    rewrite = 'rewrite'
    # Truncate the settings file for a moment, then replace it (retry slack).
    truncate = 'truncate'
    # Replace the settings file and send SIGHUP (retry slack).
    reload = 'reload'
    # Send SIGSTOP and later SIGCONT (seconds between them).
    freeze = 'freeze'
    # Send SIGTERM.
    stop = 'stop'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True, order=True)
class Action:
    """One action at a host, `at_s` seconds after the start of the load."""

    at_s: float
    host: int = 0
    kind: ActionKind = dataclasses.field(compare=False)
    amount: float = 0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PlannedRequest:
    """One request of a caller and the pause before it."""

    pause_s: float
    kind: RequestKind
    # How long the target waits before it answers.
    work_ms: int
    body_bytes: int
    answer_bytes: int
    # The body is sent in this number of writes, with pauses between them.
    write_count: int
    write_pause_s: float
    # Pause after each part of the answer.
    read_pause_s: float
    chunked: bool
    new_connection: bool


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Plan:
    """The hosts, callers and actions of a run.

    `stop_at_s_by_host` counts from the start of the load, as `Action.at_s`.
    """

    seed: int
    grace_s: float
    idle_timeout_s: float
    slow_request_percent: int
    caller_patterns: tuple[CallerPattern, ...]
    actions: tuple[Action, ...]
    stop_at_s_by_host: dict[int, float]

    @property
    def hosts(self) -> int:
        """Return the number of hosts."""
        return len(self.stop_at_s_by_host)


def draw_plan(seed: int) -> Plan:
    """Draw the plan of a run from its seed."""
    rng = random.Random(seed)
    hosts = rng.choice((1, 1, 1, 3))
    grace_s = rng.choice((3.0, 4.0, 6.0))
    idle_timeout_s = rng.choice(
        (SHORT_IDLE_TIMEOUT_S, SHORT_IDLE_TIMEOUT_S, LONG_IDLE_TIMEOUT_S)
    )
    stop_at_s_by_host = {
        host: WARMUP_S + rng.uniform(0.5, 2.0) + host * rng.uniform(0, 1.5)
        for host in range(hosts)
    }
    actions = [
        action
        for host in stop_at_s_by_host
        for action in _draw_host_actions(rng, host, stop_at_s_by_host[host])
    ]
    actions.extend(
        Action(
            at_s=at_s, kind=ActionKind.configure, amount=idle_timeout_s * share
        )
        for at_s, share in _draw_configurations(
            rng, max(stop_at_s_by_host.values())
        )
    )
    return Plan(
        seed=seed,
        grace_s=grace_s,
        idle_timeout_s=idle_timeout_s,
        slow_request_percent=rng.choice((0, 0, 3)),
        caller_patterns=_draw_caller_patterns(rng, idle_timeout_s),
        actions=tuple(sorted(actions)),
        stop_at_s_by_host=stop_at_s_by_host,
    )


def planned_requests(
    plan: Plan, caller_number: int
) -> Iterator[PlannedRequest]:
    """Yield an endless series of requests for one caller."""
    rng = random.Random(f'{plan.seed}/{caller_number}')
    pattern = plan.caller_patterns[caller_number]
    stop_at_s = plan.stop_at_s_by_host[caller_number % plan.hosts]
    if pattern is CallerPattern.through_drain:
        first_at_s = stop_at_s - rng.uniform(0.1, 1.0)
        yield _draw_request(rng, plan, pattern, first_at_s)
        second_at_s = stop_at_s + plan.grace_s * rng.uniform(0.43, 0.5)
        yield _draw_request(rng, plan, pattern, second_at_s - first_at_s)
        pattern = CallerPattern.busy
    else:
        # Callers start in groups, since requests that arrive together occupy
        # the event loop of the host for longer.
        pause_s = caller_number % 4 * 0.3 + rng.uniform(0, 0.05)
        yield _draw_request(rng, plan, pattern, pause_s)
    for _ in itertools.count():
        pause_s = _draw_pause_s(rng, pattern, plan.idle_timeout_s)
        yield _draw_request(rng, plan, pattern, pause_s)


def _draw_host_actions(
    rng: random.Random, host: int, stop_at_s: float
) -> Iterator[Action]:
    yield Action(at_s=stop_at_s, host=host, kind=ActionKind.stop)
    if _draw_chance(rng, percent=30):
        repeated_at_s = stop_at_s + rng.uniform(0, 2)
        yield Action(at_s=repeated_at_s, host=host, kind=ActionKind.stop)
    if _draw_chance(rng, percent=30):
        yield Action(
            at_s=rng.uniform(0.5, stop_at_s + 0.5),
            host=host,
            kind=ActionKind.freeze,
            amount=rng.uniform(0.15, 0.5),
        )
    for _ in range(rng.randint(0, 5)):
        yield Action(
            at_s=stop_at_s + rng.uniform(-1.5, 0.5),
            host=host,
            kind=rng.choice(
                (ActionKind.rewrite, ActionKind.truncate, ActionKind.reload)
            ),
            amount=rng.randint(10, 90),
        )


def _draw_configurations(
    rng: random.Random, last_stop_at_s: float
) -> Iterator[tuple[float, float]]:
    for _ in range(rng.randint(0, 4)):
        at_s = last_stop_at_s + rng.uniform(-2.5, 1)
        yield at_s, rng.choice((0.5, 1.0, 1.0, 2.0))


def _draw_caller_patterns(
    rng: random.Random, idle_timeout_s: float
) -> tuple[CallerPattern, ...]:
    idle_patterns = [CallerPattern.reusing] * 20 + [
        CallerPattern.near_timeout
    ] * 100
    if idle_timeout_s == LONG_IDLE_TIMEOUT_S:
        idle_patterns = [CallerPattern.through_drain] * 120
    patterns = (
        [CallerPattern.busy] * 16
        + [CallerPattern.slow_reader] * 12
        + idle_patterns
    )
    rng.shuffle(patterns)
    return tuple(patterns)


def _draw_pause_s(
    rng: random.Random, pattern: CallerPattern, idle_timeout_s: float
) -> float:
    match pattern:
        case CallerPattern.reusing:
            return idle_timeout_s * rng.uniform(
                MAX_REUSE_IDLE_SHARE - 0.05, MAX_REUSE_IDLE_SHARE
            )
        case CallerPattern.near_timeout:
            return idle_timeout_s + rng.uniform(-0.03, 0.15)
        case _:
            return rng.expovariate(3.0)


def _draw_request(
    rng: random.Random, plan: Plan, pattern: CallerPattern, pause_s: float
) -> PlannedRequest:
    kind = _draw_kind(rng, plan)
    work_ms = rng.randint(2, 60)
    if _draw_chance(rng, percent=10):
        work_ms = rng.randint(300, 900)
    if kind is RequestKind.slow:
        work_ms = rng.randint(1500, 3500)
    body_bytes_by_kind = {
        RequestKind.lookup: 0,
        RequestKind.upload: rng.choice((20_000, 200_000, LARGE_BODY_BYTES)),
    }
    reads_slowly = pattern is CallerPattern.slow_reader
    has_large_answer = _draw_chance(rng, percent=60 if reads_slowly else 3)
    return PlannedRequest(
        pause_s=max(0, pause_s),
        kind=kind,
        work_ms=work_ms,
        body_bytes=body_bytes_by_kind.get(kind, 200),
        answer_bytes=rng.randint(200_000, LARGE_BODY_BYTES)
        if has_large_answer
        else 500,
        write_count=rng.randint(2, 8) if kind is RequestKind.upload else 1,
        write_pause_s=rng.uniform(0, 0.4),
        read_pause_s=rng.uniform(0.01, 0.03) if reads_slowly else 0,
        chunked=_draw_chance(rng, percent=30),
        new_connection=_draw_chance(rng, percent=10),
    )


def _draw_kind(rng: random.Random, plan: Plan) -> RequestKind:
    weights_by_kind = {
        RequestKind.slow: plan.slow_request_percent,
        RequestKind.upload: 8,
        RequestKind.accept: 40,
        RequestKind.lookup: 50,
    }
    return rng.choices(
        list(weights_by_kind), weights=list(weights_by_kind.values())
    )[0]


def _draw_chance(rng: random.Random, *, percent: int) -> bool:
    return rng.randrange(100) < percent
