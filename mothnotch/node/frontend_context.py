"""State shared by the modules of the HTTP frontend: core, limits, counters, shutdown state."""

import math
from collections.abc import Callable
from dataclasses import dataclass, field

from mothnotch.decisions.resource_limits import ResourceLimits
from mothnotch.net import LoopMonitor
from mothnotch.node.memory_budgets import MemoryBudgets


def _counts():
    return {
        "connections": 0,
        "requests": 0,
        "bad": 0,
        "not_ready": 0,
        "shed": 0,
        "slow": 0,
        "unprocessed": 0,
        "too_far_ahead": 0,
        "input_shed": 0,
        "answers_full": 0,
        "answers_shed": 0,
    }


@dataclass(slots=True, eq=False)
class FrontendContext:
    """Shared by a frontend, its connections and its request handler.

    `shard_count`: shards of the table. `is_ready()`: whether the root may accept queries.
    `stopping`: a graceful shutdown has begun, and all requests must be answered by `answer_by_s`.
    `rejects_all`: the root ends right now. `memory`: shared with the connections to leaves.
    """

    core: object
    network: object
    log: object
    resource_limits: ResourceLimits
    shard_count: int
    is_ready: Callable[[], bool]
    loop_monitor: LoopMonitor
    memory: MemoryBudgets
    stopping: bool = False
    answer_by_s: float = math.inf
    rejects_all: bool = False
    counts: dict[str, int] = field(default_factory=_counts)
