"""How much work a part makes: what its client says, or the mean of its class."""

from mothnotch.decisions.interface import PartArrived, QueryClass

NEW_PART_WEIGHT = 0.05  # weight of a new part in the mean of its class
DEFAULT_COST_DIVISOR = 10  # of the longest objective: a guess until the first part is known


class WorkEstimates:
    """The mean work of a part, by class."""

    def __init__(self, longest_objective_us: int):
        """Make it with nothing seen."""
        self.by_class = {}  # class name -> mean work of a part, in microseconds
        self._default_us = longest_objective_us / DEFAULT_COST_DIVISOR

    def add(self, event: PartArrived, query_class: QueryClass) -> float:
        """Take in a part; return its work in microseconds."""
        mean_us = self.by_class.get(query_class.name, self._default_us)
        cost_us = event.cost_us if event.cost_us and event.cost_us > 0 else mean_us
        self.by_class[query_class.name] = mean_us + NEW_PART_WEIGHT * (cost_us - mean_us)
        return cost_us
