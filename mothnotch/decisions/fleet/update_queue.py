"""The queue of claims to disseminate, each piggybacked on a bounded number of messages."""

import math

from mothnotch.decisions.fleet.swim_messages import Claim


class UpdateQueue:
    """Holds only the latest claim for each name, so that it is bounded by the table's size."""

    def __init__(self, retransmit_multiple: float, claims_per_message: int):
        """Start empty; a claim is sent `retransmit_multiple` times log2 of the fleet size."""
        self.retransmit_multiple = retransmit_multiple
        self.claims_per_message = claims_per_message
        self._queued = {}  # name -> [claim, number of transmissions]

    def __bool__(self) -> bool:
        """Return whether any claim is queued."""
        return bool(self._queued)

    def add(self, claim: Claim) -> None:
        """Queue a claim; it replaces an earlier one with the same name."""
        self._queued[claim.name] = [claim, 0]

    def discard(self, name: str) -> None:
        """Remove the claim with a name, if any."""
        self._queued.pop(name, None)

    def take(self, first_claim: Claim | None, cluster_size: int) -> tuple[Claim, ...]:
        """Return claims to piggyback on one message: `first_claim`, then the least transmitted."""
        max_transmissions = max(
            1, math.ceil(self.retransmit_multiple * math.log2(cluster_size + 1))
        )
        claims = []
        if first_claim is not None:
            claims.append(first_claim)
        for entry in sorted(self._queued.values(), key=lambda entry: entry[1]):
            if len(claims) >= self.claims_per_message:
                break
            if entry[0] not in claims:
                claims.append(entry[0])
                entry[1] += 1
        for name in [name for name, entry in self._queued.items() if entry[1] >= max_transmissions]:
            del self._queued[name]
        return tuple(claims)
