"""Deadlines of all attempts in flight, in one heap: none needs its own task or cancel scope."""

from collections.abc import Callable

import trio

from mothnotch.net.deadline_heap import DeadlineHeap
from mothnotch.net.read_first import let_connections_read


class Timeouts:
    """Calls `on_expired(attempt, now_s)` for each attempt that is in flight at its deadline."""

    def __init__(self, on_expired: Callable):
        """Call `on_expired` with an attempt and the current time, in seconds on trio's clock."""
        self._on_expired = on_expired
        # Deadlines in seconds.
        self._heap = DeadlineHeap(lambda attempt: attempt.ended)
        # Set when a deadline is added that is earlier than the one waited for.
        self._earlier_added = trio.Event()

    def add(self, attempt) -> None:
        """Watch an attempt until it ends or its deadline passes."""
        deadline_s = attempt.deadline
        if deadline_s < self._heap.first_deadline():
            self._earlier_added.set()
        self._heap.add(deadline_s, attempt)

    async def run(self) -> None:
        """Expire attempts at their deadlines until cancelled."""
        while True:
            self._earlier_added = trio.Event()
            due_s = self._heap.first_deadline()
            with trio.move_on_at(due_s):
                await self._earlier_added.wait()
            await let_connections_read(due_s)
            now_s = trio.current_time()
            while (attempt := self._heap.pop_due(now_s)) is not None:
                self._on_expired(attempt, now_s)
