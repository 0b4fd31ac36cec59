"""Estimates the cost of a part: as stated by its client, or else the mean of its class."""

from mothnotch.decisions.interface import PartArrived, QueryClass

NEW_PART_WEIGHT = 0.05  # weight of a new part in the running mean of its class
# The longest latency objective divided by this is the estimate until the first part has arrived.
DEFAULT_COST_DIVISOR = 10


class WorkEstimates:
    """The running mean of the cost of a part, by query class."""

    def __init__(self, longest_objective_us: int):
        """Initialize without parts."""
        self.by_class = {}  # class name -> mean cost of a part, in microseconds
        self._default_us = longest_objective_us / DEFAULT_COST_DIVISOR

    def add(self, event: PartArrived, query_class: QueryClass) -> float:
        """Add a part; return its cost in microseconds."""
        mean_us = self.by_class.get(query_class.name, self._default_us)
        cost_us = event.cost_us if event.cost_us and event.cost_us > 0 else mean_us
        self.by_class[query_class.name] = mean_us + NEW_PART_WEIGHT * (cost_us - mean_us)
        return cost_us
