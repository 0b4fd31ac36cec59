"""Convert sections of the configuration to the settings of the decisions package."""

from mothnotch.config.sections import ClassConfig, LeavesConfig, LimitsConfig, RulesConfig
from mothnotch.decisions.interface import Idempotency, Limits, QueryClass, Rules


def microseconds(milliseconds: float) -> int:
    """Return a time in milliseconds as microseconds, rounded down."""
    return int(milliseconds * 1000)


def build_query_class(name: str, config: ClassConfig) -> QueryClass:
    """Return the query class of that name for the decisions."""
    window_ms = config.repeat_window_ms
    return QueryClass(
        name=name,
        latency_objective_us=microseconds(config.aim_ms),
        deadline_us=microseconds(config.deadline_ms),
        priority_weight=config.worth,
        late_weight=config.late_worth,
        idempotency=Idempotency(config.repeat),
        idempotency_window_us=None if window_ms is None else microseconds(window_ms),
        objective_cost_factor=config.aim_stretch,
        min_answer_weight=config.floor,
        complete_weight=config.whole_at,
        partial_weight=config.partial_worth,
        second_step_parts=0,
    )


def build_limits(limits: LimitsConfig, leaves: LeavesConfig) -> Limits:
    """Return what a root that serves the PostgreSQL protocol may do.

    The protocol has neither health checks nor load reports, and peers do not gossip about leaves.
    """
    return Limits(
        cancel=limits.cancel,
        health_checks=False,
        hedging=limits.second_copies,
        gossip=False,
        retry_after=True,
        max_retry_after_us=microseconds(limits.max_retry_after_ms),
        max_attempts=limits.max_attempts,
        connect_timeout_us=microseconds(leaves.connect_timeout_ms),
    )


def build_rules(rules: RulesConfig) -> Rules:
    """Return the rules of the deployment for the decisions."""
    window_s = rules.budget_window_s
    return Rules(
        answer_slack_us=microseconds(rules.answer_slack_ms),
        initial_capacity=rules.cold_from,
        slow_start_us=int(rules.cold_s * 1e6),
        collapse_multiple=rules.fall_multiple,
        collapse_window_us=int(rules.fall_s * 1e6),
        retry_budget_ratio=rules.budget_share,
        retry_budget_minimum=rules.budget_free,
        retry_budget_window_us=None if window_s is None else int(window_s * 1e6),
    )
