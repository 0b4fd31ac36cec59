"""The checks that a leaf which drains or is removed gets no new parts. No I/O.

A root counts as notified of a change as soon as its agent has it, whether or not a watch is open;
a process that starts later, from its start. A change counts as known later only where a record
shows that the root could not learn it: its watch was silent, it had just been told to use another
agent, or its own calls were made to fail.
"""

import math
from collections import defaultdict

from mothnotch.soak.history import CLOCK_SLACK_S

DISCOVERY_DELAY_MAX_S = 6.0  # longest time until a root knows a change while discovery works
RELOAD_DELAY_MAX_S = 4.0  # longest time until a root follows the agent of a new configuration
CALLS_TO_AGENT = ("socket", "connect", "setsockopt", "send", "recv")


def check_drains(history, verdict):
    """After the grace period, a leaf that drains or is removed gets no new parts."""
    notifications = AgentNotifications(history)
    watched = _drain_spans_by_watch(history)
    grace_s = history.deployment.drain_grace_s + CLOCK_SLACK_S
    for event in history.by_kind["root sent"]:
        known = notifications.drain_known_since(event["root"], event["leaf"], event["t"])
        told = _drain_told_since(history, watched, event)
        since = min(known, told)
        if event["t"] <= since + grace_s + history.suspended_s(event["root"], since, event["t"]):
            continue
        if history.discovery_state(event["leaf"], event["t"]) == "Ready":
            verdict.excused["a leaf that is ready again, not told yet"] += 1
            continue
        verdict.add_violation(
            "drain", wire_id=event["wire_id"], leaf=event["leaf"], after_s=event["t"] - since
        )


def check_overdue_drains(history, verdict):
    """As check_drains, from the latest time by which discovery has to tell the root."""
    grace_s = history.deployment.drain_grace_s + CLOCK_SLACK_S
    for event in history.by_kind["root sent"]:
        drained_since = history.drained_since(event["leaf"], event["t"])
        if drained_since is None:
            continue
        started_at = history.process_start(event["root"], event["t"])
        reachable_since = max(
            [drained_since]
            + [
                end
                for begin, end in history.discovery_outages()
                if begin < event["t"] and end > drained_since
            ]
        )
        if (
            event["t"] > reachable_since + DISCOVERY_DELAY_MAX_S + grace_s
            and event["t"] > started_at + grace_s
            and not history.suspended_s(event["root"], drained_since, event["t"])
        ):
            verdict.add_violation(
                "drain, told at the latest",
                wire_id=event["wire_id"],
                leaf=event["leaf"],
                after_s=event["t"] - reachable_since,
            )


class AgentNotifications:
    """When a root counts as notified of a change, from what its agent has."""

    def __init__(self, history):
        """Collect the spans in which a root cannot learn of changes."""
        self._history = history
        # root -> [(begin, end, whether it lasts beyond the process)], ordered
        self._blind_spans = defaultdict(list)
        self._add_silences()
        for event in history.by_kind["reloaded"]:
            self._add_span(event["root"], event["t"], RELOAD_DELAY_MAX_S)
        for event in history.by_kind["fault"]:
            if event["what"] == "fail calls" and event["call"] in CALLS_TO_AGENT:
                self._add_span(event["whom"], event["t"], event["s"], outlives_process=True)
        for spans in self._blind_spans.values():
            spans.sort()

    def drain_known_since(self, root, leaf, at):
        """Return since when the process that runs at a time counts as notified that a leaf drains.

        Infinite if the leaf does not drain, or the root could not learn it yet.
        """
        changed_at = self._history.drained_since(leaf, at)
        if changed_at is None:
            return math.inf
        known_at = changed_at
        for begin, end in self._history.discovery_outages():
            if begin <= known_at < end:
                known_at = end
        started_at = self._history.process_start(root, at)
        known_at = max(known_at, started_at)
        for begin, end, outlives_process in self._blind_spans[root]:
            if begin <= known_at < end and (outlives_process or begin >= started_at):
                known_at = end
        return known_at

    def _add_silences(self):
        """Add the spans from the silence of a watch to the next watch that is served."""
        for event in self._history.by_kind["silent"]:
            served = [
                other["t"]
                for other in self._history.by_kind["watch served"]
                if other["root"] == event["root"] and other["t"] > event["t"]
            ]
            silent_s = min([DISCOVERY_DELAY_MAX_S, *(t - event["t"] for t in served)])
            self._add_span(event["root"], event["t"], silent_s)

    def _add_span(self, root, begin, length_s, outlives_process=False):
        self._blind_spans[root].append((begin, begin + length_s, outlives_process))


def _drain_spans_by_watch(history):
    """Return (root, leaf) -> [(begin, end)]: when watches had last told the root of a drain."""
    spans = defaultdict(list)
    drained_since = {}
    for event in history.by_kind["told"]:
        for leaf in range(history.deployment.leaves):
            name = f"s{leaf}"
            key = event["root"], name
            state = event["states"].get(name, "Gone" if event["whole"] else None)
            if state == "Ready" and key in drained_since:
                spans[key].append((drained_since.pop(key), event["t"]))
            elif state in ("Terminating", "Gone"):
                drained_since.setdefault(key, event["t"])
    for key, begin in drained_since.items():
        spans[key].append((begin, math.inf))
    return spans


def _drain_told_since(history, spans, event):
    """Return since when a watch had told the sending process of a drain; infinite if none had."""
    for begin, end in spans[event["root"], event["leaf"]]:
        if begin <= event["t"] < end:
            return max(begin, history.process_start(event["root"], event["t"]))
    return math.inf
