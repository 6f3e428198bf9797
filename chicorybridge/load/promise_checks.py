"""Check the promises to callers against the counts of the targets."""

import dataclasses
from collections import Counter
from collections.abc import Iterable, Mapping
from typing import Any

from chicorybridge.load.callers import NOT_RUN_OUTCOMES, Call, CallOutcome


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PromiseCheck:
    """Counts of broken promises to callers, and what was checked.

    `doubled_runs` counts keys that ran more than once; `false_not_run`
    counts keys that ran although every attempt was reported as not run or
    was not sent. `missing_runs` and `lost_uploads` count requests with
    the outcome `whole` that no target has run or stored. `mismatched`
    counts calls that got a damaged answer or one to another request.
    `checked` is whether any target returned its counts; `keyed_calls` is the
    number of calls with an idempotency key.
    """

    checked: bool
    keyed_calls: int
    doubled_runs: int
    false_not_run: int
    missing_runs: int
    lost_uploads: int
    mismatched: int

    @property
    def kept(self) -> bool:
        """Return whether no promise was broken."""
        broken = (
            self.doubled_runs,
            self.false_not_run,
            self.missing_runs,
            self.lost_uploads,
            self.mismatched,
        )
        return not any(broken)


def check_promises(
    calls: Iterable[Call], counts_by_target: Mapping[str, Mapping[str, Any]]
) -> PromiseCheck:
    """Return how often promises were broken.

    A target loses its counts when it restarts; runs and uploads before
    that are then missing.
    """
    runs_by_key: Counter[str] = Counter()
    stored_digests: set[str] = set()
    for counts in counts_by_target.values():
        runs_by_key.update(counts['runs_by_key'])
        stored_digests.update(counts['uploads'])
    checked = bool(counts_by_target)
    all_calls = tuple(calls)
    keyed_calls = [call for call in all_calls if call.key]
    complete_calls = [
        call for call in all_calls if call.outcome is CallOutcome.complete
    ]
    return PromiseCheck(
        checked=checked,
        keyed_calls=len(keyed_calls),
        doubled_runs=sum(runs_by_key[call.key] > 1 for call in keyed_calls),
        false_not_run=sum(
            runs_by_key[call.key] > 0
            for call in keyed_calls
            if _reported_not_run(call)
        ),
        missing_runs=sum(
            checked and runs_by_key[call.key] == 0
            for call in complete_calls
            if call.key
        ),
        lost_uploads=sum(
            checked and call.body_sha256 not in stored_digests
            for call in complete_calls
            if call.body_sha256
        ),
        mismatched=sum(
            CallOutcome.mismatched in call.outcomes for call in all_calls
        ),
    )


def _reported_not_run(call: Call) -> bool:
    return all(outcome in NOT_RUN_OUTCOMES for outcome in call.outcomes)
