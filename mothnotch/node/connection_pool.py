"""The connections to all leaves: made for what is sent, shared by many parts, retired, closed idle.

What an attempt ends with follows the platform's table; it turns on whether the last byte of its
frame was taken by the socket: before that it never ran (UNREACHABLE), from then on it may have
(BROKEN, TIMEOUT). Bounds: `max_in_flight` parts on a connection, queued, in flight or abandoned;
`max_connections` in all, past which an attempt ends UNSENT and the module is asked again.
"""

import trio

from mothnotch.decisions import connection_policy
from mothnotch.decisions.interface import HealthCheckEnded, Result
from mothnotch.decisions.invariants import Violations
from mothnotch.leaves.timeouts import Timeouts
from mothnotch.net import shut
from mothnotch.node import frames
from mothnotch.node.answer_reader import AnswerReader
from mothnotch.node.call_context import CallContext
from mothnotch.node.call_writer import CallWriter
from mothnotch.node.cancellation import Cancellation
from mothnotch.node.closing import LeafCloseReason
from mothnotch.node.connector import Connector
from mothnotch.node.leaf_connection import CallHandle, Leaf, LeafConnection
from mothnotch.root.trace import Trace


class ConnectionPool:
    """All leaves and the connections to them. `send`, `disconnect` and `probe` are what the core
    uses.
    """

    def __init__(
        self,
        network,
        log,
        max_streams: int,
        max_parts_per_call: int,
        max_connections: int,
        idle_timeout_s: float,
        connect_timeout_s: float,
        hedging_allowed: bool = False,
    ):
        """Create a pool without leaves.

        `max_streams`: how many parts of one connection a leaf processes concurrently.
        `max_parts_per_call`: the maximum number of parts in one call frame. `max_connections`: the
        maximum number of connections to all leaves. `idle_timeout_s`: after which an idle
        connection is closed. `hedging_allowed`: whether two attempts of one part may be at leaves
        at the same time.
        """
        self.max_in_flight = connection_policy.max_in_flight(max_streams)
        self.context = CallContext(
            network,
            log,
            max_streams,
            max(1, min(max_parts_per_call, self.max_in_flight)),
            hedging_allowed,
            Violations(log.error),
            Trace(),
        )
        self.counts = self.context.counts
        self.max_connections = max_connections
        self.idle_timeout_s = idle_timeout_s
        self.leaves = {}
        self.connections = {}  # as keys: those not closed, in the order they were begun
        self.writer = CallWriter(self.context)
        self.cancellation = Cancellation(self.context)
        self.answer_reader = AnswerReader(self.context, self.cancellation)
        self.connector = Connector(self.context, self.answer_reader, connect_timeout_s)
        self.timeouts = Timeouts(self.cancellation.on_timeout)
        self.close_counts = dict.fromkeys(LeafCloseReason, 0)

    def report_to(self, violations: Violations, trace: Trace):
        """Have broken invariants and the record of events go to the core's, once there is one."""
        self.context.violations = violations
        self.context.trace = trace

    @property
    def open_count(self) -> int:
        """Return how many connections are made or being made."""
        return len(self.connections)

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        """Run until cancelled; every connection's task lives in its nursery."""
        async with trio.open_nursery() as self.nursery:
            self.nursery.start_soon(self.timeouts.run)
            self.nursery.start_soon(self._close_idle_connections)
            task_status.started()
            await trio.sleep_forever()

    # ---- the list of leaves ----

    def update_leaves(self, leaves: list, complete: bool):
        """Take the list's leaves; with `complete` not set, only those of it that changed."""
        removed = set(self.leaves) - {leaf.name for leaf in leaves} if complete else set()
        for leaf in leaves:
            if leaf.state == "removed":
                removed.add(leaf.name)
                continue
            known = self.leaves.get(leaf.name)
            if known is None:
                known = self.leaves[leaf.name] = Leaf(leaf.name, leaf.address)
            elif known.address != leaf.address:
                known.address = leaf.address
                self._retire_connections(known)
            known.takes_new = leaf.state == "up"
            if not known.takes_new:
                self._withdraw_unsent(known)
        for name in removed:
            leaf = self.leaves.pop(name, None)
            if leaf is not None:
                leaf.takes_new = False
                self._retire_connections(leaf)

    def _withdraw_unsent(self, leaf):
        """Have decided anew what was decided before the watch event and isn't sent."""
        for connection in list(leaf.connections):
            connection.requeue_unsent()
            connection.complete_queued(Result.UNSENT)

    def _retire_connections(self, leaf):
        """Send nothing more on a leaf's connections, nor what is queued for them; they are closed
        once nothing is in flight on them.
        """
        self._withdraw_unsent(leaf)
        for connection in list(leaf.connections):
            connection.retired = True
            connection.close_if_idle(LeafCloseReason.RETIRED)

    # ---- sending ----

    def send(self, name: str, attempts: list):
        """Send what one turn has for a leaf. Each attempt ends exactly once, whatever comes."""
        leaf = self.leaves.get(name)
        if leaf is None:
            for attempt in attempts:
                attempt.complete(Result.UNREACHABLE)
            return
        for attempt in attempts:
            self.timeouts.put(attempt)
        max_parts_per_call = self.context.max_parts_per_call
        for first in range(0, len(attempts), max_parts_per_call):
            self.enqueue(leaf, attempts[first : first + max_parts_per_call])

    def enqueue(self, leaf: Leaf, attempts: list):
        """Queue one call's attempts on a connection, a new one if need be; without a place for a
        new one they end UNSENT.
        """
        wire_ids = [attempt.payload.wire_id for attempt in attempts]
        connection = self._usable_connection(leaf, wire_ids)
        if connection is None:
            if self.open_count >= self.max_connections:
                self._close_longest_idle()
            if self.open_count >= self.max_connections:
                self.counts["over_most"] += 1
                for attempt in attempts:
                    attempt.complete(Result.UNSENT)
                return
            connection = self._start_connection(leaf)
        for attempt, wire_id in zip(attempts, wire_ids, strict=True):
            attempt.call = CallHandle(connection, wire_id)
        connection.queued += attempts
        connection.flush_queued()

    def _usable_connection(self, leaf, wire_ids):
        """A connection with room for such attempts, none of them of an id that an earlier answer
        may still come for; None if there is none.
        """
        for connection in list(leaf.connections):
            taken = connection.attempt_count + len(connection.abandoned)
            if connection.retired or taken + len(wire_ids) > self.max_in_flight:
                # What was abandoned keeps its place until its leaf is done with it. With nothing
                # else on it, the connection is closed for the new one.
                if not connection.attempt_count and connection.abandoned:
                    connection.close(LeafCloseReason.PLACES_TAKEN)
                continue
            if not connection.attempt_count and connection_policy.idle_expired(
                trio.current_time() - connection.idle_since_s, self.idle_timeout_s
            ):
                connection.close(LeafCloseReason.IDLE)
            elif not any(
                wire_id in connection.abandoned or wire_id in connection.in_flight
                for wire_id in wire_ids
            ):
                return connection
        return None

    def _start_connection(self, leaf):
        connection = LeafConnection(self, leaf)
        leaf.connections.append(connection)
        self.connections[connection] = None
        self.nursery.start_soon(self.connector.run, connection)
        return connection

    # ---- connections closed ----

    def close_connection(self, connection: LeafConnection, reason: LeafCloseReason):
        """Close a connection: what was sent on it is reset, the rest never ran."""
        if connection.dead:
            return
        connection.dead = True
        self.close_counts[reason] += 1
        self._trace_closed(connection, reason)
        self.cancellation.on_closed(connection)
        del self.connections[connection]
        connection.leaf.connections.remove(connection)
        if connection.stream is not None:
            shut(connection.stream)
        attempts = connection.in_flight
        connection.in_flight = {}
        for attempt in attempts.values():
            attempt.complete(Result.BROKEN if attempt.call.sent else Result.UNREACHABLE)
        connection.complete_queued(Result.UNREACHABLE)
        while connection.health_checks:
            _sent_us, post = connection.health_checks.popleft()
            post(HealthCheckEnded(connection.leaf.name, Result.BROKEN, 0, None))

    def disconnect(self, name: str):
        """Close the idle connections to a leaf."""
        leaf = self.leaves.get(name)
        for connection in list(leaf.connections) if leaf else ():
            connection.close_if_idle(LeafCloseReason.ASKED)

    def _close_longest_idle(self):
        """At the limit of connections, close the longest idle one, if any has been idle for long
        enough.
        """
        now_s = trio.current_time()
        idle = [
            (connection.idle_since_s, connection)
            for connection in self.connections
            if connection.stream is not None
            and not connection.attempt_count
            and not connection.health_checks
        ]
        connection = connection_policy.idle_connection_to_close(idle, now_s)
        if connection is not None:
            connection.close(LeafCloseReason.SHARE)

    async def _close_idle_connections(self):
        """Close, until cancelled, connections that nobody used for long."""
        while True:
            await trio.sleep(connection_policy.idle_check_interval_s(self.idle_timeout_s))
            now_s = trio.current_time()
            for leaf in list(self.leaves.values()):
                for connection in list(leaf.connections):
                    if connection_policy.idle_expired(
                        now_s - connection.idle_since_s, self.idle_timeout_s
                    ):
                        connection.close_if_idle(LeafCloseReason.IDLE)

    def _trace_closed(self, connection, reason):
        if self.context.trace.enabled:
            self.context.trace.record(
                "leaf connection closed",
                leaf=connection.leaf.name,
                link=id(connection),
                reason=reason.name,
                out=list(connection.in_flight),
                waiting=len(connection.queued),
            )

    # ---- health checks ----

    def probe(self, name: str, post):
        """Ask a leaf for its load over a connection that is made; without one there is no health
        check. Its end goes to `post`.
        """
        connection = self._connection_for_health_check(name)
        if connection is None or len(connection.health_checks) >= self.context.max_streams:
            post(HealthCheckEnded(name, Result.UNSENT, 0, None))
            return
        connection.health_checks.append((int(trio.current_time() * 1e6), post))
        connection.send(frames.encode_frame(b"p"))

    def _connection_for_health_check(self, name):
        leaf = self.leaves.get(name)
        for connection in leaf.connections if leaf else ():
            if connection.stream is not None and not connection.retired:
                return connection
        return None
