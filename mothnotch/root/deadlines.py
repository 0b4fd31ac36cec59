"""The deadlines of open queries, and the guard that ends overdue queries.

The balancer normally ends every query before its client's deadline. The guard ensures that the
client gets a final answer even if the balancer does not.
"""

from mothnotch.net.deadline_heap import DeadlineHeap
from mothnotch.root.clock import now_us
from mothnotch.root.request_table import Query


class DeadlineGuard:
    """The deadlines of queries: one for each, and one for each time that it was shortened."""

    def __init__(self, core):
        """Create a guard without entries."""
        self._core = core
        # Deadlines in microseconds.
        self._heap = DeadlineHeap(lambda query: query.outcome is not None)

    def __len__(self) -> int:
        """Return the number of entries."""
        return len(self._heap)

    def add(self, at_us: int, query: Query):
        """End the query at `at_us` if it is still open then."""
        query.ends_by_us = at_us
        self._heap.add(at_us, query)

    def next_us(self) -> float:
        """Return the first deadline of an open query; infinity if there is none."""
        return self._heap.first_deadline()

    def end_overdue(self):
        """End each open query whose deadline has passed."""
        now = now_us()
        while (query := self._heap.pop_due(now)) is not None:
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
