"""The oracle of a soak: from what clients, leaves, discovery and the roots' records say, the rules
that were broken. Pure.

What each process saw is taken at its word; a span in which a proxy or a leaf held something up
excuses only the rules whose times that span would falsify, and each such use is counted in
`excused`.
"""

import math
from collections import defaultdict
from dataclasses import dataclass, field

from mothnotch.soak.history import CLOCK_SLACK_S, History

LATE_S = 0.5  # an answer later than that after its client's time is lost
LEFT_S = 0.1  # an attempt that begins later than that after its client left is a break
TOLD_SLACK_MS = 150
TOLD_AT_LATEST_S = 6.0  # what discovery had and could tell counts as told by then
HALTED_S = 3.0  # bad clients are owed an error or a close by then
NEVER_RAN = ("rejected", "unreachable", "unsent")
LOG_DEFECTS = (
    "invariant violated",
    "unexpected error",
    "unexpected error in a turn",
    "unexpected error in the balancer",
    "accepted queries not answered",
)


@dataclass
class Verdict:
    """What a soak showed."""

    broken: list = field(default_factory=list)  # (rule, what is known of it)
    excused: dict = field(default_factory=lambda: defaultdict(int))
    counts: dict = field(default_factory=lambda: defaultdict(int))

    def note(self, rule, **what):
        self.broken.append((rule, what))


def judge(events, deployment):
    """The Verdict on the events of one soak."""
    history, verdict = History(events, deployment), Verdict()
    for rule in (
        answers,
        honesty,
        leavings,
        spans_told,
        drains,
        repeats,
        copies,
        attempts,
        slow_starts,
        halted,
        ends,
    ):
        rule(history, verdict)
    return verdict


def answers(history, verdict):
    """Each request gets one final answer in its time."""
    deployment = history.deployment
    for rid, request in history.requests.items():
        outcome, root, sent = history.outcomes.get(rid), request["root"], request["t"]
        if rid in history.left:
            continue
        if outcome is None:
            verdict.counts["no outcome recorded"] += 1  # the soak ended first
            continue
        how, took = outcome["how"], outcome["t"] - sent
        verdict.counts[how if isinstance(how, int) else f"client saw: {how}"] += 1
        if how == "not reached":
            continue
        connected = request.get("connected", sent)
        if history.was_killed(root, connected, outcome["t"]):
            verdict.excused["the root was killed"] += 1
        elif not isinstance(how, int):
            if how in ("closed", "reset") and not request["first"] and not history.was_read(rid):
                verdict.excused["a close crossed a request on a kept connection"] += 1
            elif how in ("closed", "reset") and deployment.crowd and not history.was_read(rid):
                verdict.excused["a new connection shut unread in a crowd"] += 1
            elif request["first"] and history.stopping(root, connected):
                verdict.excused["a new connection after the stop"] += 1
            else:
                verdict.note("lost", rid=rid, how=how, request=request, took_s=took)
        elif took > request["timeout_s"] + LATE_S + history.held(root, sent, outcome["t"]):
            verdict.note("late", rid=rid, how=how, took_s=took, request=request)


def honesty(history, verdict):
    """No value that no leaf made; none marked whole that is not."""
    for rid, outcome in history.outcomes.items():
        if outcome["how"] != 200:
            continue
        asked = history.requests[rid]["shards"]
        if (
            not outcome["right"]
            or len(set(outcome["in"])) != len(outcome["in"])
            or not set(outcome["in"]) <= set(asked)
        ):
            verdict.note("wrong value", rid=rid, outcome=outcome)
        elif (
            outcome["total"]
            and len(outcome["in"]) < len(asked)
            or len(outcome["in"]) < len(asked) * 0.5
        ):
            verdict.note("dishonest", rid=rid, outcome=outcome)


def sent(history):
    """(event, request id) of each part that a root sent."""
    for event in history.by_kind["root sent"]:
        yield event, event["wire_id"].rpartition(".")[0]


def leavings(history, verdict):
    """Nothing begins for a client that has left."""
    for event, rid in sent(history):
        left = history.left.get(rid)
        if left is not None and event["t"] > left + LEFT_S + CLOCK_SLACK_S:
            verdict.note(
                "sent for who had left", wire_id=event["wire_id"], after_s=event["t"] - left
            )


def spans_told(history, verdict):
    """No leaf is told more time than the client has left."""
    for event, rid in sent(history):
        request = history.requests.get(rid)
        if request is None:
            continue
        left_ms = (request["t"] + request["timeout_s"] - event["t"]) * 1000
        if event["told_ms"] > max(0, left_ms) + TOLD_SLACK_MS + CLOCK_SLACK_S * 1000:
            verdict.note(
                "told too long", wire_id=event["wire_id"], told_ms=event["told_ms"], left_ms=left_ms
            )


def drains(history, verdict):
    """Nothing new to a leaf that drains or is gone, after the grace."""
    closed = defaultdict(list)  # (root, leaf) -> [(from when, until when)]
    since = {}
    for event in history.by_kind["told"]:
        for leaf in range(history.deployment.leaves):
            name = f"s{leaf}"
            state = event["states"].get(name, "Gone" if event["whole"] else None)
            if state == "Ready" and (event["root"], name) in since:
                closed[event["root"], name].append((since.pop((event["root"], name)), event["t"]))
            elif state in ("Terminating", "Gone"):
                since.setdefault((event["root"], name), event["t"])
    for key, begin in since.items():
        closed[key].append((begin, math.inf))
    grace = history.deployment.drain_grace_s + CLOCK_SLACK_S
    for event, _ in sent(history):
        for begin, end in closed[event["root"], event["leaf"]]:
            if not begin + grace < event["t"] < end or history.held(
                event["root"], begin, event["t"]
            ):
                continue
            if history.starting(event["root"], event["t"]):
                verdict.excused["a root that is not ready yet"] += 1
            elif history.state(event["leaf"], event["t"]) == "Ready":
                verdict.excused["a leaf that is ready again, not told yet"] += 1
            else:
                verdict.note(
                    "drain",
                    wire_id=event["wire_id"],
                    leaf=event["leaf"],
                    after_s=event["t"] - begin,
                )
    silent_drains(history, verdict, grace)


def silent_drains(history, verdict, grace):
    """What discovery had and could tell counts as told, whether or not a watch told it."""
    state_since = defaultdict(list)
    for event in history.by_kind["change"]:
        state_since[event["leaf"]].append((event["t"], event["state"]))
    down = [
        (e["t"], e["t"] + e["s"])
        for e in history.by_kind["told to"]
        if e["who"] == "discovery" and e["do"] == "down"
    ]
    for event, _ in sent(history):
        changes = [change for change in state_since[event["leaf"]] if change[0] <= event["t"]]
        if not changes or changes[-1][1] == "Ready" or history.starting(event["root"], event["t"]):
            continue
        since = changes[-1][0]
        reachable_since = max(
            [since] + [end for begin, end in down if begin < event["t"] and end > since]
        )
        if event["t"] > reachable_since + TOLD_AT_LATEST_S + grace and not history.held(
            event["root"], since, event["t"]
        ):
            verdict.note(
                "drain, told at the latest",
                wire_id=event["wire_id"],
                leaf=event["leaf"],
                after_s=event["t"] - reachable_since,
            )


def by_part(history):
    """wire id -> its sends, in order, each with how it ended."""
    ended = {
        (e["root"], e["life"], e["part"], e["attempt"]): e
        for e in history.by_kind["root attempt ended"]
    }
    found = defaultdict(list)
    for event, _ in sent(history):
        end = ended.get((event["root"], event["life"], event["part"], event["attempt"]))
        found[event["wire_id"]].append((event, end))
    return found


def repeats(history, verdict):
    """A keyed part that may have run goes again within its window only, an unsafe one never."""
    for wire_id, sends in by_part(history).items():
        request = history.requests.get(wire_id.rpartition(".")[0])
        if request is None or request["cls"] == "read":
            continue
        for n, (event, _) in enumerate(sends):
            for earlier, end in sends[:n]:
                if (
                    end is not None
                    and end["result"] in NEVER_RAN
                    and end["t"] <= event["t"] + CLOCK_SLACK_S
                ):
                    continue
                after_s = event["t"] - earlier["t"]
                if request["cls"] == "book":
                    verdict.note(
                        "an unsafe part again", wire_id=wire_id, after_s=after_s, ended=end
                    )
                elif after_s > history.deployment.window_s + CLOCK_SLACK_S:
                    verdict.note("a keyed part past its window", wire_id=wire_id, after_s=after_s)


def copies(history, verdict):
    """Where copies are not allowed, no part is begun at a leaf while an earlier attempt of it is
    out at another.
    """
    if history.deployment.copies:
        return
    ends = defaultdict(list)  # (leaf, link, wire id) -> when it ended there
    closed = defaultdict(lambda: math.inf)
    for event in history.events:
        if event["kind"] in ("done", "given up", "stopped") and "link" in event:
            ends[event["who"], event["link"], event["wire_id"]].append(event["t"])
        elif event["kind"] == "link closed":
            closed[event["who"], event["link"]] = event["t"]
    killed = [(e["leaf"], e["t"]) for e in history.by_kind["leaf killed"]]
    words = defaultdict(
        list
    )  # (leaf, wire id) -> when the root's word left, to a leaf with a place left to read it
    for event in history.by_kind["root given up"]:
        if not event["waits"] and event["out"] + event["given_up"] < history.deployment.streams:
            words[event["leaf"], event["wire_id"]].append(event["t"])
    begun = defaultdict(list)
    for event in history.by_kind["part"]:
        begun[event["wire_id"]].append(event)
    for wire_id, parts in begun.items():
        for n, event in enumerate(parts):
            for earlier in parts[:n]:
                key = earlier["who"], earlier["link"]
                end = min(
                    [
                        *ends[(*key, wire_id)],
                        closed[key],
                        *(t for leaf, t in killed if leaf == earlier["who"] and t >= earlier["t"]),
                    ]
                )
                if end <= event["t"] + CLOCK_SLACK_S:
                    continue
                if history.was_closed_before(earlier, event):
                    verdict.excused["a close that had left, seen late by its leaf"] += 1
                elif any(t <= event["t"] for t in words[earlier["who"], wire_id]):
                    verdict.excused["a word that had left, read late by its leaf"] += 1
                elif history.troubled(earlier["who"], earlier["t"], event["t"] + 0.3):
                    verdict.excused["a word was held up on its way"] += 1
                else:
                    verdict.note(
                        "second copy",
                        wire_id=wire_id,
                        first=earlier["who"],
                        second=event["who"],
                        after_s=event["t"] - earlier["t"],
                        still_s=end - event["t"],
                    )


def attempts(history, verdict):
    """No more attempts of a part than are allowed."""
    for wire_id, sends in by_part(history).items():
        if len(sends) > history.deployment.attempts:
            verdict.note("too many attempts", wire_id=wire_id, sends=len(sends))


def slow_starts(history, verdict):
    """What all roots together send to a leaf that has just started is within its budget."""
    rules = history.deployment.settings(0)["rules"]
    span, ramp = rules["fallUs"] / 1e6, rules["rampTimeUs"] / 1e6
    for start in history.by_kind["leaf started"]:
        begun, warm = start["t"], start["t"] + ramp
        times = [
            e["t"]
            for e in history.by_kind["part"]
            if e["who"] == start["leaf"] and begun <= e["t"] <= warm
        ]
        begin = 0
        for n, at in enumerate(times):
            while times[begin] <= at - span:
                begin += 1
            age = at - start["t"]
            capacity = rules["coldFrom"] + (1 - rules["coldFrom"]) * min(1, age / ramp)
            allowed = rules["fallMultiple"] * capacity * span / 0.021
            slack = 3 * math.sqrt(allowed) + 3 if allowed < 30 else 2 * math.sqrt(allowed) + 2
            if n - begin + 1 > allowed + slack:
                verdict.note(
                    "slow start",
                    leaf=start["leaf"],
                    sent=n - begin + 1,
                    allowed=allowed + slack,
                    age_s=age,
                )
                break


def halted(history, verdict):
    """Who sends no whole request, or none at all, gets an error or a close in time."""
    for event in history.by_kind["halted"]:
        begin = event["t"] - event["after_s"]
        over = event["after_s"] > HALTED_S + CLOCK_SLACK_S + history.held(
            event["root"], begin, event["t"]
        )
        if (
            over
            and not history.was_killed(event["root"], event.get("connected", begin), event["t"])
            and not history.stopping(event["root"], event["t"])
        ):
            verdict.note(
                "halted client", root=event["root"], after_s=event["after_s"], how=event["how"]
            )


def ends(history, verdict):
    """No root crashes, and none says of itself that something is wrong."""
    for event in history.by_kind["root ended"]:
        if event["status"] != 0 and not event["killed"]:
            verdict.note("crash", root=event["root"], status=event["status"])
    for event in history.by_kind["root log"]:
        line = event["line"]
        if line.get("event") not in LOG_DEFECTS:
            continue
        if history.late_for_a_hold(event):
            verdict.excused["an answer late by a hold-up"] += 1
        else:
            verdict.note("log", root=event["root"], line=line)
