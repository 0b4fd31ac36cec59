"""Decide how much memory and disk each query may hold, which one spills and which is rejected.

Pure. No query waits for memory while holding some, so none can deadlock: a query over its memory
cap spills to disk, and one over its disk cap is rejected. A cap is a multiple of the free amount
(dynamic thresholds, A. K. Choudhury and E. L. Hahne, "Dynamic queue length thresholds for
shared-memory packet switches", IEEE/ACM Transactions on Networking 6(2), 1998): one query alone may
hold half of the limit, each further one less, and a query above its current cap spills with its
next row. Unlike the queues of a switch, a query may hold its share for a long time; therefore a
reserve is set aside for small holders. Amounts are in bytes.
"""

from collections.abc import Hashable
from enum import Enum

# A holder's cap as a multiple of the free amount, at the reference priority weight.
ALPHA = 1.0
# Maximum factor by which the priority weight raises or lowers a cap.
MAX_WEIGHT_FACTOR = 4.0
# Fraction of the limit reserved for small holders; without it, a late one would find nothing free.
RESERVE_FRACTION = 1 / 16
# A holder of at most this fraction of the limit is small.
SMALL_FRACTION = 1 / 256
# No new query is admitted if less than this fraction of memory or disk is free.
MIN_FREE_FRACTION = 1 / 64
# Delay after which the client of a query that is not admitted should retry.
RETRY_AFTER_US = 500_000


class Reservation(Enum):
    """Result of a request to reserve bytes."""

    # The bytes are reserved.
    GRANTED = "hold"
    # The query is over its memory cap and must spill to disk.
    SPILL = "spill"
    # The query is over its disk cap and cannot be served.
    REJECTED = "refuse"


class ResourcePool:
    """Account for the holders of one resource, who have at most `limit` bytes together."""

    def __init__(self, limit: int):
        """Start with all of `limit` free."""
        self.limit = limit
        self.used = 0
        self.held: dict[Hashable, int] = {}

    @property
    def free(self) -> int:
        """Bytes that are not reserved."""
        return self.limit - self.used

    def cap(self, factor: float) -> float:
        """Return the current cap of a holder with that weight factor."""
        return ALPHA * factor * max(0.0, self.free - RESERVE_FRACTION * self.limit)

    def fits(self, name: Hashable, count: int, factor: float) -> bool:
        """Return whether `name` may reserve `count` more bytes.

        A holder that stays small may use the reserve; any other has to leave it free and is bound
        by its cap.
        """
        if count > self.free:
            return False
        total = self.held.get(name, 0) + count
        if total <= SMALL_FRACTION * self.limit:
            return True
        leaves_reserve = count <= self.free - RESERVE_FRACTION * self.limit
        return leaves_reserve and total <= self.cap(factor)

    def reserve(self, name: Hashable, count: int) -> None:
        """Add `count` bytes to those held by `name`."""
        self.held[name] = self.held.get(name, 0) + count
        self.used += count

    def release(self, name: Hashable, count: int) -> None:
        """Release `count` bytes of `name`; raise ValueError if it holds fewer."""
        held = self.held.get(name, 0)
        left = held - count
        if left < 0:
            raise ValueError(f"{name!r} releases {count} bytes but holds only {held}")
        self.used -= count
        if left:
            self.held[name] = left
        else:
            self.held.pop(name, None)


class MemoryBudget:
    """Memory and disk budgets shared by the open queries of a root."""

    def __init__(self, memory: int, disk: int, reference_weight: float = 1.0):
        """Start with both free; `reference_weight`: the priority weight whose factor is 1."""
        self.memory = ResourcePool(memory)
        self.disk = ResourcePool(disk)
        self.reference_weight = reference_weight
        # By query: the factor of its caps, from its priority weight.
        self.factors: dict[Hashable, float] = {}

    def may_admit(self, weight: float) -> bool:
        """Return whether there is room for another query.

        Rejects new queries before running ones would fail, lowest priority weight first.
        """
        factor = self.reference_weight / weight if weight > 0 else MAX_WEIGHT_FACTOR
        min_free = MIN_FREE_FRACTION * max(1.0, min(MAX_WEIGHT_FACTOR, factor))
        return all(pool.free >= min_free * pool.limit for pool in (self.memory, self.disk))

    def open(self, name: Hashable, weight: float) -> None:
        """Add a query; `weight`: the balancer's priority weight for it, relative to its work."""
        factor = weight / self.reference_weight if self.reference_weight > 0 else 1.0
        self.factors[name] = min(MAX_WEIGHT_FACTOR, max(1 / MAX_WEIGHT_FACTOR, factor))

    def close(self, name: Hashable) -> None:
        """Remove a query and release all that it holds."""
        for pool in (self.memory, self.disk):
            pool.release(name, pool.held.get(name, 0))
        self.factors.pop(name, None)

    def reserve_memory(self, name: Hashable, count: int) -> Reservation:
        """Reserve `count` more bytes of memory: GRANTED, or SPILL if over the cap."""
        if not self.memory.fits(name, count, self.factors[name]):
            return Reservation.SPILL
        self.memory.reserve(name, count)
        return Reservation.GRANTED

    def release_memory(self, name: Hashable, count: int) -> None:
        """Release `count` bytes of memory; raise ValueError if the query holds fewer."""
        self.memory.release(name, count)

    def reserve_disk(self, name: Hashable, count: int) -> Reservation:
        """Reserve `count` more bytes on disk: GRANTED, or REJECTED if over the cap.

        The cap is per query: the query that exceeds it is the one rejected, and a higher priority
        weight allows a larger share.
        """
        if not self.disk.fits(name, count, self.factors[name]):
            return Reservation.REJECTED
        self.disk.reserve(name, count)
        return Reservation.GRANTED

    def release_disk(self, name: Hashable, count: int) -> None:
        """Release `count` bytes of disk; raise ValueError if the query holds fewer."""
        self.disk.release(name, count)
