"""Admission control: rejects queries and leaves out parts that would come too late.

Under overload, work of low value for its cost is rejected first.
"""

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

# The work of least value for its cost is rejected if it is expected to take more than this share of
# the time left to it; the work of most value only if it is expected to take more than all of it.
LEAST_VALUE_TIME_SHARE = 0.25
RANKED_QUERIES = 64  # the value of a query is ranked among those of this many before it


class Admission:
    """Decides whether a query is rejected, and which of its parts are sent."""

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
        """Initialize with no ranked values; the arguments are the collaborators."""
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
        """Reject a query that would come too late; else send its new parts.

        Parts that would come too late are left out only if the query class accepts an answer
        without them.
        """
        late = self._late_parts(query, parts) if query.is_open and query.step == 1 else []
        self._reject_if_needed(query, late)
        query_class = query.query_class
        needed_weight = 1.0
        if query.step == 1:
            needed_weight = query_class.complete_weight - WEIGHT_TOLERANCE
        if needed_weight < 1 - 2 * WEIGHT_TOLERANCE:
            # Send only as many parts as a complete answer needs, those expected fastest first.
            latency_cache = {}
            parts = sorted(
                parts, key=lambda part: self._placement.least_latency_us(part, latency_cache)
            )
        may_leave_out = query_class.min_answer_weight < query_class.complete_weight
        sent_weight = 0.0
        for part in parts:
            if part in late and may_leave_out:
                self._answers.mark_lost(part)
            elif sent_weight >= needed_weight:
                query.spare_parts.append(part)  # replaces a part that fails or is stuck
            else:
                sent_weight += part.weight
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
        """Return the parts that would come too late; the less value for its cost, the stricter.

        This protects against overload and dead shards. Drawback: stale latencies leave out work
        that would have been in time.
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
        # A retry by the client, too late to earn the full value.
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
