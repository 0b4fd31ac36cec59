"""Parse Settings from JSON options.

The options come from the simulator's first message or from a root's configuration file. Their keys
use the simulator's terms: a lane is a query class, and the family describes the shards.
"""

from mothnotch.decisions.interface import Idempotency, Limits, QueryClass, Rules, Settings

IDEMPOTENCY_BY_SEMANTICS = {
    "pure": Idempotency.IDEMPOTENT,
    "token": Idempotency.WITH_KEY,
    "side_effect": Idempotency.NOT_IDEMPOTENT,
}


def parse_settings(options: dict) -> Settings:
    """Return the Settings from a JSON object of options, ignoring unknown keys.

    Raise KeyError if a key without a default is missing.
    """
    family = options["familyInfo"]
    return Settings(
        root_count=options.get("balancers", 1),
        root_index=options.get("me", 0),
        zone=options.get("zone", ""),
        classes={
            lane["name"]: _parse_query_class(lane, family, number)
            for number, lane in enumerate(options["lanes"])
        },
        tenant_quotas_qps={
            tenant["name"]: tenant["allowancePerS"] for tenant in options.get("tenants") or ()
        },
        over_quota_weight=options.get("overShareWorth", 1.0),
        cell_count=family["positions"],
        cells_per_shard=family["reach"],
        call_overhead_us=family.get("perCallWorkUs", 0),
        parts_per_call=family.get("perCall", 1),
        must_subscribe=options.get("discovery") == "subscribe",
        has_endpoint_weights=options.get("weightSource", "off") != "off",
        tick_us=options["stepUs"],
        limits=_parse_limits(options.get("limits", {})),
        rules=_parse_rules(options.get("rules", {})),
        prices=options.get("prices", {}),
        clients_mark_retries=bool((options.get("clients") or {}).get("marksRetry")),
    )


def _parse_query_class(lane, family, number):
    """Return the class of a lane; the family lists some of its values by lane number."""

    def by_number(key, default):
        values = family.get(key)
        return values[number] if values else default

    complete_weight = by_number("wholeAt", 1.0)
    return QueryClass(
        name=lane["name"],
        latency_objective_us=lane["aimUs"],
        deadline_us=lane["deadlineUs"],
        priority_weight=lane["worth"],
        late_weight=lane.get("lateWorth", 0.0),
        idempotency=IDEMPOTENCY_BY_SEMANTICS[lane["semantics"]],
        idempotency_window_us=lane.get("repeatWindowUs"),
        objective_cost_factor=lane.get("aimStretch") or 0.0,
        min_answer_weight=by_number("floorByClass", complete_weight),
        complete_weight=complete_weight,
        partial_weight=by_number("classPartial", 0.0),
        second_step_parts=by_number("secondStep", 0),
    )


def _parse_limits(limits):
    return Limits(
        cancel=limits.get("cancel", False),
        health_checks=limits.get("probes", False),
        hedging=limits.get("mayDuplicate", False),
        gossip=limits.get("peerMessages", False),
        retry_after=limits.get("retryAfter", False),
        max_retry_after_us=limits.get("maxRetryAfterUs", 0),
        max_attempts=limits.get("maxAttempts"),
        connect_timeout_us=limits.get("dialTimeoutUs"),
    )


def _parse_rules(rules):
    return Rules(
        answer_slack_us=rules.get("answerSlackUs", 0),
        initial_capacity=rules.get("coldFrom", 1.0),
        slow_start_us=rules.get("rampTimeUs", 0),
        collapse_multiple=rules.get("fallMultiple", 1.0),
        collapse_window_us=rules.get("fallUs", 0),
        retry_budget_ratio=rules.get("repeatRatio"),
        retry_budget_minimum=rules.get("spareAttempts", 0),
        retry_budget_window_us=rules.get("lookBackUs"),
    )
