"""Registers queries and parts as they arrive, and starts them at the end of the turn."""

from mothnotch.decisions.balancer.admission import Admission
from mothnotch.decisions.balancer.answers import Answers
from mothnotch.decisions.balancer.query_times import QueryTimes
from mothnotch.decisions.balancer.records import OpenQueries, Part, Query
from mothnotch.decisions.balancer.retry_limits import RetryLimits
from mothnotch.decisions.balancer.turn import Turn
from mothnotch.decisions.balancer.work_estimates import WorkEstimates
from mothnotch.decisions.interface import PartArrived, QueryArrived, Settings


class Arrivals:
    """Registers arriving queries and parts; hands them to admission at the end of the turn."""

    def __init__(
        self,
        turn: Turn,
        settings: Settings,
        queries: OpenQueries,
        query_times: QueryTimes,
        work_estimates: WorkEstimates,
        retry_limits: RetryLimits,
        admission: Admission,
        answers: Answers,
    ):
        """Initialize with no new parts; the arguments are the collaborators."""
        self._turn = turn
        self._settings = settings
        self._queries = queries
        self._query_times = query_times
        self._work_estimates = work_estimates
        self._retry_limits = retry_limits
        self._admission = admission
        self._answers = answers
        self._new_parts = {}  # query -> its parts that arrived in this turn

    def begin_turn(self) -> None:
        """Drop the parts of a turn that raised an error: the caller has ended their queries."""
        self._new_parts = {}

    def on_query_arrived(self, event: QueryArrived) -> None:
        """Register a query; its parts follow."""
        query = Query(event, self._settings.classes[event.class_name])
        self._queries.add(query)
        self._retry_limits.record_query(self._turn.now_us)
        self._query_times.set(query, event, self._turn.now_us)
        timers = self._turn.timers
        timers.schedule(query.objective_at_us, self._answers.resolve, query)
        timers.schedule(query.give_up_at_us, self._answers.resolve, query)

    def on_part_arrived(self, event: PartArrived) -> None:
        """Register a part, unless its query already has its final answer."""
        query = self._queries.by_number.get(event.query_number)
        if query is None:
            return
        self._retry_limits.record_part(self._turn.now_us)
        cost_us = self._work_estimates.add(event, query.query_class)
        part = Part(event, query, cost_us)
        query.parts.append(part)
        self._new_parts.setdefault(query, []).append(part)

    def begin_queries(self) -> None:
        """Admit the parts of this turn: after all its events, so that sends can share calls."""
        for query, parts in self._new_parts.items():
            self._admission.admit(query, parts)
