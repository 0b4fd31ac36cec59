"""The deadlines of open queries, and the guard that ends overdue queries.

The balancer normally ends every query before its client's deadline. The guard ensures that the
client gets a final answer even if the balancer does not.
"""

import heapq
import math

from mothnotch.root.clock import now_us
from mothnotch.root.request_table import Query


class DeadlineGuard:
    """A heap of deadlines.

    Bounds: one entry for each accepted query, and one for each time a deadline is shortened. An
    entry of a closed query is removed when it becomes the first, at its deadline at the latest.
    """

    def __init__(self, core):
        """Create a guard without entries."""
        self._core = core
        # (deadline in microseconds, unique number, query)
        self._heap = []

    def __len__(self) -> int:
        """Return the number of entries."""
        return len(self._heap)

    def add(self, at_us: int, number: int, query: Query):
        """End the query at `at_us` if it is still open then; the unique `number` breaks ties."""
        heapq.heappush(self._heap, (at_us, number, query))

    def next_us(self) -> float:
        """Return the first deadline of an open query; infinity if there is none."""
        while self._heap and self._heap[0][2].outcome is not None:
            heapq.heappop(self._heap)
        return self._heap[0][0] if self._heap else math.inf

    def end_overdue(self):
        """End each open query whose deadline has passed."""
        now = now_us()
        while self._heap and (self._heap[0][0] <= now or self._heap[0][2].outcome is not None):
            _, _, query = heapq.heappop(self._heap)
            if query.outcome is None:
                self.end(query)

    def end(self, query: Query):
        """End an open query without a decision of the balancer."""
        core = self._core
        if query.request.deadline_us > now_us():
            core.counts["hurried"] += 1
        else:
            core.counts["overdue"] += 1
            core.log.error(
                "query had no final answer by its client's deadline",
                query=query.id,
                class_name=query.request.class_name,
            )
        core.close_undecided(query, query.undecided_outcome())
