"""Running statistics: exponentially weighted means, medians, shares, ranks, expiring sets."""

import math
from collections import deque

MEDIAN_STEP = 1.03  # small, so that the medians hardly move during a busy period


class RunningMeans:
    """Running means and medians of answers: latency, throughput, parts in flight at the send."""

    def __init__(self):
        """Initialize without answers."""
        self.latency_us = None
        self.throughput = None  # cost over latency
        self.median_latency_us = None
        self.median_throughput = None
        self.in_flight = 0.0

    def typical_latency_us(self, cost_us: float) -> float:
        """Return the typical latency of work of this cost, but at least the median latency."""
        if self.latency_us is None:
            return math.inf
        return max(self.median_latency_us, cost_us / self.median_throughput)

    def add(self, attempt, weight: float) -> None:
        """Add an attempt that has ended; `weight` is its weight in the means."""
        latency_us = attempt.latency_us
        throughput = attempt.throughput
        if self.latency_us is None:
            self.latency_us = self.median_latency_us = float(latency_us)
            self.throughput = self.median_throughput = throughput
        self.latency_us += weight * (latency_us - self.latency_us)
        self.throughput += weight * (throughput - self.throughput)
        self.in_flight += weight * (attempt.in_flight_before - self.in_flight)
        self.median_latency_us *= _median_step(latency_us > self.median_latency_us)
        self.median_throughput *= _median_step(throughput > self.median_throughput)


class FleetMeans(RunningMeans):
    """The running means of all servers together, and the mean gap between a server's outcomes."""

    def __init__(self):
        """Initialize without answers."""
        super().__init__()
        self.mean_gap_us = 0.0  # mean time between two outcomes of one server
        self.last_outcome_us = 0


class RunningShare:
    """The share of recent outcomes in which an event occurred."""

    def __init__(self):
        """Initialize with a share of 0."""
        self.share = 0.0
        self.last_outcome_us = 0

    def add(self, occurred: bool, weight: float, now_us: int) -> None:
        """Add an outcome; `weight` is its weight in the share."""
        self.share += weight * (occurred - self.share)
        self.last_outcome_us = now_us


class Ranks:
    """Ranks each value among the `size` values before it."""

    def __init__(self, size: int):
        """Initialize without values."""
        self._values = deque(maxlen=size)

    def rank(self, value: float) -> float:
        """Return the share of the previous values that are less than this one, then add it."""
        rank = sum(earlier < value for earlier in self._values) / max(1, len(self._values))
        self._values.append(value)
        return rank


class ExpiringSets:
    """At most `size` sets by key; each expires `span_us` after the last addition to it."""

    def __init__(self, size: int, span_us: int):
        """Initialize without sets."""
        self._size = size
        self._span_us = span_us
        self._sets = {}  # key -> (members, time of the last addition), oldest addition first

    def add(self, key, member, now_us: int) -> None:
        """Add a member to the key's set; beyond `size`, drop the set with the oldest addition."""
        members = self._sets[key][0] if self.count(key, now_us) else set()
        self.drop(key)
        self._sets[key] = members | {member}, now_us
        if len(self._sets) > self._size:
            del self._sets[next(iter(self._sets))]

    def count(self, key, now_us: int) -> int:
        """Return the size of the key's set; 0 if it is unknown or has expired."""
        members, added_us = self._sets.get(key, ((), now_us))
        return len(members) if now_us - added_us < self._span_us else 0

    def drop(self, key) -> None:
        """Remove the key's set."""
        self._sets.pop(key, None)


def _median_step(is_above):
    return MEDIAN_STEP if is_above else 1 / MEDIAN_STEP
