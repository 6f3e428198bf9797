"""Compare what callers were told with what targets really ran."""

import dataclasses
from collections import Counter
from collections.abc import Iterable, Mapping
from typing import Any

from chicorybridge.load.callers import SURELY_NOT_RUN, Call, CallOutcome


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Verdict:
    """How often each promise to callers was broken.

    `doubled_runs` are keys that ran more than once; `false_not_run` keys
    that ran though every attempt was told not to have run;
    `missing_runs` and `lost_uploads` were answered as whole and are not
    at any target. `checked` tells whether all targets gave their counts.
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
        """Tell whether no promise was seen broken."""
        broken = (
            self.doubled_runs,
            self.false_not_run,
            self.missing_runs,
            self.lost_uploads,
            self.mismatched,
        )
        return not any(broken)


def judge_calls(
    calls: Iterable[Call], counts_by_target: Mapping[str, Mapping[str, Any]]
) -> Verdict:
    """Return how often promises were broken; targets restart their counts."""
    runs_by_key: Counter[str] = Counter()
    stored: set[str] = set()
    for counts in counts_by_target.values():
        runs_by_key.update(counts['runs_by_key'])
        stored.update(counts['uploads'])
    checked = bool(counts_by_target)
    known = tuple(calls)
    keyed = [call for call in known if call.key]
    whole = [call for call in known if call.outcome is CallOutcome.whole]
    return Verdict(
        checked=checked,
        keyed_calls=len(keyed),
        doubled_runs=sum(runs_by_key[call.key] > 1 for call in keyed),
        false_not_run=sum(
            runs_by_key[call.key] > 0 for call in keyed if _is_not_run(call)
        ),
        missing_runs=sum(
            checked and runs_by_key[call.key] == 0 for call in whole if call.key
        ),
        lost_uploads=sum(
            checked and call.body_sha256 not in stored
            for call in whole
            if call.body_sha256
        ),
        mismatched=sum(
            CallOutcome.mismatched in call.outcomes for call in known
        ),
    )


def _is_not_run(call: Call) -> bool:
    return all(outcome in SURELY_NOT_RUN for outcome in call.outcomes)
