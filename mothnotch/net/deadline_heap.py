"""Deadlines of items of which most end long before: a heap that does not keep the ended ones."""

import heapq
import itertools
import math
from collections.abc import Callable
from typing import Generic, TypeVar

ItemT = TypeVar("ItemT")

# Number of items below which ended ones are kept, so that short heaps are not searched often.
MIN_ITEMS = 64


class DeadlineHeap(Generic[ItemT]):
    """Items by deadline, in any unit; equal deadlines in the order of adding.

    Bound: MIN_ITEMS, or twice the items that had not ended when it last grew to its bound. Ended
    items would otherwise stay, with all that they refer to, until their deadlines.
    """

    def __init__(self, has_ended: Callable[[ItemT], bool]):
        """`has_ended(item)`: whether an item's deadline does not matter any more."""
        self._has_ended = has_ended
        self._heap = []
        self._order = itertools.count()
        self._max_items = MIN_ITEMS

    def __len__(self) -> int:
        """Return the number of entries."""
        return len(self._heap)

    def add(self, deadline: float, item: ItemT) -> None:
        """Add an item."""
        if len(self._heap) >= self._max_items:
            self._drop_ended()
        heapq.heappush(self._heap, (deadline, next(self._order), item))

    def _drop_ended(self):
        self._heap = [entry for entry in self._heap if not self._has_ended(entry[2])]
        heapq.heapify(self._heap)
        self._max_items = max(MIN_ITEMS, 2 * len(self._heap))

    def first_deadline(self) -> float:
        """Return the first deadline of an item that has not ended; infinity if there is none."""
        while self._heap and self._has_ended(self._heap[0][2]):
            heapq.heappop(self._heap)
        return self._heap[0][0] if self._heap else math.inf

    def pop_due(self, now: float) -> ItemT | None:
        """Remove and return the first item that is due and has not ended; None if there is none."""
        if self.first_deadline() <= now:
            return heapq.heappop(self._heap)[2]
        return None
