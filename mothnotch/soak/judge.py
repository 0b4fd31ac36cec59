"""The checks of a soak: they find the violated rules in the history that clients, leaves, discovery
and roots recorded. No I/O.

The records are trusted. A span in which a proxy or a leaf delays something excuses only the rules
whose times it would distort; `excused` counts each excuse.
"""

import math
from collections import defaultdict
from dataclasses import dataclass, field

from mothnotch.soak.drain_checks import check_drains, check_overdue_drains
from mothnotch.soak.history import CLOCK_SLACK_S, History

ANSWER_SLACK_S = 0.5  # an answer counts as late this long after the client's timeout
DISCONNECT_SLACK_S = 0.1  # an attempt may still begin for this long after its client left
TIME_BUDGET_SLACK_MS = 150
INCOMPLETE_REQUEST_TIMEOUT_S = 3.0  # an incomplete request gets an error or a close by then
RESULTS_WITHOUT_EXECUTION = ("rejected", "unreachable", "unsent")
DEFECT_LOG_EVENTS = (
    "invariant violated",
    "unexpected error",
    "unexpected error in a turn",
    "unexpected error in the balancer",
    "accepted queries not answered",
)


@dataclass
class Verdict:
    """The result of the checks."""

    violations: list = field(default_factory=list)  # (rule, details)
    # reason -> number of excuses; the reasons are keys of the JSON output
    excused: dict = field(default_factory=lambda: defaultdict(int))
    counts: dict = field(default_factory=lambda: defaultdict(int))

    def add_violation(self, rule, **details):
        self.violations.append((rule, details))


def check_history(events, deployment):
    """Return the Verdict on the events of one soak."""
    history, verdict = History(events, deployment), Verdict()
    for check in (
        check_answers,
        check_answer_values,
        check_sends_after_disconnect,
        check_time_budgets,
        check_drains,
        check_overdue_drains,
        check_repeats,
        check_second_copies,
        check_attempt_limit,
        check_slow_starts,
        check_incomplete_requests,
        check_process_ends,
    ):
        check(history, verdict)
    return verdict


def check_answers(history, verdict):
    """Each request gets one final answer before its timeout."""
    deployment = history.deployment
    for rid, request in history.requests.items():
        outcome, root, sent_at = history.outcomes.get(rid), request["root"], request["t"]
        if rid in history.left_at:
            continue
        if outcome is None:
            verdict.counts["no outcome recorded"] += 1  # the soak ended before the outcome
            continue
        how, took_s = outcome["how"], outcome["t"] - sent_at
        verdict.counts[how if isinstance(how, int) else f"client saw: {how}"] += 1
        if how == "not reached":
            continue
        connected = request.get("connected", sent_at)
        if history.was_killed(root, connected, outcome["t"]):
            verdict.excused["the root was killed"] += 1
        elif not isinstance(how, int):
            if how in ("closed", "reset") and not request["first"] and not history.was_read(rid):
                verdict.excused["a close crossed a request on a kept connection"] += 1
            # A crowd of idle clients uses up the descriptors, so a root closes connections.
            elif how in ("closed", "reset") and deployment.crowd and not history.was_read(rid):
                verdict.excused["a new connection shut unread in a crowd"] += 1
            elif request["first"] and history.is_stopping(root, connected):
                verdict.excused["a new connection after the stop"] += 1
            else:
                verdict.add_violation("lost", rid=rid, how=how, request=request, took_s=took_s)
        elif took_s > request["timeout_s"] + ANSWER_SLACK_S + history.suspended_s(
            root, sent_at, outcome["t"]
        ):
            verdict.add_violation("late", rid=rid, how=how, took_s=took_s, request=request)


def check_answer_values(history, verdict):
    """An answer has only values that leaves computed: of all shards if "total", else of half."""
    for rid, outcome in history.outcomes.items():
        if outcome["how"] != 200:
            continue
        requested = history.requests[rid]["shards"]
        if (
            not outcome["right"]
            or len(set(outcome["in"])) != len(outcome["in"])
            or not set(outcome["in"]) <= set(requested)
        ):
            verdict.add_violation("wrong value", rid=rid, outcome=outcome)
        elif (
            outcome["total"]
            and len(outcome["in"]) < len(requested)
            or len(outcome["in"]) < len(requested) * 0.5
        ):
            verdict.add_violation("dishonest", rid=rid, outcome=outcome)


def iter_sends(history):
    """Yield (event, request id) for each part that a root sent."""
    for event in history.by_kind["root sent"]:
        yield event, event["wire_id"].rpartition(".")[0]


def check_sends_after_disconnect(history, verdict):
    """No attempt begins for a client that has disconnected."""
    for event, rid in iter_sends(history):
        left_at = history.left_at.get(rid)
        if left_at is not None and event["t"] > left_at + DISCONNECT_SLACK_S + CLOCK_SLACK_S:
            verdict.add_violation(
                "sent for who had left", wire_id=event["wire_id"], after_s=event["t"] - left_at
            )


def check_time_budgets(history, verdict):
    """No leaf is given more time than the client has left."""
    for event, rid in iter_sends(history):
        request = history.requests.get(rid)
        if request is None:
            continue
        left_ms = (request["t"] + request["timeout_s"] - event["t"]) * 1000
        if event["told_ms"] > max(0, left_ms) + TIME_BUDGET_SLACK_MS + CLOCK_SLACK_S * 1000:
            verdict.add_violation(
                "told too long", wire_id=event["wire_id"], told_ms=event["told_ms"], left_ms=left_ms
            )


def sends_by_wire_id(history):
    """Return wire id -> [(send, end of the attempt or None)], in the order of the sends."""
    end_by_attempt = {
        (e["root"], e["life"], e["part"], e["attempt"]): e
        for e in history.by_kind["root attempt ended"]
    }
    sends = defaultdict(list)
    for event, _ in iter_sends(history):
        end = end_by_attempt.get((event["root"], event["life"], event["part"], event["attempt"]))
        sends[event["wire_id"]].append((event, end))
    return sends


def check_repeats(history, verdict):
    """A part that may have run is repeated within its window if it has a key, else never."""
    for wire_id, sends in sends_by_wire_id(history).items():
        request = history.requests.get(wire_id.rpartition(".")[0])
        if request is None or request["cls"] == "read":
            continue
        for n, (event, _) in enumerate(sends):
            for earlier, end in sends[:n]:
                if (
                    end is not None
                    and end["result"] in RESULTS_WITHOUT_EXECUTION
                    and end["t"] <= event["t"] + CLOCK_SLACK_S
                ):
                    continue
                after_s = event["t"] - earlier["t"]
                if request["cls"] == "book":
                    verdict.add_violation(
                        "an unsafe part again", wire_id=wire_id, after_s=after_s, ended=end
                    )
                elif after_s > history.deployment.window_s + CLOCK_SLACK_S:
                    verdict.add_violation(
                        "a keyed part past its window", wire_id=wire_id, after_s=after_s
                    )


def check_second_copies(history, verdict):
    """Unless second copies are allowed, no part begins at a leaf while an earlier attempt is still
    outstanding at another.
    """
    if history.deployment.copies:
        return
    end_times = defaultdict(list)  # (leaf, link, wire id) -> times at which it ended there
    close_times = defaultdict(lambda: math.inf)
    for event in history.events:
        if event["kind"] in ("done", "given up", "stopped") and "link" in event:
            end_times[event["who"], event["link"], event["wire_id"]].append(event["t"])
        elif event["kind"] == "link closed":
            close_times[event["who"], event["link"]] = event["t"]
    leaf_kills = [(e["leaf"], e["t"]) for e in history.by_kind["leaf killed"]]
    # (leaf, wire id) -> times of cancellations to leaves with a free slot to read them
    cancel_times = defaultdict(list)
    for event in history.by_kind["root given up"]:
        if not event["waits"] and event["out"] + event["given_up"] < history.deployment.streams:
            cancel_times[event["leaf"], event["wire_id"]].append(event["t"])
    parts_by_wire_id = defaultdict(list)
    for event in history.by_kind["part"]:
        parts_by_wire_id[event["wire_id"]].append(event)
    for wire_id, parts in parts_by_wire_id.items():
        # A leaf may record an attempt that was held up on its way after the next one.
        parts.sort(key=history.send_time)
        for n, event in enumerate(parts):
            for earlier in parts[:n]:
                key = earlier["who"], earlier["link"]
                end = min(
                    [
                        *end_times[(*key, wire_id)],
                        close_times[key],
                        *(
                            t
                            for leaf, t in leaf_kills
                            if leaf == earlier["who"] and t >= earlier["t"]
                        ),
                    ]
                )
                if end <= event["t"] + CLOCK_SLACK_S:
                    continue
                # The "word" in the reasons below is the cancellation of the earlier attempt.
                if history.was_closed_before(earlier, event):
                    verdict.excused["a close that had left, seen late by its leaf"] += 1
                elif any(t <= event["t"] for t in cancel_times[earlier["who"], wire_id]):
                    verdict.excused["a word that had left, read late by its leaf"] += 1
                elif history.had_leaf_fault(earlier["who"], earlier["t"], event["t"] + 0.3):
                    verdict.excused["a word was held up on its way"] += 1
                else:
                    verdict.add_violation(
                        "second copy",
                        wire_id=wire_id,
                        first=earlier["who"],
                        second=event["who"],
                        after_s=event["t"] - earlier["t"],
                        still_s=end - event["t"],
                    )


def check_attempt_limit(history, verdict):
    """No part is sent more often than the limit of attempts."""
    for wire_id, sends in sends_by_wire_id(history).items():
        if len(sends) > history.deployment.attempts:
            verdict.add_violation("too many attempts", wire_id=wire_id, sends=len(sends))


def check_slow_starts(history, verdict):
    """All roots together stay within the slow-start budget of a leaf that has just started."""
    rules = history.deployment.settings(0)["rules"]
    window_s, ramp_s = rules["fallUs"] / 1e6, rules["rampTimeUs"] / 1e6
    for start in history.by_kind["leaf started"]:
        begin_at, ramp_end = start["t"], start["t"] + ramp_s
        times = [
            e["t"]
            for e in history.by_kind["part"]
            if e["who"] == start["leaf"] and begin_at <= e["t"] <= ramp_end
        ]
        window_start = 0
        for n, sent_at in enumerate(times):
            while times[window_start] <= sent_at - window_s:
                window_start += 1
            age = sent_at - start["t"]
            capacity = rules["coldFrom"] + (1 - rules["coldFrom"]) * min(1, age / ramp_s)
            allowed = rules["fallMultiple"] * capacity * window_s / 0.021
            slack = 3 * math.sqrt(allowed) + 3 if allowed < 30 else 2 * math.sqrt(allowed) + 2
            if n - window_start + 1 > allowed + slack:
                verdict.add_violation(
                    "slow start",
                    leaf=start["leaf"],
                    sent=n - window_start + 1,
                    allowed=allowed + slack,
                    age_s=age,
                )
                break


def check_incomplete_requests(history, verdict):
    """A client whose request is malformed or incomplete gets an error or a close in time."""
    for event in history.by_kind["halted"]:
        begin = event["t"] - event["after_s"]
        too_late = event[
            "after_s"
        ] > INCOMPLETE_REQUEST_TIMEOUT_S + CLOCK_SLACK_S + history.suspended_s(
            event["root"], begin, event["t"]
        )
        if (
            too_late
            and not history.was_killed(event["root"], event.get("connected", begin), event["t"])
            and not history.is_stopping(event["root"], event["t"])
        ):
            verdict.add_violation(
                "halted client", root=event["root"], after_s=event["after_s"], how=event["how"]
            )


def check_process_ends(history, verdict):
    """No root crashes or logs an event that shows a defect."""
    for event in history.by_kind["root ended"]:
        if event["status"] != 0 and not event["killed"]:
            verdict.add_violation("crash", root=event["root"], status=event["status"])
    for event in history.by_kind["root log"]:
        line = event["line"]
        if line.get("event") not in DEFECT_LOG_EVENTS:
            continue
        if history.late_because_suspended(event):
            verdict.excused["an answer late by a hold-up"] += 1
        else:
            verdict.add_violation("log", root=event["root"], line=line)
