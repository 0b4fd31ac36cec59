"""Rate limit on messages from other roots, so that a flood does not take CPU time from queries."""

from mothnotch.decisions.token_bucket import TokenBucket

# In a fleet of 200 roots with many simultaneous failures, each root receives about 10 messages a
# second from each of the others.
MESSAGES_PER_S = 2000
BURST_MESSAGES = 1000


class MessageRateLimit:
    """A token bucket over all senders.

    A flood also causes legitimate messages to be dropped, which the membership tolerates as loss.
    """

    def __init__(self, per_second: float = MESSAGES_PER_S, burst: float = BURST_MESSAGES):
        """Start with a full bucket."""
        self._bucket = TokenBucket(burst, per_second)

    def allow(self, now_us: int) -> bool:
        """Return whether to process a message that has just arrived."""
        return self._bucket.take(now_us)
