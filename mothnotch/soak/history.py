"""The history of a soak: the recorded events of all processes, indexed for the checks. No I/O.

All times are of one monotonic clock. An event may be recorded after it happened; if the process
states the delay, the history uses the time of the event itself.
"""

import math
from collections import defaultdict

from mothnotch.soak.settings import Deployment

CLOCK_SLACK_S = 0.06  # longest delay from an event to its record on a busy machine
BACKLOG_S = 0.4  # a root accepts new connections for this long after SIGTERM


class History:
    """Indexes of the events of one soak."""

    def __init__(self, events: list[dict], deployment: Deployment):
        """Index the events, given in any order; `deployment` is the one that ran."""
        self.events = sorted(map(_with_event_time, events), key=lambda event: event["t"])
        self.deployment, self.by_kind = deployment, defaultdict(list)
        for event in self.events:
            self.by_kind[event["kind"]].append(event)
        self.requests = {event["rid"]: event for event in self.by_kind["request"]}
        self.outcomes = {event["rid"]: event for event in self.by_kind["outcome"]}
        self.left_at = {event["rid"]: event["t"] for event in self.by_kind["left"]}
        self.rid_by_query = {
            (e["root"], e["life"], e["query"]): e["request"] for e in self.by_kind["root request"]
        }
        self.accepted_rids = set(self.rid_by_query.values())
        self._sends_by_wire_id = defaultdict(list)
        for event in self.by_kind["root sent"]:
            self._sends_by_wire_id[event["wire_id"]].append(event)

    def suspended_s(self, root, begin, end):
        """Return for how many seconds of a span a root was suspended by SIGSTOP."""
        spans = [(e["t"], e["t"] + e["s"]) for e in self.by_kind["held"] if e["root"] == root]
        return sum(max(0.0, min(end, b) - max(begin, a)) for a, b in spans)

    def was_killed(self, root, connected, end):
        """Return whether the root process that a client connected to was killed before `end`.

        That process is the first one of the root to end after the client began to connect.
        """
        for gone in self.by_kind["gone"]:
            if gone["root"] == root and gone["t"] >= connected:
                return gone["killed_at"] is not None and gone["killed_at"] <= end
        return False

    def was_read(self, rid):
        """Return whether a root has read a whole request, even if it did not accept it."""
        if rid in self.accepted_rids:
            return True
        request = self.requests[rid]
        on_connection = [
            other
            for other in self.by_kind["request"]
            if other.get("connection") == request.get("connection") is not None
        ]
        accepted = [other for other in on_connection if other["rid"] in self.accepted_rids]
        if not accepted:
            return False
        following = on_connection[
            on_connection.index(accepted[-1]) + 1 : on_connection.index(request) + 1
        ]
        return self._bytes_read_ahead(accepted[-1]["rid"]) >= sum(
            other["size"] for other in following
        )

    def _bytes_read_ahead(self, rid):
        """Return how many bytes after a request a root had read when it closed the connection."""
        accepted = next(e for e in self.by_kind["root request"] if e["request"] == rid)
        for closed in self.by_kind["root client connection closed"]:
            same_connection = all(
                closed[name] == accepted[name] for name in ("root", "life", "client")
            )
            if same_connection and closed["t"] >= accepted["t"]:
                return closed["ahead_bytes"]
        return 0

    def was_closed_before(self, earlier, later):
        """Return whether the root closed the connection of one attempt before it sent another.

        Both attempts are given as the leaves' records of the part. By the protocol, closing the
        connection cancels the attempt.
        """
        earlier_send, later_send = self._find_send(earlier), self._find_send(later)
        if earlier_send is None or later_send is None:
            return False
        for closed in self.by_kind["root leaf connection closed"]:
            same_connection = all(
                closed[name] == earlier_send[name] for name in ("root", "life", "link")
            )
            if same_connection and closed["t"] >= earlier_send["t"]:
                return closed["t"] <= later_send["t"]
        return False

    def send_time(self, part):
        """Return when the root sent what a leaf recorded as this part."""
        send = self._find_send(part)
        return part["t"] if send is None else send["t"]

    def _find_send(self, part):
        """Return the root's record of the send that a leaf recorded as this part, or None."""
        sends = [
            event
            for event in self._sends_by_wire_id[part["wire_id"]]
            if event["leaf"] == part["who"] and event["t"] <= part["t"]
        ]
        return sends[-1] if sends else None

    def late_because_suspended(self, event):
        """Return whether SIGSTOP explains a late answer that the root itself reports in its log."""
        line = event["line"]
        rid = self.rid_by_query.get((event["root"], event.get("life"), line.get("query")))
        if line.get("rule") != "FINAL_LATE" or rid is None:
            return False
        if rid not in self.requests:
            return False  # a bad client's, of which nothing is recorded
        begin = self.requests[rid]["t"]
        end = self.outcomes[rid]["t"] if rid in self.outcomes else math.inf
        return line["late_s"] <= self.suspended_s(event["root"], begin, end) + CLOCK_SLACK_S

    def is_stopping(self, root, at):
        """Return whether a root is stopping and no longer has to accept new connections, and its
        successor does not serve yet.
        """
        state_events = [
            e
            for e in self.by_kind["stopping"] + self.by_kind["serving"]
            if e["root"] == root and e["t"] <= at
        ]
        last = max(state_events, key=lambda e: e["t"], default=None)
        return last is not None and last["kind"] == "stopping" and at - last["t"] > BACKLOG_S

    def discovery_state(self, leaf, at):
        """Return the state of a leaf in discovery at a time."""
        changes = [e for e in self.by_kind["change"] if e["leaf"] == leaf and e["t"] <= at]
        return changes[-1]["state"] if changes else "Ready"

    def drained_since(self, leaf, at):
        """Return since when discovery has had a leaf as draining or gone; None if it is ready."""
        changes = [e for e in self.by_kind["change"] if e["leaf"] == leaf and e["t"] <= at]
        since = None
        for change in changes:
            if change["state"] == "Ready":
                since = None
            elif since is None:
                since = change["t"]
        return since

    def discovery_outages(self):
        """Return the spans in which discovery told nobody anything, ordered by their begin."""
        return [
            (e["t"], e["t"] + e["s"])
            for e in self.by_kind["told to"]
            if e["who"] == "discovery" and e["do"] == "down"
        ]

    def process_start(self, root, at):
        """Return when the process that a root runs in at a time was started."""
        starts = [e["t"] for e in self.by_kind["root started"] if e["root"] == root]
        return max((t for t in starts if t <= at), default=-math.inf)

    def had_leaf_fault(self, leaf, begin, end):
        """Return whether a fault at a leaf or on its route may delay messages within a span."""
        for event in self.by_kind["leaf trouble"]:
            if event["leaf"] == leaf and event["t"] <= end and event["t"] + event["s"] >= begin:
                return True
        return False


def _with_event_time(event):
    """Return the event with the time at which it happened, if it was recorded later."""
    if "noted_after_s" not in event:
        return event
    return {**event, "t": event["t"] - event["noted_after_s"]}
