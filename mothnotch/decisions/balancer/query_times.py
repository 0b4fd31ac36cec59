"""Derives the time by which a query should be answered, and the time at which it is given up."""

from mothnotch.decisions.balancer.records import Query
from mothnotch.decisions.balancer.statistics import MEDIAN_STEP
from mothnotch.decisions.balancer.tenant_quotas import TenantQuotas
from mothnotch.decisions.interface import QueryArrived, Settings

# A try with less than this fraction of the median time left was shortened: it is a retry.
SHORTENED_FRACTION = 0.95
LATE_WEIGHT_MIN = 0.2  # late answers are worth their work only above this `late_weight`
DEADLINE_MARGIN_TICKS = 2  # an answer decided later would reach its client after the deadline
OBJECTIVE_MARGIN_TICKS = 3  # allows for the time that the answer takes to reach its client


class QueryTimes:
    """Sets the times of a query from its deadline and the time of its client's first try."""

    def __init__(self, settings: Settings, quotas: TenantQuotas):
        """Initialize with no tries recorded."""
        self._settings = settings
        self._quotas = quotas
        self._median_left_us = {}  # class name -> running median of the tries' time left

    def set(self, query: Query, event: QueryArrived, now_us: int) -> None:
        """Set the query's `objective_at_us` and `give_up_at_us`."""
        query_class = query.query_class
        tick_us = self._settings.tick_us
        last_answer_us = event.deadline_us - DEADLINE_MARGIN_TICKS * tick_us
        first_try_us = self._first_try_us(query, event, now_us)
        objective_us = query_class.latency_objective_of(event.cost_us or 0)
        query.objective_at_us = min(
            last_answer_us, int(first_try_us + objective_us - OBJECTIVE_MARGIN_TICKS * tick_us)
        )
        late_answers_pay = query_class.late_weight > LATE_WEIGHT_MIN
        query.give_up_at_us = last_answer_us if late_answers_pay else query.objective_at_us

    def _first_try_us(self, query, event, now_us):
        """Return when the client first sent the query.

        A try with less time left than usual is a retry whose deadline is that of the first try,
        which shows when that was sent. A client with a short timeout has little time left on its
        first try, too. If clients mark their retries, an unmarked query therefore counts as a first
        try while its tenant is within its quota: clients that retry without marking exceed it.
        """
        query_class = query.query_class
        left_us = event.deadline_us - now_us
        median_left_us = self._median_left_us.get(query_class.name, left_us)
        step = MEDIAN_STEP if left_us > median_left_us else 1 / MEDIAN_STEP
        self._median_left_us[query_class.name] = median_left_us * step
        is_within_quota = self._quotas.is_within(event.tenant, now_us)
        if left_us > SHORTENED_FRACTION * median_left_us:
            return now_us
        if self._settings.clients_mark_retries and not event.is_retry and is_within_quota:
            return now_us
        return event.deadline_us - query_class.deadline_us
