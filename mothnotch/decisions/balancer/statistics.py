"""Running figures: means and medians of answers, shares, ranks, and sets that expire."""

import math
from collections import deque

MEDIAN_STEP = 1.03  # small, so that calm values last through a busy period


class RunningMeans:
    """Running means and medians of answers: latency, throughput, parts in flight before them."""

    def __init__(self):
        """Make it with nothing seen."""
        self.latency_us = None
        self.throughput = None  # microseconds of work done in one of latency
        self.median_latency_us = None
        self.median_throughput = None
        self.in_flight = 0.0

    def typical_latency_us(self, cost_us: float) -> float:
        """Return the time that such work mostly takes, at least that of the typical answer."""
        if self.latency_us is None:
            return math.inf
        return max(self.median_latency_us, cost_us / self.median_throughput)

    def add(self, attempt, weight: float) -> None:
        """Take in an attempt that has ended; `weight` is its weight in the means."""
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
    """The running means of all servers together, and how often one of them is heard of."""

    def __init__(self):
        """Make it with nothing seen."""
        super().__init__()
        self.mean_gap_us = 0.0  # mean time between two outcomes of one server
        self.last_outcome_us = 0


class RunningShare:
    """The share of recent outcomes in which something occurred."""

    def __init__(self):
        """Make it with a share of 0."""
        self.share = 0.0
        self.last_outcome_us = 0

    def add(self, occurred: bool, weight: float, now_us: int) -> None:
        """Take in an outcome; `weight` is its weight in the share."""
        self.share += weight * (occurred - self.share)
        self.last_outcome_us = now_us


class Ranks:
    """Ranks each value among the last `size` before it."""

    def __init__(self, size: int):
        """Make it with no value."""
        self._values = deque(maxlen=size)

    def rank(self, value: float) -> float:
        """Return the share of the values before that are less, and remember this one."""
        rank = sum(earlier < value for earlier in self._values) / max(1, len(self._values))
        self._values.append(value)
        return rank


class ExpiringSets:
    """Sets by key, at most `size`, each forgotten `span_us` after it was last added to."""

    def __init__(self, size: int, span_us: int):
        """Make it empty."""
        self._size = size
        self._span_us = span_us
        self._sets = {}  # key -> (members, time of the last addition), oldest addition first

    def add(self, key, member, now_us: int) -> None:
        """Add a member to the key's set; the set that was added to least lately may be dropped."""
        members = self._sets[key][0] if self.count(key, now_us) else set()
        self.drop(key)
        self._sets[key] = members | {member}, now_us
        if len(self._sets) > self._size:
            del self._sets[next(iter(self._sets))]

    def count(self, key, now_us: int) -> int:
        """Return how many members the key's set has."""
        members, added_us = self._sets.get(key, ((), now_us))
        return len(members) if now_us - added_us < self._span_us else 0

    def drop(self, key) -> None:
        """Forget the key's set."""
        self._sets.pop(key, None)


def _median_step(is_above):
    return MEDIAN_STEP if is_above else 1 / MEDIAN_STEP
