"""Lifeguard's local health: how likely missing acks are this root's own fault."""

from collections import deque

from mothnotch.decisions.fleet.swim_messages import SwimSettings

MAX_SCORE = 8  # Lifeguard's maximum: timeouts grow to nine times their base at most
MAX_OUTCOMES = 8  # of the latest probes; with fewer, one lost ack could make a root isolated
MIN_OUTCOMES = 4  # before a root can be isolated; a fleet with fewer other members needs fewer


class LocalHealth:
    """The health score, which extends timeouts, and whether this root is isolated or recovering.

    `members` is the membership table: a small fleet needs fewer lost probes for isolation.
    """

    def __init__(self, settings: SwimSettings, members: dict):
        """Start healthy, without probe outcomes."""
        self.settings = settings
        self.score = 0
        # Set after a pause: no member is suspected or declared gone until an ack arrives.
        self.is_recovering = False
        self._members = members
        # Whether each of this root's latest probes was acked.
        self._outcomes = deque(maxlen=MAX_OUTCOMES)

    @property
    def is_isolated(self) -> bool:
        """Return whether this root has members to probe and most of its latest probes failed."""
        count = len(self._outcomes)
        failed = sum(not acked for acked in self._outcomes)
        return count >= min(MIN_OUTCOMES, max(1, len(self._members))) and 2 * failed > count

    def scale_timeout(self, timeout_us: float) -> float:
        """Return a timeout multiplied by one plus the score."""
        return timeout_us * (1 + self.score) if self.settings.local_health else timeout_us

    def increase_score(self, amount: int = 1) -> None:
        """Raise the score, which means worse health, up to `MAX_SCORE`."""
        if self.settings.local_health:
            self.score = min(MAX_SCORE, self.score + amount)

    def record_outcome(self, acked: bool) -> bool:
        """Record the outcome of a probe; return whether that changed `is_isolated`."""
        was_isolated = self.is_isolated
        self._outcomes.append(acked)
        if acked:
            self.is_recovering = False
            if self.settings.local_health:
                self.score = max(0, self.score - 1)
        return self.is_isolated != was_isolated
