"""State shared by the modules that talk to leaves: limits, silence detection, counters, trace."""

from collections.abc import Callable
from dataclasses import dataclass, field

from mothnotch.decisions import connection_policy
from mothnotch.decisions.invariants import Violations
from mothnotch.net import LoopMonitor
from mothnotch.node.memory_budgets import MemoryBudgets
from mothnotch.root.trace import Trace


def _counts():
    """Return the counters, at zero, by the names under which the root logs them.

    `frames`: call frames sent. `given_up`: attempts cancelled in flight. `late`: answers to
    cancelled attempts. `held_back`: attempts and partly sent frames withheld. `over_most`: calls
    rejected at the connection limit. `silent`: connections retired as unresponsive. `spoilt`:
    connections closed after a protocol violation. `waits_for_room`: reads that had to wait, as
    incomplete frames took their memory.
    """
    return {
        "connects": 0,
        "connects_failed": 0,
        "frames": 0,
        "given_up": 0,
        "spoilt": 0,
        "over_most": 0,
        "late": 0,
        "silent": 0,
        "held_back": 0,
        "waits_for_room": 0,
    }


@dataclass(slots=True, eq=False)
class CallContext:
    """The state that a connection pool shares with its connector, writer, reader and cancellation.

    `max_streams`: how many parts of one connection a leaf processes concurrently.
    `max_parts_per_call`: the maximum number of parts in one call frame. `hedging_allowed`: whether
    two attempts of one part may be at leaves at the same time. `memory`: shared with the frontend.
    `on_answer_too_large(query)` is called when the values of a query, or of all, exceed their
    bound.
    """

    network: object
    log: object
    max_streams: int
    max_parts_per_call: int
    hedging_allowed: bool
    memory: MemoryBudgets
    violations: Violations
    trace: Trace
    loop_monitor: LoopMonitor
    on_answer_too_large: Callable = lambda query: None
    silence_detector: connection_policy.SilenceDetector = field(
        default_factory=connection_policy.SilenceDetector
    )
    counts: dict[str, int] = field(default_factory=_counts)
