"""By when a query is to be answered, and when it is given up."""

from mothnotch.decisions.balancer.records import Query
from mothnotch.decisions.balancer.statistics import MEDIAN_STEP
from mothnotch.decisions.balancer.tenant_quotas import TenantQuotas
from mothnotch.decisions.interface import QueryArrived, Settings

SHORTENED_FRACTION = 0.95  # of the usual time left, under which a try was cut short: it is a retry
LATE_WEIGHT_MIN = 0.2  # a class's weight of late answers above which they are worth their work
DEADLINE_MARGIN_TICKS = 2  # an answer that is decided later would reach its client too late
OBJECTIVE_MARGIN_TICKS = 3  # as much before the objective: the answer has its way to the client


class QueryTimes:
    """Sets a query's times from its deadline and from when its client first asked."""

    def __init__(self, settings: Settings, quotas: TenantQuotas):
        """Make it with nothing seen."""
        self._settings = settings
        self._quotas = quotas
        self._median_left_us = {}  # class name -> running median of the time that tries have

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
        """When the client first asked.

        A try cut shorter than usual is a retry that ends with the client's whole time, which tells
        when it first asked. Clients with little patience cut a first try, too: it counts as a first
        one where retries are marked and it is not, and its tenant is within its quota, as clients
        that ask again and again without saying so are over it.
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
