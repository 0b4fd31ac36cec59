"""Enforce the configured retry budget when retries are sent.

Pure: no I/O and no clock. The balancer checks its budget when it decides on a retry; the attempt
may be sent later, after waiting for its connection or for a full socket, and by then the budget's
window may contain fewer queries. Therefore the budget is checked again before bytes are sent. This
guards against retries that are decided in a burst and sent after it. A withheld retry costs
nothing: it never ran, and the balancer decides anew.
"""

from mothnotch.decisions.interface import Rules
from mothnotch.decisions.sliding_window import SlidingWindow


class RetryBudget:
    """Count admitted requests and sent retries within the budget's window.

    A retry is any attempt after a part's first. Bound: the entries of one window.
    """

    def __init__(self, rules: Rules):
        """Start with empty windows; a `rules.retry_budget_ratio` of None means no budget."""
        window_us = rules.retry_budget_window_us or 0
        self.rules = rules
        self.bounded = rules.retry_budget_ratio is not None
        self.admitted = SlidingWindow(window_us)
        self.sent = SlidingWindow(window_us)

    def record_admitted(self, now_us: int, parts: int) -> None:
        """Count an admitted query and each of its parts; both increase the budget."""
        if self.bounded:
            self.admitted.add(now_us, 1 + parts)

    def may_send(self, now_us: int, queued_before: int = 0) -> bool:
        """Return whether a retry may be sent now, with `queued_before` others ahead of it."""
        if not self.bounded:
            return True
        allowed = self.rules.retries_allowed(self.admitted.total(now_us))
        return self.sent.total(now_us) + queued_before + 1 <= allowed

    def record_sent(self, now_us: int) -> None:
        """Count a sent retry."""
        if self.bounded:
            self.sent.add(now_us)
