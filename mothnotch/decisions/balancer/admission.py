"""Which queries and parts are taken on: late or low-value work is rejected under overload."""

from mothnotch.decisions.balancer.answers import WEIGHT_TOLERANCE, Answers
from mothnotch.decisions.balancer.placement import Placement
from mothnotch.decisions.balancer.quarantine import KeyQuarantine
from mothnotch.decisions.balancer.records import Part, Query
from mothnotch.decisions.balancer.sending import Sender
from mothnotch.decisions.balancer.statistics import Ranks
from mothnotch.decisions.balancer.tenant_quotas import TenantQuotas
from mothnotch.decisions.balancer.turn import Turn
from mothnotch.decisions.balancer.work_estimates import WorkEstimates
from mothnotch.decisions.interface import Settings

# The work of least value for its cost is rejected once it would take this share of its time; the
# work of most value only once it would take all of it.
LEAST_VALUE_TIME_SHARE = 0.25
RANKED_QUERIES = 64  # the latest values, among which a query's is ranked


class Admission:
    """Begins queries: rejects them, leaves out parts, or sends the parts on."""

    def __init__(
        self,
        turn: Turn,
        settings: Settings,
        placement: Placement,
        answers: Answers,
        sender: Sender,
        quarantine: KeyQuarantine,
        quotas: TenantQuotas,
        work_estimates: WorkEstimates,
    ):
        """Make it from what it asks and what it hands parts to."""
        self._turn = turn
        self._settings = settings
        self._placement = placement
        self._answers = answers
        self._sender = sender
        self._quarantine = quarantine
        self._quotas = quotas
        self._work_estimates = work_estimates
        self._value_ranks = Ranks(RANKED_QUERIES)

    def admit(self, query: Query, parts: list[Part]) -> None:
        """Reject a query that would come too late; send its new parts but those too late.

        Parts too late are left out only where the others may make an answer.
        """
        late = self._late_parts(query, parts) if query.is_open and query.step == 1 else []
        self._reject_if_needed(query, late)
        query_class = query.query_class
        needed_weight = 1.0
        if query.step == 1:
            needed_weight = query_class.complete_weight - WEIGHT_TOLERANCE
        if needed_weight < 1 - 2 * WEIGHT_TOLERANCE:
            # Work not needed is not asked for: the quickest parts are.
            latency_cache = {}
            parts = sorted(
                parts, key=lambda part: self._placement.least_latency_us(part, latency_cache)
            )
        may_leave_out = query_class.min_answer_weight < query_class.complete_weight
        asked_weight = 0.0
        for part in parts:
            if part in late and may_leave_out:
                self._answers.mark_lost(part)
            elif asked_weight >= needed_weight:
                query.spare_parts.append(part)  # stands in for one that fails or is stuck
            else:
                asked_weight += part.weight
                self._sender.dispatch(part)

    def _reject_if_needed(self, query, late):
        is_quarantined = self._quarantine.contains(query.key, self._turn.now_us)
        if not query.is_open:
            return
        in_time_weight = 1 - sum(part.weight for part in late)
        if is_quarantined:
            self._answers.reject_or_fail(query, "its key is distrusted")
        elif in_time_weight < query.query_class.min_weight - WEIGHT_TOLERANCE:
            self._answers.reject_or_fail(query, "would come too late for its worth")

    def _late_parts(self, query, parts):
        """The parts that would come too late: more of them the less value for its cost work has.

        Guards against overload and dead shards. Harm: with stale latencies it leaves out work that
        would have been in time.
        """
        now_us = self._turn.now_us
        query_class = query.query_class
        needed_parts = (
            len(parts) * min(1.0, query_class.complete_weight) + query_class.second_step_parts
        )
        part_cost_us = (
            self._work_estimates.by_class[query_class.name] + self._settings.call_overhead_us
        )
        value = query_class.priority_weight / (needed_parts * part_cost_us)
        if not self._quotas.take(query.tenant, now_us):
            value *= self._settings.over_quota_weight
        # Asked again, and too late for its full worth.
        is_late = query.objective_at_us <= now_us
        value *= query_class.late_weight if is_late else 1.0
        left_us = (query.give_up_at_us if is_late else query.objective_at_us) - now_us
        time_share = LEAST_VALUE_TIME_SHARE + (1 - LEAST_VALUE_TIME_SHARE) * self._value_ranks.rank(
            value
        )
        allowed_us = left_us * time_share
        latency_cache = {}
        return [
            part
            for part in parts
            if self._placement.least_latency_us(part, latency_cache) > allowed_us
        ]
