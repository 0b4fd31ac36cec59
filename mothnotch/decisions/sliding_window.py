"""Sum over a sliding time window."""

from collections import deque


class SlidingWindow:
    """Sum of the amounts added within the last `span_us`."""

    def __init__(self, span_us: int):
        """Start empty; an amount as old as `span_us` no longer counts."""
        self.span_us = span_us
        # (time added, amount); bounded by the number of additions within the span
        self.items = deque()
        self.sum = 0.0

    def add(self, now_us: int, amount: float = 1) -> None:
        """Add an amount at the current time."""
        self.total(now_us)  # drops expired items, to bound the window
        self.items.append((now_us, amount))
        self.sum += amount

    def total(self, now_us: int) -> float:
        """Return the sum of the amounts added within the span."""
        while self.items and self.items[0][0] <= now_us - self.span_us:
            self.sum -= self.items.popleft()[1]
        return self.sum if self.items else 0.0
