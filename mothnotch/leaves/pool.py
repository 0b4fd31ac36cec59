"""Pools of connections to the leaves, and the calls that run over them.

The attempts that are dispatched to one leaf together form calls: one call pipelines all reads on
one connection, and each write is a call on a connection of its own. A connection carries one call
at a time and has one task, which reads for as long as it is open. A call needs neither a task nor a
cancel scope: the dispatcher writes as much of it as the socket accepts, and all timeouts share one
heap.

Limits: `max_connections` per leaf, beyond which an attempt ends UNSENT at once and the balancer
decides again; `max_cancels` concurrent cancel requests per leaf, beyond which a connection is only
closed. The heap holds the attempts sent within the longest attempt timeout.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

import trio

from mothnotch.decisions import interface, outcomes
from mothnotch.leaves.call import Call
from mothnotch.leaves.connection import Connection, ConnectionRejectedError
from mothnotch.leaves.leaf import Leaf
from mothnotch.leaves.payload import Write
from mothnotch.leaves.read_exchange import ReadExchange
from mothnotch.leaves.timeouts import Timeouts
from mothnotch.leaves.write_exchange import WriteExchange
from mothnotch.net import CONNECTION_LOST_ERRORS, close_now
from mothnotch.pgwire import client
from mothnotch.pgwire.framing import ProtocolError

# Timeout of a cancel request. The connection is closed in any case, and a leaf that is down must
# not occupy the limited number of cancel requests.
_CANCEL_TIMEOUT_S = 1.0
# Interval at which idle connections are checked for expiry.
_IDLE_CHECK_INTERVAL_S = 1.0


@dataclass(slots=True, frozen=True)
class PoolSettings:
    """How the root connects to its leaves.

    `max_connections`: maximum connections per leaf; `idle_s`: connections that are idle for longer
    are closed; `message_limit`: maximum size of a message from a leaf, in bytes; `max_cancels`:
    maximum concurrent cancel requests per leaf.
    """

    user: str = "mothnotch"
    database: str = "stock"
    password: str | None = None
    max_connections: int = 32
    connect_timeout_s: float = 1.0
    idle_s: float = 60.0
    message_limit: int = 16 << 20
    max_cancels: int = 16


class LeafPools:
    """Connection pools of all leaves in the endpoint list.

    Attempts sent to a leaf that is not in the list end UNREACHABLE.
    """

    def __init__(self, network, settings: PoolSettings, log):
        """Create pools for no leaves; `log` is a structlog logger."""
        self.network = network
        self.settings = settings
        self.log = log
        self.leaves = {}
        self.nursery = None
        self.counts = {
            "connects": 0,
            "connects_failed": 0,
            "cancels": 0,
            "calls": 0,
            "over_most": 0,
        }
        self._timeouts = Timeouts(self._on_timeout)

    async def run(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Run until cancelled; the tasks of all connections run in its nursery."""
        try:
            async with trio.open_nursery() as self.nursery:
                self.nursery.start_soon(self._timeouts.run)
                self.nursery.start_soon(self._close_expired)
                task_status.started()
                await trio.sleep_forever()
        finally:
            for leaf in self.leaves.values():
                self.close_idle(leaf)

    # ---- the endpoint list ----

    def update_endpoints(self, addresses: dict[str, str], draining: Iterable[str] = ()) -> None:
        """Replace the list of leaves: addresses by name, and names that take no new attempts.

        If an address changes, the idle connections to the old one are closed. A leaf that is no
        longer listed takes no new attempts either; its calls in flight may complete.
        """
        for name, address in addresses.items():
            leaf = self.leaves.get(name)
            if leaf is None:
                leaf = self.leaves[name] = Leaf(name, address)
            elif leaf.address != address:
                self.close_idle(leaf)
                leaf.address = address
            leaf.takes_new = name not in draining
        for name in set(self.leaves) - set(addresses):
            leaf = self.leaves.pop(name)
            leaf.takes_new = False
            self.close_idle(leaf)

    def local_evidence(self) -> dict:
        """Return, by leaf name, when the root's own connections last succeeded or failed."""
        return {name: leaf.local_evidence for name, leaf in self.leaves.items()}

    def check_health(self, name: str, post: Callable) -> None:
        """Post an UNSENT health check: leaves on the PostgreSQL protocol have no health check."""
        post(interface.HealthCheckEnded(name, interface.Result.UNSENT, 0, None))

    def disconnect(self, name: str) -> None:
        """Close the idle connections to a leaf."""
        if name in self.leaves:
            self.close_idle(self.leaves[name])

    def close_idle(self, leaf: Leaf) -> None:
        """Close a leaf's idle connections."""
        for connection in list(leaf.idle_connections):
            self.close_connection(connection)

    # ---- calls ----

    def send(self, name: str, attempts: list) -> None:
        """Start calls that carry these attempts.

        Each attempt ends exactly once, whatever happens.
        """
        leaf = self.leaves.get(name)
        if leaf is None:
            for attempt in attempts:
                attempt.complete(interface.Result.UNREACHABLE)
            return
        reads = [attempt for attempt in attempts if not isinstance(attempt.payload, Write)]
        writes = [attempt for attempt in attempts if isinstance(attempt.payload, Write)]
        exchanges = [ReadExchange(reads)] if reads else []
        exchanges += [WriteExchange([attempt]) for attempt in writes]
        for exchange in exchanges:
            self._start(Call(self, leaf, exchange))

    def _start(self, call):
        """Start a call on an idle connection, or open a connection for it."""
        leaf = call.leaf
        self.counts["calls"] += 1
        for attempt in call.exchange.attempts:
            self._timeouts.add(attempt)
        connection = self._take_idle(leaf)
        if connection is not None:
            self._start_on(connection, call)
        elif leaf.connection_count >= self.settings.max_connections:
            self.counts["over_most"] += 1
            call.exchange.fail(interface.Result.UNSENT)
        else:
            leaf.connection_count += 1
            self.nursery.start_soon(self._connect, call)

    def _take_idle(self, leaf):
        """Remove and return the most recently used idle connection that is open, or None."""
        while leaf.idle_connections:
            connection = leaf.idle_connections[-1]
            if not self.network.is_stale(connection.stream):
                leaf.idle_connections.pop()
                return connection
            self.close_connection(connection)
        return None

    def _start_on(self, connection, call):
        """Start a call on an idle connection if it may still be sent."""
        if not call.leaf.takes_new or any(
            attempt.past_retry_window for attempt in call.live_attempts
        ):
            # While the connection was being made, the leaf started to drain or the time expired
            # within which leaves recognise a retry. Nothing was sent, and nothing may be sent now.
            call.exchange.fail(interface.Result.UNSENT)
            self.release(connection)
            return
        connection.start_call(call)

    def withdraw_call(self, connection: Connection) -> bool:
        """End the unsent call of a connection whose leaf takes no new attempts; return True."""
        call = connection.call
        connection.call = None
        connection.unsent.clear()
        call.exchange.fail(interface.Result.UNSENT)
        self.release(connection)
        return True

    def release(self, connection: Connection) -> None:
        """Return a connection to its pool; close it if its leaf changed address or was removed."""
        leaf = connection.leaf
        connection.call = None
        connection.idle_since_s = trio.current_time()
        if self.leaves.get(leaf.name) is leaf and connection.address == leaf.address:
            leaf.idle_connections.append(connection)
        else:
            self.close_connection(connection)

    # ---- closing and cancellation ----

    def close_connection(self, connection: Connection) -> None:
        """Close a connection unless it is closed already; its call ends BROKEN."""
        if connection.is_closed:
            return
        self._remove(connection)
        close_now(connection.stream)
        if connection.call is not None:
            call = connection.call
            connection.call = None
            call.exchange.fail(interface.Result.BROKEN)

    def _remove(self, connection):
        """Remove a connection from its leaf's pool."""
        connection.is_closed = True
        connection.leaf.connection_count -= 1
        if connection in connection.leaf.idle_connections:
            connection.leaf.idle_connections.remove(connection)

    def cancel_call(self, call: Call) -> None:
        """Cancel a call whose attempts have all ended.

        Its connection is not reused, and a cancel request is sent to the leaf.
        """
        connection = call.connection
        if connection is None:
            if call.connect_scope is not None:
                call.connect_scope.cancel()
            return
        if connection.call is not call:
            return
        connection.call = None
        self._remove(connection)
        if connection.pid is None or call.leaf.cancels_in_flight >= self.settings.max_cancels:
            close_now(connection.stream)
        else:
            self.nursery.start_soon(self._request_cancel, call.leaf, connection)

    def _on_timeout(self, attempt, now_s):
        """End an attempt that is in flight at its deadline."""
        call = attempt.call
        call.leaf.local_evidence.last_failed_us = int(now_s * 1e6)
        if call.connection is None:
            attempt.complete(interface.Result.UNREACHABLE)  # nothing was sent
        elif call.exchange.is_only_pending(attempt):
            call.exchange.fail(interface.Result.TIMEOUT)
        else:
            attempt.complete(interface.Result.TIMEOUT)
        call.cancel(attempt)

    # ---- opening connections ----

    async def _connect(self, call):
        """Open a connection and start the call on it."""
        leaf = call.leaf
        address = leaf.address
        self.counts["connects"] += 1
        connection = None
        ready = False
        result = interface.Result.UNREACHABLE
        try:
            with trio.move_on_after(self.settings.connect_timeout_s) as call.connect_scope:
                stream = await self.network.open(address)
                connection = Connection(self, stream, leaf, address)
                await connection.open(self._startup_parameters(), self.settings.password)
                ready = True
        except ConnectionRejectedError as error:
            result = _result_of_rejection(error)
        except ProtocolError as error:
            self.log.warning("leaf broke the protocol", leaf=leaf.name, error=str(error))
        except (*CONNECTION_LOST_ERRORS, EOFError, ValueError):
            pass
        finally:
            call.connect_scope = None
            if not ready:
                self._note_failed_connect(leaf, connection)
        if not ready:
            call.exchange.fail(result)
            return
        self.nursery.start_soon(connection.read_until_lost)
        if call.live_attempts:
            self._start_on(connection, call)
        else:
            self.release(connection)

    def _startup_parameters(self):
        return {
            "user": self.settings.user,
            "database": self.settings.database,
            "application_name": "mothnotch",
        }

    def _note_failed_connect(self, leaf, connection):
        """Record a connect that failed or was cancelled; close its stream if there is one."""
        leaf.connection_count -= 1
        self.counts["connects_failed"] += 1
        leaf.local_evidence.last_failed_us = int(trio.current_time() * 1e6)
        if connection is not None:
            close_now(connection.stream)

    async def _request_cancel(self, leaf, connection):
        """Send a cancel request for a connection, and close it.

        The connection is not reused, so a cancel request that arrives late cannot cancel another
        call.
        """
        leaf.cancels_in_flight += 1
        self.counts["cancels"] += 1
        stream = None
        try:
            with trio.move_on_after(_CANCEL_TIMEOUT_S):
                stream = await self.network.open(connection.address)
                await stream.send_all(client.cancel_request(connection.pid, connection.secret))
                await stream.receive_some(1)
        except CONNECTION_LOST_ERRORS:
            pass
        finally:
            leaf.cancels_in_flight -= 1
            close_now(connection.stream)
            if stream is not None:
                close_now(stream)

    async def _close_expired(self):
        """Close connections whose idle timeout has expired."""
        while True:
            await trio.sleep(_IDLE_CHECK_INTERVAL_S)
            used_before_s = trio.current_time() - self.settings.idle_s
            for leaf in self.leaves.values():
                expired = [
                    connection
                    for connection in leaf.idle_connections
                    if connection.idle_since_s < used_before_s
                ]
                for connection in expired:
                    self.close_connection(connection)


def _result_of_rejection(error):
    """Return the result of a call whose connection the leaf rejected."""
    found = outcomes.classify_error(error.fields.sqlstate)
    return interface.Result.REJECTED if found.fault is outcomes.Fault.QUERY else found.result
