"""Measurement of the event loop: how long each pass took, and which steps took the time.

While a step runs, no socket is polled, no due answer is sent and no deadline is enforced. A pass
that took long without long steps was held up from outside, by the host or a stopped process.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass

import trio

from mothnotch.decisions.resource_limits import STALL_THRESHOLD_S


@dataclass(slots=True)
class StepTimes:
    """The steps of one kind in one pass: their number, total time and longest time."""

    count: int = 0
    total_s: float = 0.0
    longest_s: float = 0.0

    def add(self, duration_s: float):
        """Add a step."""
        self.count += 1
        self.total_s += duration_s
        self.longest_s = max(self.longest_s, duration_s)


class LoopMonitor(trio.abc.Instrument):
    """Measures the passes of trio's scheduler, from one poll of the sockets to the next.

    `passes`: their number so far. `longest_pass_s`, `longest_step_s`: the longest pass, and the
    longest step of each kind, so far.
    """

    def __init__(self, report: Callable = lambda event, **fields: None):
        """`report(event, **fields)` is called after each pass over STALL_THRESHOLD_S."""
        self.passes = 0
        self.longest_pass_s = 0.0
        self.longest_step_s = {}
        self._report = report
        self._started_s = math.inf  # no pass has begun
        self._steps = {}  # StepTimes by kind, in the current pass

    def after_io_wait(self, timeout: float) -> None:
        """Begin a pass."""
        self.passes += 1
        self._started_s = trio.current_time()

    def before_io_wait(self, timeout: float) -> None:
        """End a pass, and report it if it took long."""
        duration_s = trio.current_time() - self._started_s
        if duration_s > self.longest_pass_s:
            self.longest_pass_s = duration_s
        if duration_s > STALL_THRESHOLD_S:
            self._report("event loop held up", held_s=round(duration_s, 4), **self._step_fields())
        self._steps.clear()

    def record(self, kind: str, duration_s: float) -> None:
        """Record a step of the current pass."""
        if duration_s > self.longest_step_s.get(kind, 0.0):
            self.longest_step_s[kind] = duration_s
        self._steps.setdefault(kind, StepTimes()).add(duration_s)

    def summary(self) -> dict:
        """Return the longest pass and steps in seconds, for the last log line."""
        steps = {kind: round(longest_s, 4) for kind, longest_s in self.longest_step_s.items()}
        return {"longest_pass_s": round(self.longest_pass_s, 4), "longest_step_s": steps}

    def _step_fields(self):
        return {
            kind.replace(" ", "_"): {
                "steps": times.count,
                "total_s": round(times.total_s, 4),
                "longest_s": round(times.longest_s, 4),
            }
            for kind, times in self._steps.items()
        }
