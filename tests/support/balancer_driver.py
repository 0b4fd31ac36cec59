"""A driver for `Balancer`: settings, a simulated clock and helpers that create events."""

from dataclasses import replace

from mothnotch.decisions import interface as i
from mothnotch.decisions.balancer import Balancer

MS, S = 1_000, 1_000_000


def query_class(name="read", **changes):
    base = i.QueryClass(
        name, 1 * S, 3 * S, 1.0, 0.3, i.Idempotency.IDEMPOTENT, None, 0.0, 1.0, 1.0, 0.0, 0
    )
    return replace(base, **changes)


def settings(*classes, limits=None, rules=None, **changes):
    base = i.Settings(
        root_count=2,
        root_index=0,
        zone="a",
        classes={c.name: c for c in classes or (query_class(),)},
        tenant_quotas_qps={},
        over_quota_weight=0.1,
        cell_count=1,
        cells_per_shard=1,
        call_overhead_us=0,
        parts_per_call=1,
        must_subscribe=False,
        has_endpoint_weights=True,
        tick_us=5 * MS,
        limits=i.Limits(True, True, False, False, True, 1 * S, 3, 250 * MS),
        rules=i.Rules(20 * MS, 0.2, 10 * S, 3.0, 3 * S, None, 0, None),
        prices={},
    )
    limits, rules = replace(base.limits, **limits or {}), replace(base.rules, **rules or {})
    return replace(base, limits=limits, rules=rules, **changes)


def endpoint(server, cell=0, state="up", weight=1.0, started_us=0):
    return i.Endpoint(server, "a", cell, state, weight, started_us)


class Root:
    """Drives one Balancer on a simulated clock, and fires the timers that it sets."""

    def __init__(self, *classes, servers=("s1", "s2", "s3"), seed=1, now=1000 * S, **changes):
        self.balancer = Balancer(settings(*classes, **changes), seed)
        self.now, self.timers_us, self.query_count = now, [], 0
        # in_flight: (part, attempt) -> server; all_actions: every action so far
        self.in_flight, self.all_actions = {}, []
        self.sent_us = {}  # (part, attempt) -> time of its send
        self.attempt_numbers = {}  # part -> number of its latest attempt
        listed = tuple(s if isinstance(s, i.Endpoint) else endpoint(s) for s in servers)
        self.handle(i.WatchEvent(i.WatchEventKind.CACHED, 1, listed))

    def handle(self, *events):
        actions = self.balancer.handle(self.now, list(events))
        for action in actions:
            if isinstance(action, i.Send):
                n = self.attempt_numbers[action.part] = (
                    self.attempt_numbers.get(action.part, -1) + 1
                )
                self.in_flight[action.part, n] = action.server
                self.sent_us[action.part, n] = self.now
            elif isinstance(action, i.SetTimer):
                self.timers_us.append(self.now + action.delay_us)
        self.all_actions += actions
        return actions

    def send_query(
        self, shards=(0,), name="read", key=None, cost=50 * MS, timeout_us=3 * S, tenant=None
    ):
        self.query_count += 1
        query = f"q{self.query_count}"
        parts = [
            i.PartArrived(f"{query}.{n}", self.query_count, shard, 1 / len(shards), cost)
            for n, shard in enumerate(shards)
        ]
        return query, self.handle(
            i.QueryArrived(
                query,
                self.query_count,
                name,
                tenant,
                key,
                self.now + timeout_us,
                cost * len(shards),
                False,
            ),
            *parts,
        )

    def end_attempt(self, part, result=i.Result.OK, attempt=None, latency=None):
        """End an attempt, the latest one by default.

        Without `latency`, a cancelled attempt took the time since its send, any other 50 ms.
        """
        attempt = self.attempt_numbers[part] if attempt is None else attempt
        server = self.in_flight.pop((part, attempt))
        if latency is None and result is i.Result.CANCELLED:
            latency = self.now - self.sent_us[part, attempt]
        elif latency is None:
            latency = 50 * MS
        return self.handle(i.AttemptEnded(part, attempt, server, result, latency, None))

    def watch_event(self, kind, *entries):
        return self.handle(i.WatchEvent(kind, 2, entries))

    def run(self, span, step=5 * MS):
        """Advance the clock by `span`, firing timers that are due; return the actions meanwhile."""
        seen, until = [], self.now + span
        while self.now < until:
            self.now += step
            if any(w <= self.now for w in self.timers_us):
                self.timers_us = [w for w in self.timers_us if w > self.now]
                seen += self.handle(i.TimerFired(0))
        return seen


def of_type(kind, actions):
    return [a for a in actions if isinstance(a, kind)]
