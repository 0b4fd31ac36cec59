"""The six rules, each a function from the record of a day to a verdict with its violations.

Clients put ids into their statements, and leaves see these ids as bound values: so what a leaf
received is matched to the client's query without relying on the root.
"""

import bisect
from collections import defaultdict
from dataclasses import dataclass, field

from mothnotch.decisions.interface import Rules


@dataclass(slots=True)
class QueryRecord:
    """One query of a client and its outcome. All times are seconds of the same clock."""

    id: str
    root: int
    class_name: str
    is_write: bool
    started_at: float
    timeout_s: float  # the client's timeout
    shards: tuple = ()  # ranges that the query needs
    ended_at: float | None = None
    # answered, refused, failed, gone (the client left) or lost (the connection broke)
    outcome: str = ""
    sqlstate: str = ""
    reply_count: int = 0  # final replies received
    value: tuple | None = None  # the values read
    expected: dict = field(default_factory=dict)  # range -> the values of that range alone
    missing: tuple | None = None  # ranges that the answer names as missing; None: it names none
    surplus_bytes: int = 0  # bytes received after the final reply


@dataclass(slots=True)
class DayRecord:
    """What clients and leaves observed during a day."""

    queries: list = field(default_factory=list)  # QueryRecord
    leaf_events: list = field(default_factory=list)  # events that the stand-in leaves recorded
    # (time, leaf, state, root) of every change of the endpoint list; root None: sent to all roots
    endpoint_updates: list = field(default_factory=list)
    effect_counts: dict = field(default_factory=dict)  # id of a write -> rows found at the end
    min_answer_weights: dict = field(default_factory=dict)  # class -> least share of an answer
    repeat_windows_s: dict = field(default_factory=dict)  # class -> how long repeats are dropped
    latency_objectives_s: dict = field(default_factory=dict)  # class -> seconds for the full worth
    priority_weights: dict = field(default_factory=dict)  # class -> worth of a query
    rules: Rules | None = None
    drain_grace_s: float = 0.25
    slack_s: float = 0.0  # delay that the machine may add to a measured time


@dataclass(slots=True)
class Verdict:
    """The result of checking one rule."""

    rule: str
    checked: int
    violations: list


def query_id_of(event):
    """Return the client's query id among the bound values that a leaf saw, or None."""
    for value in event.values:
        if isinstance(value, str) and value.startswith("id:"):
            return value
    return None


def arrivals_by_query(record):
    """Return the arrivals of statements at leaves, by query id."""
    arrivals = defaultdict(list)
    for event in record.leaf_events:
        if event.what == "arrived":
            query_id = query_id_of(event)
            if query_id is not None:
                arrivals[query_id].append(event)
    return arrivals


def check_single_answer(record):
    """1: one final answer within the client's timeout, and nothing is sent to a leaf after it."""
    violations, arrivals = [], arrivals_by_query(record)
    for query in record.queries:
        if query.outcome == "gone":
            end = query.ended_at
        elif query.outcome in ("answered", "refused", "failed"):
            end = query.ended_at
            if query.reply_count != 1 or query.surplus_bytes:
                violations.append(
                    f"{query.id}: {query.reply_count} final answers, "
                    f"{query.surplus_bytes} surplus bytes"
                )
            if end - query.started_at > query.timeout_s + record.slack_s:
                violations.append(
                    f"{query.id}: answered after {end - query.started_at:.3f} s, "
                    f"timeout {query.timeout_s:.3f} s"
                )
        else:
            violations.append(f"{query.id}: no final answer ({query.outcome or 'none'})")
            continue
        for event in arrivals.get(query.id, ()):
            if event.at > end + record.slack_s:
                violations.append(
                    f"{query.id}: sent to {event.leaf} {event.at - end:.3f} s after its final "
                    "answer"
                )
    return Verdict("1 one final answer in time", len(record.queries), violations)


def check_write_effects(record):
    """2: no write takes effect twice, an answered write takes effect, and a refused one does not.

    A write that may have run is sent again only within the window in which repeats are dropped.
    """
    violations, arrivals, checked = [], arrivals_by_query(record), 0
    commit_times = defaultdict(list)
    for event in record.leaf_events:
        if event.what == "commit" and query_id_of(event) is not None:
            commit_times[query_id_of(event)].append(event.at)
    for query in record.queries:
        if not query.is_write:
            continue
        checked += 1
        effect_count = record.effect_counts.get(query.id, 0)
        if effect_count > 1:
            violations.append(f"{query.id}: took effect {effect_count} times")
        if query.outcome == "answered" and effect_count != 1:
            violations.append(f"{query.id}: answered, but took effect {effect_count} times")
        if query.outcome == "refused" and effect_count:
            violations.append(f"{query.id}: refused as safe to retry, but took effect")
        sent_at = sorted(event.at for event in arrivals.get(query.id, ()))
        window = record.repeat_windows_s.get(query.class_name)
        if (
            commit_times.get(query.id)
            and window is not None
            and sent_at
            and sent_at[-1] - sent_at[0] > window + record.slack_s
        ):
            violations.append(
                f"{query.id}: sent again {sent_at[-1] - sent_at[0]:.3f} s after an attempt that "
                "may have run"
            )
    return Verdict("2 no effect twice", checked, violations)


def updates_by_leaf_and_root(record):
    """Return {(leaf, root): [(time, state)]} of what a root was told; root None: all roots."""
    updates = defaultdict(list)
    for at, leaf, state, root in record.endpoint_updates:
        updates[leaf, root].append((at, state))
    return updates


def check_drains(record):
    """3: a root sends nothing new to a leaf once it was told, longer than the grace period ago,
    that the leaf is draining or removed.
    """
    updates, violations, checked = updates_by_leaf_and_root(record), [], 0
    roots = {query.id: query.root for query in record.queries}
    for event in record.leaf_events:
        query_id = query_id_of(event)
        if event.what != "arrived" or query_id is None:
            continue
        history = updates.get((event.leaf, roots.get(query_id))) or updates.get((event.leaf, None))
        if not history:
            continue
        n = bisect.bisect_right(history, event.at, key=lambda pair: pair[0]) - 1
        checked += 1
        if n >= 0 and history[n][1] != "up":
            since = history[n][0]
            # A leaf that drains and is then removed counts from the first of the two updates.
            while n > 0 and history[n - 1][1] != "up":
                n -= 1
                since = history[n][0]
            if event.at > since + record.drain_grace_s + record.slack_s:
                violations.append(
                    f"{query_id}: sent to {event.leaf} {event.at - since:.3f} s after the root was "
                    f"told that it is {history[n][1]}"
                )
    return Verdict("3 drains kept", checked, violations)


def departures(record):
    """Return a tuple (root, leaf, told at, delay, whether busy) for each departure of a leaf.

    A departure lasts from the time a root is told that the leaf leaves until it is told that the
    leaf is up. The delay is the time from its start to the last new part that the root sent to the
    leaf during it, 0 if there was none. The leaf was busy if the root had sent to it in the second
    before. A leaf that is not up in the first update to a root does not count as departing then.
    """
    arrival_times = defaultdict(list)
    roots = {query.id: query.root for query in record.queries}
    for event in record.leaf_events:
        if event.what == "arrived" and query_id_of(event) in roots:
            arrival_times[event.leaf, roots[query_id_of(event)]].append(event.at)
    out = []
    for (leaf, root), history in updates_by_leaf_and_root(record).items():
        times, since = arrival_times[leaf, root], None
        for n, (at, state) in enumerate([*history, (float("inf"), "up")]):
            if state == "up" and since is not None:
                late = [t for t in times if since < t < at]
                out.append(
                    (
                        root,
                        leaf,
                        since,
                        max(late) - since if late else 0.0,
                        any(since - 1 <= t <= since for t in times),
                    )
                )
                since = None
            elif state != "up" and since is None and n:
                since = at
    return out


def check_cold_leaves(record):
    """4: no cold leaf is overloaded until it fails."""
    starts = sum(event.what == "up" for event in record.leaf_events)
    return Verdict(
        "4 no cold leaf pushed over",
        starts,
        [
            f"{event.leaf} failed from overload at {event.at:.3f} s"
            for event in record.leaf_events
            if event.what == "fell"
        ],
    )


def check_answer_values(record):
    """5: an answer is the sum of the ranges that it does not name as missing, and their share is at
    least the minimum of the class.
    """
    violations, checked = [], 0
    for query in record.queries:
        if query.outcome != "answered" or query.is_write or query.value is None:
            continue
        checked += 1
        missing = query.missing or ()
        rows = [query.expected[shard] for shard in query.shards if shard not in missing]
        expected = tuple(sum(row[n] for row in rows) for n in range(len(query.value)))
        if query.value != expected:
            violations.append(
                f"{query.id}: answer {query.value}, but {len(rows)} of {len(query.shards)} ranges "
                f"sum to {expected}"
            )
        share = 1 - len(missing) / len(query.shards)
        if share < record.min_answer_weights.get(query.class_name, 1.0) - 1e-6:
            violations.append(f"{query.id}: answered from {share:.2f} of its ranges")
    return Verdict("5 honest answers", checked, violations)


def check_retry_budget(record):
    """6: in any window, a root's attempts beyond the first of each part stay within the budget."""
    if record.rules is None or record.rules.retry_budget_ratio is None:
        return Verdict("6 attempts within the budget", 0, [])
    window, violations, checked = record.rules.retry_budget_window_us / 1e6, [], 0
    roots = {query.id: query.root for query in record.queries}
    accepted, retries, first_sent = defaultdict(list), defaultdict(list), set()
    for query in record.queries:
        accepted[query.root] += [query.started_at] * (1 + len(query.shards))
    for event in sorted((e for e in record.leaf_events if e.what == "arrived"), key=lambda e: e.at):
        query_id = query_id_of(event)
        if query_id is None or query_id not in roots:
            continue
        checked += 1
        if (query_id, event.shard) in first_sent:
            retries[roots[query_id]].append(event.at)
        first_sent.add((query_id, event.shard))
    for root, times in retries.items():
        times.sort()
        accepted[root].sort()
        for n, at in enumerate(times):
            begin = at - window
            retry_count = n + 1 - bisect.bisect_left(times, begin)
            # The root may have counted what it accepted a little before the window as within it.
            accepted_count = bisect.bisect_right(accepted[root], at) - bisect.bisect_left(
                accepted[root], begin - record.slack_s - 0.01
            )
            allowed = record.rules.retries_allowed(accepted_count)
            if retry_count > allowed + 1e-9:
                violations.append(
                    f"root {root}: {retry_count} retries in the {window:g} s up to {at:.3f} s, "
                    f"{allowed:.1f} allowed"
                )
    return Verdict("6 attempts within the budget", checked, violations)


RULES = (
    check_single_answer,
    check_write_effects,
    check_drains,
    check_cold_leaves,
    check_answer_values,
    check_retry_budget,
)


def evaluate_rules(record):
    """Return the six verdicts on a day."""
    return [rule(record) for rule in RULES]


def served_worth(record):
    """Return, by class and for "all", the share of the queries' worth answered in time.

    An answer is in time within the latency objective of its class. Queries whose client left do not
    count.
    """
    total_worth, answered_worth = defaultdict(float), defaultdict(float)
    for query in record.queries:
        if query.outcome == "gone":
            continue
        worth = record.priority_weights.get(query.class_name, 1.0)
        for name in (query.class_name, "all"):
            total_worth[name] += worth
            if (
                query.outcome == "answered"
                and query.ended_at - query.started_at
                <= record.latency_objectives_s.get(query.class_name, query.timeout_s)
            ):
                answered_worth[name] += worth * (
                    1 - len(query.missing or ()) / max(1, len(query.shards))
                )
    return {name: answered_worth[name] / total_worth[name] for name in total_worth}
