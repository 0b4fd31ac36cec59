"""Storage for the rows of open queries: within one memory budget, with overflow to disk."""

from mothnotch.decisions.memory_budget import RETRY_AFTER_US, MemoryBudget
from mothnotch.merge.runs import QueryStorage, SpillError
from mothnotch.merge.spool import Spool


class RowStorage:
    """The interface of the merge engine to a root's core.

    A core whose frontend's answers are not rows has none.
    """

    error, retry_after_us, spool = SpillError, RETRY_AFTER_US, Spool

    def __init__(self, budget=None, directory=None):
        """Create storage with that budget; `directory`: for runs, or None for the system's."""
        self.budget, self.directory = budget or MemoryBudget(64 << 20, 1 << 30), directory

    def admit(self, weight):
        """Return whether there is space for another query with that priority weight."""
        return self.budget.may_admit(weight)

    def open_query(self, query_id, weight):
        """Return a query's storage, with a share of the budget by its priority weight."""
        self.budget.open(query_id, weight)
        return QueryStorage(self.budget, query_id, self.directory)
