"""Token bucket rate limiter."""


class TokenBucket:
    """Token bucket of fixed size, refilled at a constant rate; initially full."""

    def __init__(self, size: float, rate_per_s: float = 0.0):
        """Start full; with a rate of 0 only `add` refills the bucket."""
        self.size = size
        self.rate_per_s = rate_per_s
        self.tokens = size
        self.refilled_us = None  # when the rate was last applied

    def add(self, tokens: float) -> None:
        """Add tokens, up to the bucket's size."""
        self.tokens = min(self.size, self.tokens + tokens)

    def has_tokens(self, now_us: int, cost: float = 1) -> bool:
        """Return whether the bucket contains `cost` tokens now."""
        self.add((now_us - (self.refilled_us or now_us)) * self.rate_per_s / 1e6)
        self.refilled_us = now_us
        return self.tokens >= cost

    def take(self, now_us: int, cost: float = 1, reserve: float = 0) -> bool:
        """Take `cost` tokens if that leaves `reserve`; return whether they were taken."""
        taken = self.has_tokens(now_us, cost + reserve)
        self.tokens -= cost * taken
        return taken
