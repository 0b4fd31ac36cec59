"""A timer queue: scheduled calls, run in the order of their times."""

import heapq
from collections.abc import Callable


class Timers:
    """A heap of scheduled calls; calls due at the same time run in the order of scheduling."""

    def __init__(self):
        """Initialize empty; its size is bounded by the open queries, attempts and subscriptions."""
        self._heap = []
        self._count = 0
        self._wake_up_us = None  # time of the last wake-up requested, until it has come

    def schedule(self, time_us: float, call: Callable, *arguments) -> None:
        """Schedule the call for this time."""
        self._count += 1
        heapq.heappush(self._heap, (int(time_us), self._count, call, arguments))

    def wake_up_delay_us(self, now_us: int) -> int | None:
        """Return the delay to the next call; None without calls or if a wake-up is due in time."""
        if self._wake_up_us is not None and self._wake_up_us <= now_us:
            self._wake_up_us = None
        if not self._heap:
            return None
        if self._wake_up_us is not None and self._wake_up_us <= self._heap[0][0]:
            return None
        self._wake_up_us = self._heap[0][0]
        return self._wake_up_us - now_us

    def run_due(self, now_us: int) -> None:
        """Run the calls that are due, including those that they schedule for now."""
        while self._heap and self._heap[0][0] <= now_us:
            _, _, call, arguments = heapq.heappop(self._heap)
            call(*arguments)
