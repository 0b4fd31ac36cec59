"""Flap damping: keep a leaf that goes down repeatedly out of service until it is stable.

Each time down adds to a penalty that decays exponentially, as in route flap damping (RFC 2439).
"""

import math

# The time in which a penalty decays by half.
PENALTY_HALF_LIFE_US = 15_000_000
# The penalty from which a leaf is suppressed. Each time down adds 1, so that a leaf that went down
# once is back as soon as it is up.
SUPPRESS_PENALTY = 2.5
# The penalty at which a suppressed leaf may return.
REUSE_PENALTY = 1.0
# The maximum of a penalty, so that a leaf that flapped for hours returns within a minute after the
# last failure.
MAX_PENALTY = 8.0


class FlapDamping:
    """The penalty of one leaf as of `_updated_us`, in us on the root's monotonic clock."""

    __slots__ = ("_penalty", "_updated_us", "suppressed")

    def __init__(self):
        """Start without a penalty."""
        self._penalty = 0.0
        self._updated_us = 0
        self.suppressed = False

    def on_down(self, now_us: int) -> None:
        """Add the penalty for going down once."""
        self._penalty = min(MAX_PENALTY, self._penalty_at(now_us) + 1)
        self._updated_us = now_us
        self.suppressed = self.suppressed or self._penalty >= SUPPRESS_PENALTY

    def release_if_decayed(self, now_us: int) -> None:
        """End the suppression if the penalty has decayed far enough."""
        if self.suppressed and self._penalty_at(now_us) <= REUSE_PENALTY:
            self.suppressed = False

    def release_time_us(self) -> int:
        """Return when the penalty decays to `REUSE_PENALTY`, in us on the monotonic clock."""
        half_lives = math.log2(max(1.0, self._penalty / REUSE_PENALTY))
        return self._updated_us + math.ceil(PENALTY_HALF_LIFE_US * half_lives)

    def _penalty_at(self, now_us):
        return self._penalty * 0.5 ** (max(0, now_us - self._updated_us) / PENALTY_HALF_LIFE_US)
