"""Checks at run time of what must hold at every moment, and counts where it did not.

Pure. The guards that keep these rules stand elsewhere (`connection_policy.withheld_result` before
bytes leave, the frontend before it closes); the checks here are made after the fact and know
nothing of the guards, so that a path past a guard shows. A violation is a defect of the root's: it
is counted, logged with the ids it concerns, and costs nobody anything by itself.
"""

import math
from collections import deque
from collections.abc import Callable, Iterable
from enum import Enum

from mothnotch.decisions.interface import Endpoint, Rules

# A leaf may be given so much more time than its client has left; with more it would work on parts
# that nobody waits for.
TOLD_SLACK_S = 0.15

# A final answer that comes so long after its client's deadline, or later, is lost: the client has
# stopped waiting.
FINAL_SLACK_S = 0.5

# Leaves in slow start that are watched at once: a bound on memory where names are ever new.
WATCHED_LEAVES = 4096

# The work of parts varies, and a sum of few strays more: a slow start's budget of fewer parts than
# this has three times its root as slack, a larger one twice.
SMALL_BUDGET_PARTS = 30
SMALL_BUDGET_ROOTS = 3
LARGE_BUDGET_ROOTS = 2


class Invariant(Enum):
    """The rules that are checked; their names and meanings are logged."""

    SENT_AFTER_END = "a part was sent whose query had its final answer, or whose answer was in"
    TOLD_TOO_LONG = "a leaf was told more time than its client has left"
    SECOND_COPY = (
        "a part was sent while its leaf had not been able to read that an earlier attempt"
        " is given up"
    )
    SENT_PAST_WINDOW = "a keyed part was sent again after its window"
    SLOW_START_EXCEEDED = (
        "a leaf in slow start got more from this root alone than its budget for the whole fleet"
    )
    ANSWERED_TWICE = "a query got a second final answer"
    FINAL_LATE = "a final answer came after its client's time"
    CLOSED_UNANSWERED = (
        "a client's connection was closed with a request on it that was read and not answered"
    )
    BEGUN_FOR_NOBODY = "a request was begun whose client had left"


class Violations:
    """Counts violations, and reports each of them."""

    def __init__(self, report: Callable = lambda text, **fields: None):
        """Make it with no violation; each one is passed to `report(text, **fields)`."""
        self.report = report
        self.counts = {}  # name of the invariant -> violations

    def note(self, invariant: Invariant, **fields) -> None:
        """Count and report a violation; the fields name what it concerns."""
        self.counts[invariant.name] = self.counts.get(invariant.name, 0) + 1
        self.report("invariant violated", rule=invariant.name, meaning=invariant.value, **fields)

    def check(self, holds: bool, invariant: Invariant, **fields) -> None:
        """Note a violation unless the rule holds."""
        if not holds:
            self.note(invariant, **fields)

    @property
    def total(self) -> int:
        """The violations so far, of all rules."""
        return sum(self.counts.values())


class SlowStart:
    """Counts what this root sends to leaves that have just started, against the fleet's budget."""

    def __init__(self, rules: Rules, mean_work_us: Callable[[], float]):
        """Make it with no leaf; `mean_work_us()` is the mean work of a part at present."""
        self.rules = rules
        self.mean_work_us = mean_work_us
        self.started_us = {}  # leaf -> its start, while it is in slow start
        self.sent_us = {}  # leaf -> times of what was sent within the collapse time

    def listed(self, endpoints: Iterable[Endpoint]) -> None:
        """Take in when the endpoint list says that leaves started; 0: long ago."""
        for endpoint in endpoints:
            if endpoint.started_us and endpoint.state == "up":
                self.started_us[endpoint.server] = endpoint.started_us
                if len(self.started_us) > WATCHED_LEAVES:
                    self.started_us.pop(next(iter(self.started_us)))
            else:
                self._forget(endpoint.server)

    def record_send(self, leaf: str, now_us: int) -> bool:
        """Count a part that was sent; return whether the leaf's budget held."""
        started_us = self.started_us.get(leaf)
        if started_us is None:
            return True
        age_us = now_us - started_us
        if not self.rules.slow_start_us or age_us >= self.rules.slow_start_us:
            self._forget(leaf)
            return True
        sent_us = self.sent_us.setdefault(leaf, deque())
        sent_us.append(now_us)
        while sent_us[0] <= now_us - self.rules.collapse_window_us:
            sent_us.popleft()
        return len(sent_us) <= self._budget_parts(age_us)

    def _forget(self, leaf):
        self.started_us.pop(leaf, None)
        self.sent_us.pop(leaf, None)

    def _budget_parts(self, age_us):
        """Parts of mean work that a leaf of that age takes within the collapse time, with slack."""
        parts = (
            self.rules.collapse_multiple
            * self.rules.guaranteed_capacity(age_us)
            * self.rules.collapse_window_us
            / self.mean_work_us()
        )
        roots = SMALL_BUDGET_ROOTS if parts < SMALL_BUDGET_PARTS else LARGE_BUDGET_ROOTS
        slack = roots * math.sqrt(parts) + roots
        return parts + slack
