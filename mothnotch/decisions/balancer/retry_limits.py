"""Limits retries by the budget that the rules state or, without one, by the root's own tokens."""

import math

from mothnotch.decisions.balancer.records import Part
from mothnotch.decisions.interface import Settings
from mothnotch.decisions.sliding_window import SlidingWindow
from mothnotch.decisions.token_bucket import TokenBucket

# Retry tokens, where the rules state no budget: each part earns the first number, and at most the
# second is held. Without them retries would cause a storm when all servers are slow.
TOKENS_PER_PART = 0.2
TOKENS_BURST = 20

# Share of a burst that hedged requests leave to retries, as a lost part may lose its query. Where
# attempts are moved instead of hedged, one token is left.
HEDGE_RESERVE = 0.4
MOVE_RESERVE_TOKENS = 1

TOKEN_TOLERANCE = 1e-4  # allows for rounding errors in sums of tokens


class RetryLimits:
    """Counts the queries and parts admitted and the retries sent, and limits the retries."""

    def __init__(self, settings: Settings):
        """Initialize with nothing counted."""
        self.rules = settings.rules
        self._limits = settings.limits
        self._tick_us = settings.tick_us
        window_us = self.rules.retry_budget_window_us or 0
        self._admitted = SlidingWindow(window_us)
        # Retries count for slightly longer than the queries and parts that they are measured
        # against, so that the budget also holds at the edges of its window.
        self._retries = SlidingWindow(window_us + 2 * settings.tick_us)
        self.burst = self.rules.retry_budget_minimum if self.has_budget else TOKENS_BURST
        self.bucket = TokenBucket(self.burst)

    @property
    def has_budget(self) -> bool:
        """Whether the rules state a retry budget."""
        return self.rules.retry_budget_ratio is not None

    def record_query(self, now_us: int) -> None:
        """Count a query admitted."""
        self._admitted.add(now_us)

    def record_part(self, now_us: int) -> None:
        """Count a part admitted, which earns tokens."""
        self._admitted.add(now_us)
        self.bucket.add(TOKENS_PER_PART)

    def record_retry(self, now_us: int, tokens: float = 1) -> None:
        """Count a retry; `tokens` is 0 if it was charged before."""
        self._retries.add(now_us)
        self.bucket.take(now_us, tokens)

    def remaining(self, now_us: int) -> float:
        """Return how many retries the stated budget allows now, or else the tokens left."""
        if not self.has_budget:
            return self.bucket.tokens
        allowed = self.rules.retries_allowed(self._admitted.total(now_us))
        return allowed - self._retries.total(now_us)

    def may_move(self, now_us: int) -> bool:
        """Return whether a stuck attempt may be moved or hedged now, which leaves a reserve."""
        reserve = HEDGE_RESERVE * self.burst if self._limits.hedging else MOVE_RESERVE_TOKENS
        return self.remaining(now_us) >= 1 + reserve

    def may_retry(self, part: Part, now_us: int) -> bool:
        """Return whether the rules allow one more attempt of this part now."""
        max_attempts = self._limits.max_attempts
        if max_attempts is not None and len(part.servers_tried) >= max_attempts:
            return False
        first_run_us = min(part.may_have_run_us, default=math.inf)
        window_us = part.query.query_class.retry_window_us
        if now_us > first_run_us + window_us - self._tick_us:
            return False
        return not self.has_budget or self.remaining(now_us) >= 1 + TOKEN_TOLERANCE
