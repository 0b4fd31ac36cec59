"""A timer queue: scheduled calls, run in the order of their times."""

import heapq
from collections.abc import Callable

# Number of calls below which those of ended queries are kept.
MIN_KEPT_CALLS = 2048


class Timers:
    """A heap of scheduled calls; calls due at the same time run in the order of scheduling.

    Bound: MIN_KEPT_CALLS, or twice the calls that were not obsolete when it last reached its bound.
    Calls for ended queries have no effect, but would keep them until their time.
    """

    def __init__(self):
        """Initialize empty."""
        self._heap = []
        self._max_calls = MIN_KEPT_CALLS
        self._count = 0
        self._wake_up_us = None  # time of the last wake-up requested, until it has come

    def schedule(self, time_us: float, call: Callable, *arguments) -> None:
        """Schedule the call for this time. It is obsolete once an argument has `has_ended`."""
        if len(self._heap) >= self._max_calls:
            self._drop_obsolete()
        self._count += 1
        heapq.heappush(self._heap, (int(time_us), self._count, call, arguments))

    def __len__(self) -> int:
        """Return the number of scheduled calls."""
        return len(self._heap)

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

    def _drop_obsolete(self):
        self._heap = [entry for entry in self._heap if not _is_obsolete(entry[3])]
        heapq.heapify(self._heap)
        self._max_calls = max(MIN_KEPT_CALLS, 2 * len(self._heap))

    def run_due(self, now_us: int) -> None:
        """Run the calls that are due, including those that they schedule for now."""
        while self._heap and self._heap[0][0] <= now_us:
            _, _, call, arguments = heapq.heappop(self._heap)
            call(*arguments)


def _is_obsolete(arguments):
    return any(getattr(argument, "has_ended", False) for argument in arguments)
