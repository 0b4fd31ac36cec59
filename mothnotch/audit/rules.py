"""The six rules, each as a function from the record of a day to its breaches.

The ids that clients put into their statements reach the leaves as bound values: so what a leaf saw
is tied to what a client asked without a word of the root's.
"""

import bisect
from collections import defaultdict
from dataclasses import dataclass, field

from mothnotch.decisions.interface import Rules as RuleFigures


@dataclass(slots=True)
class QueryRecord:
    """One thing a client asked, and what it got. Times in seconds of one clock."""

    id: str
    root: int
    class_name: str
    is_write: bool
    started_at: float
    timeout_s: float  # the client's time
    shards: tuple = ()  # ranges it needs
    ended_at: float | None = None
    outcome: str = ""  # answered, refused, failed, gone (the client left), lost (connection)
    sqlstate: str = ""
    reply_count: int = 0  # answers that came
    value: tuple | None = None  # what was read
    expected: dict = field(default_factory=dict)  # range -> what that range alone gives
    missing: tuple | None = None  # ranges that the answer said are missing; None: it said nothing
    surplus_bytes: int = 0  # bytes that came after the final answer


@dataclass(slots=True)
class DayRecord:
    """A day, as clients and leaves saw it."""

    queries: list = field(default_factory=list)
    leaf_events: list = field(default_factory=list)  # standins.leaf.Seen
    endpoint_updates: list = field(
        default_factory=list
    )  # (time, leaf, state, root; None: all) of all news
    effect_counts: dict = field(default_factory=dict)  # id of a write -> rows found at the end
    min_answer_weights: dict = field(default_factory=dict)  # class -> least share
    repeat_windows_s: dict = field(
        default_factory=dict
    )  # class -> seconds that repeats are dropped for
    latency_objectives_s: dict = field(default_factory=dict)  # class -> seconds for full worth
    priority_weights: dict = field(default_factory=dict)
    rules: RuleFigures | None = None
    drain_grace_s: float = 0.25  # of a drain
    slack_s: float = 0.0  # what the machine may add to a time


@dataclass(slots=True)
class Verdict:
    rule: str
    checked: int
    violations: list


def query_id_of(seen):
    """The client's id that a leaf saw among the bound values, or None."""
    for value in seen.values:
        if isinstance(value, str) and value.startswith("id:"):
            return value
    return None


def arrivals(record):
    found = defaultdict(list)
    for seen in record.leaf_events:
        if seen.what == "arrived":
            key = query_id_of(seen)
            if key is not None:
                found[key].append(seen)
    return found


def one_answer(record):
    """1: one final answer within the client's time, and nothing sent to a leaf after it."""
    out, came = [], arrivals(record)
    for ask in record.queries:
        if ask.outcome == "gone":
            end = ask.ended_at
        elif ask.outcome in ("answered", "refused", "failed"):
            end = ask.ended_at
            if ask.reply_count != 1 or ask.surplus_bytes:
                out.append(
                    f"{ask.id}: {ask.reply_count} final answers, {ask.surplus_bytes} bytes after"
                )
            if end - ask.started_at > ask.timeout_s + record.slack_s:
                out.append(
                    f"{ask.id}: answered after {end - ask.started_at:.3f} s of {ask.timeout_s:.3f} s"
                )
        else:
            out.append(f"{ask.id}: no final answer ({ask.outcome or 'none'})")
            continue
        for seen in came.get(ask.id, ()):
            if seen.at > end + record.slack_s:
                out.append(
                    f"{ask.id}: sent to {seen.leaf} {seen.at - end:.3f} s after its final answer"
                )
    return Verdict("1 one final answer in time", len(record.queries), out)


def no_effect_twice(record):
    """2: no effect twice; an answered write took effect; a refused one did not; repeats only within
    the window.
    """
    out, came, checked = [], arrivals(record), 0
    committed = defaultdict(list)
    for seen in record.leaf_events:
        if seen.what == "commit" and query_id_of(seen) is not None:
            committed[query_id_of(seen)].append(seen.at)
    for ask in record.queries:
        if not ask.is_write:
            continue
        checked += 1
        n = record.effect_counts.get(ask.id, 0)
        if n > 1:
            out.append(f"{ask.id}: took effect {n} times")
        if ask.outcome == "answered" and n != 1:
            out.append(f"{ask.id}: answered, and took effect {n} times")
        if ask.outcome == "refused" and n:
            out.append(f"{ask.id}: refused as harmless to ask again, and took effect")
        times = sorted(seen.at for seen in came.get(ask.id, ()))
        window = record.repeat_windows_s.get(ask.class_name)
        if (
            committed.get(ask.id)
            and window is not None
            and times
            and times[-1] - times[0] > window + record.slack_s
        ):
            out.append(
                f"{ask.id}: sent again {times[-1] - times[0]:.3f} s after a send that may have run"
            )
    return Verdict("2 no effect twice", checked, out)


def told_spans(record):
    """(leaf, root) -> [(time, state)] of what a root was told; root None: every root."""
    spans = defaultdict(list)
    for at, leaf, state, root in record.endpoint_updates:
        spans[leaf, root].append((at, state))
    return spans


def drains_kept(record):
    """3: nothing new to a leaf later than the grace after the root was told that it drains or is
    gone.
    """
    spans, out, checked = told_spans(record), [], 0
    roots = {ask.id: ask.root for ask in record.queries}
    for seen in record.leaf_events:
        key = query_id_of(seen)
        if seen.what != "arrived" or key is None:
            continue
        told = spans.get((seen.leaf, roots.get(key))) or spans.get((seen.leaf, None))
        if not told:
            continue
        n = bisect.bisect_right(told, seen.at, key=lambda pair: pair[0]) - 1
        checked += 1
        if n >= 0 and told[n][1] != "up":
            since = told[n][0]
            while n > 0 and told[n - 1][1] != "up":  # draining, then gone: told at the first
                n -= 1
                since = told[n][0]
            if seen.at > since + record.drain_grace_s + record.slack_s:
                out.append(
                    f"{key}: sent to {seen.leaf} {seen.at - since:.3f} s after it was told {told[n][1]}"
                )
    return Verdict("3 drains kept", checked, out)


def departures(record):
    """(root, leaf, told at, seconds from then to the last new part that the root sent there; 0 if
    none came; whether it had sent there in the second before) of each departure that a root was
    told of, until told that the leaf is up.
    """
    arrived = defaultdict(list)
    roots = {ask.id: ask.root for ask in record.queries}
    for seen in record.leaf_events:
        if seen.what == "arrived" and query_id_of(seen) in roots:
            arrived[seen.leaf, roots[query_id_of(seen)]].append(seen.at)
    out = []
    for (leaf, root), told in told_spans(record).items():
        times, since = arrived[leaf, root], None
        for n, (at, state) in enumerate([*told, (float("inf"), "up")]):
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


def none_pushed_over(record):
    """4: no cold leaf pushed over."""
    starts = sum(seen.what == "up" for seen in record.leaf_events)
    return Verdict(
        "4 no cold leaf pushed over",
        starts,
        [
            f"{seen.leaf} fell over at {seen.at:.3f} s"
            for seen in record.leaf_events
            if seen.what == "fell"
        ],
    )


def honest(record):
    """5: an answer is the sum of the ranges it does not name as missing, and those carry the
    class's least share.
    """
    out, checked = [], 0
    for ask in record.queries:
        if ask.outcome != "answered" or ask.is_write or ask.value is None:
            continue
        checked += 1
        missing = ask.missing or ()
        rows = [ask.expected[shard] for shard in ask.shards if shard not in missing]
        expected = tuple(sum(row[n] for row in rows) for n in range(len(ask.value)))
        if ask.value != expected:
            out.append(
                f"{ask.id}: {ask.value} where {len(rows)} of {len(ask.shards)} ranges give {expected}"
            )
        share = 1 - len(missing) / len(ask.shards)
        if share < record.min_answer_weights.get(ask.class_name, 1.0) - 1e-6:
            out.append(f"{ask.id}: answered from {share:.2f} of its worth")
    return Verdict("5 honest answers", checked, out)


def budget_kept(record):
    """6: in any window, a root's attempts beyond each part's first stay within the stated budget."""
    if record.rules is None or record.rules.retry_budget_ratio is None:
        return Verdict("6 attempts within the budget", 0, [])
    window, out, checked = record.rules.retry_budget_window_us / 1e6, [], 0
    roots = {ask.id: ask.root for ask in record.queries}
    taken, further, first = defaultdict(list), defaultdict(list), set()
    for ask in record.queries:
        taken[ask.root] += [ask.started_at] * (1 + len(ask.shards))
    for seen in sorted((s for s in record.leaf_events if s.what == "arrived"), key=lambda s: s.at):
        key = query_id_of(seen)
        if key is None or key not in roots:
            continue
        checked += 1
        if (key, seen.shard) in first:
            further[roots[key]].append(seen.at)
        first.add((key, seen.shard))
    for root, times in further.items():
        times.sort()
        taken[root].sort()
        for n, at in enumerate(times):
            begun = at - window
            sent = n + 1 - bisect.bisect_left(times, begun)
            # What was taken a little before the window may have been counted by the root within it.
            took = bisect.bisect_right(taken[root], at) - bisect.bisect_left(
                taken[root], begun - record.slack_s - 0.01
            )
            allowed = record.rules.retries_allowed(took)
            if sent > allowed + 1e-9:
                out.append(
                    f"root {root}: {sent} further attempts in the {window:g} s up to {at:.3f} s, {allowed:.1f} allowed"
                )
    return Verdict("6 attempts within the budget", checked, out)


RULES = (one_answer, no_effect_twice, drains_kept, none_pushed_over, honest, budget_kept)


def evaluate_rules(record):
    """The six verdicts of a day."""
    return [rule(record) for rule in RULES]


def served_worth(record):
    """Worth answered within the aim over worth asked, by class and in all; clients that left are
    not counted.
    """
    asked, got = defaultdict(float), defaultdict(float)
    for ask in record.queries:
        if ask.outcome == "gone":
            continue
        worth = record.priority_weights.get(ask.class_name, 1.0)
        for name in (ask.class_name, "all"):
            asked[name] += worth
            if (
                ask.outcome == "answered"
                and ask.ended_at - ask.started_at
                <= record.latency_objectives_s.get(ask.class_name, ask.timeout_s)
            ):
                got[name] += worth * (1 - len(ask.missing or ()) / max(1, len(ask.shards)))
    return {name: got[name] / asked[name] for name in asked}
