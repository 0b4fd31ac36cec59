"""Deadlines of all attempts in flight, in one heap: no attempt needs its own task or cancel scope.

The heap holds the attempts sent within the longest attempt timeout: an attempt that has ended stays
in it until its deadline.
"""

import heapq
import itertools
import math
from collections.abc import Callable

import trio

from mothnotch.net.read_first import let_connections_read


class Timeouts:
    """Calls `on_expired(attempt, now_s)` for each attempt that is in flight at its deadline."""

    def __init__(self, on_expired: Callable):
        """Call `on_expired` with an attempt and the current time, in seconds on trio's clock."""
        self._on_expired = on_expired
        # (deadline in seconds, order of insertion, attempt)
        self._heap = []
        self._order = itertools.count()
        # Set when a deadline is added that is earlier than the one waited for.
        self._earlier_added = trio.Event()

    def add(self, attempt) -> None:
        """Watch an attempt until it ends or its deadline passes."""
        if not self._heap or attempt.deadline < self._heap[0][0]:
            self._earlier_added.set()
        heapq.heappush(self._heap, (attempt.deadline, next(self._order), attempt))

    async def run(self) -> None:
        """Expire attempts at their deadlines until cancelled."""
        while True:
            self._earlier_added = trio.Event()
            due_s = self._heap[0][0] if self._heap else math.inf
            with trio.move_on_at(due_s):
                await self._earlier_added.wait()
            await let_connections_read(due_s)
            now_s = trio.current_time()
            while self._heap and self._heap[0][0] <= now_s:
                attempt = heapq.heappop(self._heap)[2]
                if not attempt.ended:
                    self._on_expired(attempt, now_s)
