"""Sum over a sliding time window."""

from collections import deque

# Maximum number of additions that are told apart.
MAX_ITEMS = 4096


class SlidingWindow:
    """Sum of the amounts added within the last `span_us`.

    Additions at the same time are one. Beyond MAX_ITEMS, an addition counts from the time of the
    newest before it, so that it expires early.
    """

    def __init__(self, span_us: int):
        """Start empty; an amount as old as `span_us` no longer counts."""
        self.span_us = span_us
        # (time added, amount)
        self.items = deque()
        self.sum = 0.0

    def add(self, now_us: int, amount: float = 1) -> None:
        """Add an amount at the current time."""
        self.total(now_us)  # drops expired items, to bound the window
        if self.items and (self.items[-1][0] == now_us or len(self.items) >= MAX_ITEMS):
            added_us, earlier_amount = self.items.pop()
            self.items.append((added_us, earlier_amount + amount))
        else:
            self.items.append((now_us, amount))
        self.sum += amount

    def total(self, now_us: int) -> float:
        """Return the sum of the amounts added within the span."""
        while self.items and self.items[0][0] <= now_us - self.span_us:
            self.sum -= self.items.popleft()[1]
        return self.sum if self.items else 0.0
