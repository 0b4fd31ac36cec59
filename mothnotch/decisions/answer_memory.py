"""Bound the memory of leaves' answers, from their arrival until clients have taken them.

Pure: no I/O and no clock. A query that would exceed the bound is not begun, by the size of earlier
answers. If answers turn out larger, those who hold most give way: first clients that have not read
their answers for a while, then queries, then other clients.
"""

from collections.abc import Callable, Hashable, Iterable

from mothnotch.decisions.held_bytes import HeldBytes

# Weight of the newest answer in the mean size.
MEAN_WEIGHT = 1 / 8
# Time for a client to take its answer before it gives way to others.
UNTAKEN_GRACE_S = 0.25


class AnswerBudget(HeldBytes):
    """The bytes of parts' values, by query, and of answers that are not sent yet, by client."""

    def __init__(self, max_bytes: int, max_query_bytes: int):
        """`max_query_bytes`: the bound for the values of one query."""
        super().__init__(max_bytes)
        self.max_query_bytes = max_query_bytes
        self.mean_bytes = 0.0

    def add_value(self, query: Hashable, value_bytes: int) -> bool:
        """Note a value of a query; return whether it is within the bounds."""
        query_bytes = self.of(query) + value_bytes
        self.set(query, query_bytes)
        return self.total_bytes <= self.max_bytes and query_bytes <= self.max_query_bytes

    def end_query(self, query: Hashable) -> None:
        """Forget a query, whose values were answered or dropped."""
        self.mean_bytes += MEAN_WEIGHT * (self.of(query) - self.mean_bytes)
        self.remove(query)

    def may_begin(self, open_queries: int) -> bool:
        """Return whether there is room for the answer to one more query. One alone may begin."""
        return not open_queries or (open_queries + 1) * self.mean_bytes <= self.max_bytes


def first_to_give_way(
    budget: AnswerBudget,
    queries: Iterable[Hashable],
    clients: Iterable[Hashable],
    waited_s: Callable[[Hashable], float],
) -> Hashable | None:
    """Return which of the open queries, and of the clients whose answers are not sent, gives way.

    `waited_s(client)`: for how long it has had its answer without reading it all. Return None if
    nobody holds anything.
    """
    clients = list(clients)
    untaken = [client for client in clients if waited_s(client) >= UNTAKEN_GRACE_S]
    for group in (untaken, queries, clients):
        holder = budget.largest(group)
        if holder is not None and budget.of(holder):
            return holder
    return None
