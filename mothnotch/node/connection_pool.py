"""The pool of connections to all leaves: opens, shares, retires and closes them.

The result of a failed attempt depends on whether the socket accepted the last byte of its frame:
before that the attempt never ran (UNREACHABLE), afterwards it may have (BROKEN, TIMEOUT). Bounds:
`max_in_flight` parts on a connection, counting queued, in-flight and abandoned ones, and
`max_connections` in all. An attempt beyond them completes as UNSENT, and the balancer then retries
its part or gives it up.
"""

import trio

from mothnotch.decisions import connection_policy
from mothnotch.decisions.interface import HealthCheckEnded, Result
from mothnotch.decisions.invariants import Violations
from mothnotch.leaves.timeouts import Timeouts
from mothnotch.net import LoopMonitor, close_now
from mothnotch.node import frames
from mothnotch.node.answer_reader import AnswerReader
from mothnotch.node.call_context import CallContext
from mothnotch.node.call_writer import CallWriter
from mothnotch.node.cancellation import Cancellation
from mothnotch.node.closing import LeafCloseReason
from mothnotch.node.connector import Connector
from mothnotch.node.leaf_connection import CallHandle, Leaf, LeafConnection
from mothnotch.node.memory_budgets import MemoryBudgets
from mothnotch.root.trace import Trace


class ConnectionPool:
    """All leaves and the connections to them.

    The core uses `send`, `disconnect` and `check_health`.
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
        hedging_allowed: bool,
        memory: MemoryBudgets,
    ):
        """Create a pool without leaves.

        `max_streams`: how many parts of one connection a leaf processes concurrently.
        `max_parts_per_call`: the maximum number of parts in one call frame. `max_connections`: the
        maximum number of connections to all leaves. `idle_timeout_s`: after which an idle
        connection is closed. `connect_timeout_s`: the maximum time to establish a connection.
        `hedging_allowed`: whether two attempts of one part may be at leaves at the same time.
        `memory`: bounds what the connections hold.
        """
        self.max_in_flight = connection_policy.max_in_flight(max_streams)
        self.context = CallContext(
            network,
            log,
            max_streams,
            max(1, min(max_parts_per_call, self.max_in_flight)),
            hedging_allowed,
            memory,
            Violations(log.error),
            Trace(),
            LoopMonitor(),
        )
        self.counts = self.context.counts
        self.max_connections = max_connections
        self.idle_timeout_s = idle_timeout_s
        self.leaves = {}
        # An ordered set of the connections that are not closed, oldest first.
        self.connections = {}
        self.writer = CallWriter(self.context)
        self.cancellation = Cancellation(self.context)
        self.answer_reader = AnswerReader(self.context, self.cancellation)
        self.connector = Connector(self.context, self.answer_reader, connect_timeout_s)
        self.timeouts = Timeouts(self.cancellation.on_timeout)
        self.close_counts = dict.fromkeys(LeafCloseReason, 0)

    def report_to(self, violations: Violations, trace: Trace, loop_monitor: LoopMonitor):
        """Report invariant violations, trace events and step times to the core's recorders."""
        self.context.violations = violations
        self.context.trace = trace
        self.context.loop_monitor = loop_monitor

    @property
    def open_count(self) -> int:
        """Return the number of connections that are established or being established."""
        return len(self.connections)

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        """Run until cancelled; the tasks of all connections run in its nursery."""
        async with trio.open_nursery() as self.nursery:
            self.nursery.start_soon(self.timeouts.run)
            self.nursery.start_soon(self._close_idle_connections)
            task_status.started()
            await trio.sleep_forever()

    # ---- endpoint list ----

    def update_leaves(self, leaves: list, complete: bool):
        """Apply an endpoint list; unless `complete`, `leaves` holds only those that changed."""
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
        """Complete a leaf's unsent attempts as UNSENT, so that their parts are placed again."""
        for connection in list(leaf.connections):
            connection.requeue_unsent()
            connection.complete_queued(Result.UNSENT)

    def _retire_connections(self, leaf):
        """Retire a leaf's connections: each is closed once nothing is in flight on it.

        Their unsent attempts are completed as UNSENT.
        """
        self._withdraw_unsent(leaf)
        for connection in list(leaf.connections):
            connection.retired = True
            connection.close_if_idle(LeafCloseReason.RETIRED)

    # ---- sending ----

    def send(self, name: str, attempts: list):
        """Send the attempts of one turn to a leaf; each of them completes exactly once."""
        leaf = self.leaves.get(name)
        if leaf is None:
            for attempt in attempts:
                attempt.complete(Result.UNREACHABLE)
            return
        for attempt in attempts:
            self.timeouts.add(attempt)
        max_parts_per_call = self.context.max_parts_per_call
        for first in range(0, len(attempts), max_parts_per_call):
            self.enqueue(leaf, attempts[first : first + max_parts_per_call])

    def enqueue(self, leaf: Leaf, attempts: list):
        """Queue one call's attempts on a connection, and open one if necessary.

        At the connection limit they complete as UNSENT.
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
        """Return a connection with capacity for these attempts; None if there is none.

        None of the wire ids may be in use on the connection, as answers to them could not be told
        apart.
        """
        for connection in list(leaf.connections):
            occupied = connection.attempt_count + len(connection.abandoned)
            if connection.retired or occupied + len(wire_ids) > self.max_in_flight:
                # An abandoned attempt uses capacity until its leaf has answered it. A connection
                # with nothing else on it is closed to make room for a new one.
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

    # ---- closing ----

    def close_connection(self, connection: LeafConnection, reason: LeafCloseReason):
        """Close a connection; completely sent attempts end BROKEN, the others UNREACHABLE."""
        if connection.is_closed:
            return
        connection.is_closed = True
        self.close_counts[reason] += 1
        self._trace_closed(connection, reason)
        self.cancellation.on_closed(connection)
        self.context.memory.leaf_input.remove(connection)
        self.context.memory.unsent_calls.remove(connection)
        del self.connections[connection]
        connection.leaf.connections.remove(connection)
        if connection.stream is not None:
            close_now(connection.stream)
        attempts = connection.in_flight
        connection.in_flight = {}
        for attempt in attempts.values():
            attempt.complete(Result.BROKEN if attempt.call.sent else Result.UNREACHABLE)
        connection.complete_queued(Result.UNREACHABLE)
        while connection.health_checks:
            _sent_us, post = connection.health_checks.popleft()
            post(HealthCheckEnded(connection.leaf.name, Result.BROKEN, 0, None))

    def disconnect(self, name: str):
        """Close the idle connections to a leaf, as the balancer requests."""
        leaf = self.leaves.get(name)
        for connection in list(leaf.connections) if leaf else ():
            connection.close_if_idle(LeafCloseReason.ASKED)

    def _close_longest_idle(self):
        """At the connection limit, close the longest idle connection if idle for long enough."""
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
        """Close connections whose idle timeout has expired, until cancelled."""
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

    def check_health(self, name: str, post):
        """Request a load report from a leaf and pass the result to `post`.

        The request uses an established connection; without one the result is UNSENT.
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
