"""Run-time checks of the root's invariants, and counts of their violations.

Pure. Other modules enforce these rules (`connection_policy.withheld_result` before bytes are sent,
the frontend before it closes a connection). The checks here run after the fact and independently of
that code, to detect code paths that bypass it. A violation is a defect of the root: it is counted
and logged with the ids it concerns, and has no other effect.
"""

import math
from collections import deque
from collections.abc import Callable, Iterable
from enum import Enum

from mothnotch.decisions.interface import Endpoint, Rules

# Maximum time by which a leaf's deadline may exceed its client's. With more the leaf would work on
# parts whose client has stopped waiting.
DEADLINE_SLACK_S = 0.15

# A final answer this long or longer after its client's deadline is lost: the client has stopped
# waiting.
FINAL_ANSWER_SLACK_S = 0.5

# Maximum number of slow-starting leaves tracked. Bounds memory if leaf names keep changing.
MAX_TRACKED_LEAVES = 4096

# The work of parts varies, and the sum of a few deviates more: a slow-start budget below this many
# parts gets three times its square root as slack, a larger one twice.
SMALL_BUDGET_PARTS = 30
SMALL_BUDGET_SLACK_FACTOR = 3
LARGE_BUDGET_SLACK_FACTOR = 2


class Invariant(Enum):
    """The invariants that are checked; the log shows each one's name and value."""

    SENT_AFTER_END = "a part was sent after it had been answered or its query had ended"
    TOLD_TOO_LONG = "a leaf was given a deadline later than its client's"
    SECOND_COPY = (
        "a part was sent before its leaf could read the cancellation of an earlier attempt"
    )
    SENT_PAST_WINDOW = "a part with an idempotency key was retried after its retry window"
    SLOW_START_EXCEEDED = (
        "this root alone exceeded the slow-start budget that all roots share for a leaf"
    )
    ANSWERED_TWICE = "a query got a second final answer"
    FINAL_LATE = "a final answer was sent after its client's deadline"
    CLOSED_UNANSWERED = (
        "a client's connection was closed while a request read from it was unanswered"
    )
    BEGUN_FOR_NOBODY = "a request was started after its client had disconnected"


class Violations:
    """Count violations and report each one."""

    def __init__(self, report: Callable = lambda text, **fields: None):
        """Start without violations; each one is passed to `report(text, **fields)`."""
        self.report = report
        self.counts = {}  # name of the invariant -> violations

    def note(self, invariant: Invariant, **fields) -> None:
        """Count and report a violation; `fields` identify the objects it concerns."""
        self.counts[invariant.name] = self.counts.get(invariant.name, 0) + 1
        self.report("invariant violated", rule=invariant.name, meaning=invariant.value, **fields)

    def check(self, holds: bool, invariant: Invariant, **fields) -> None:
        """Record a violation unless the invariant holds."""
        if not holds:
            self.note(invariant, **fields)

    @property
    def total(self) -> int:
        """Number of violations of all invariants so far."""
        return sum(self.counts.values())


class SlowStartMonitor:
    """Check what this root sends to recently started leaves against the budget of all roots."""

    def __init__(self, rules: Rules, mean_work_us: Callable[[], float]):
        """Start without leaves; `mean_work_us()` returns the current mean work of a part."""
        self.rules = rules
        self.mean_work_us = mean_work_us
        self.started_us = {}  # leaf -> its start time, while in slow start
        self.sent_us = {}  # leaf -> send times within the collapse time

    def update_endpoints(self, endpoints: Iterable[Endpoint]) -> None:
        """Update the start times from an endpoint list; 0: long ago."""
        for endpoint in endpoints:
            if endpoint.started_us and endpoint.state == "up":
                self.started_us[endpoint.server] = endpoint.started_us
                if len(self.started_us) > MAX_TRACKED_LEAVES:
                    self.started_us.pop(next(iter(self.started_us)))
            else:
                self._forget(endpoint.server)

    def record_send(self, leaf: str, now_us: int) -> bool:
        """Count a sent part; return whether the leaf is within its budget."""
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
        """Return the parts of mean work within the collapse time for a leaf's age, plus slack."""
        parts = (
            self.rules.collapse_multiple
            * self.rules.guaranteed_capacity(age_us)
            * self.rules.collapse_window_us
            / self.mean_work_us()
        )
        factor = (
            SMALL_BUDGET_SLACK_FACTOR if parts < SMALL_BUDGET_PARTS else LARGE_BUDGET_SLACK_FACTOR
        )
        slack = factor * math.sqrt(parts) + factor
        return parts + slack
