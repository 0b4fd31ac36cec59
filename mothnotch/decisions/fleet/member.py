"""One entry of the membership table."""

import math

from mothnotch.decisions.fleet.swim_messages import Claim


class Member:
    """The current claim on a peer, its latest message, and its suspicion; times in microseconds."""

    __slots__ = (
        "claim",
        "heard_us",
        "since_us",
        "is_direct",
        "stamp",
        "stamp_received_us",
        "suspected_by",
        "state_deadline_us",
        "suspected_at_us",
    )

    def __init__(self, claim: Claim, now_us: int):
        """Create an entry whose claim takes effect now."""
        self.claim = claim
        self.heard_us = None
        self.since_us = now_us
        self.is_direct = True
        # The peer's latest stamp, and when it was received.
        self.stamp = None
        self.stamp_received_us = None
        # The roots that suspect the peer; when the suspicion expires, or for a gone peer, when the
        # entry is removed; and when the suspicion started.
        self.suspected_by = set()
        self.state_deadline_us = math.inf
        self.suspected_at_us = now_us

    def heard_while_suspected(self) -> bool:
        """Return whether a message of the peer has arrived since the suspicion started."""
        return self.heard_us is not None and self.heard_us > self.suspected_at_us
