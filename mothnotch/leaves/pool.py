"""Pools of connections to the leaves, and the calls that run over them.

A call carries what one turn sends to one leaf: the reads of it pipelined on one connection, each
write on one of its own. A connection carries one call at a time and has one task for as long as it
is open, which reads; a call itself costs no task and no cancel scope: it is sent from the turn as
far as the socket takes it, and its timeouts lie in one heap. Bounds: `most` connections a leaf,
past which an attempt ends UNSENT at once and the module is asked again; `cancels` cancel
connections a leaf at once, past which the connection is only closed; the heap holds what was sent
within the longest attempt timeout.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

import trio

from mothnotch.decisions import interface, outcomes
from mothnotch.leaves.call import Call
from mothnotch.leaves.connection import Connection, NoAnswerError
from mothnotch.leaves.leaf import Leaf
from mothnotch.leaves.payload import Write
from mothnotch.leaves.read_exchange import ReadExchange
from mothnotch.leaves.timeouts import Timeouts
from mothnotch.leaves.write_exchange import WriteExchange
from mothnotch.net import CONNECTION_LOST_ERRORS, close_now
from mothnotch.pgwire import client
from mothnotch.pgwire.framing import ProtocolError

# A cancel request that has not been sent by then is given up: the connection is closed anyway, and
# a leaf that is down must not hold the few that there are.
_CANCEL_TIMEOUT_S = 1.0
# How often idle connections are looked at.
_SWEEP_INTERVAL_S = 1.0


@dataclass(slots=True, frozen=True)
class PoolSettings:
    """How the root connects to its leaves.

    `most`: connections a leaf; `idle_s`: a connection that was idle for longer is closed;
    `message_limit`: bytes of the largest message a leaf may send; `cancels`: cancel requests to a
    leaf at once.
    """

    user: str = "mothnotch"
    database: str = "stock"
    password: str | None = None
    most: int = 32
    connect_timeout_s: float = 1.0
    idle_s: float = 60.0
    message_limit: int = 16 << 20
    cancels: int = 16


class Leaves:
    """All leaves, as the endpoint list names them.

    What is sent to a name without an address ends UNREACHABLE.
    """

    def __init__(self, network, settings: PoolSettings, log):
        """Know no leaf yet; `log` has structlog's methods."""
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
        self._timeouts = Timeouts(self._time_out)

    async def run(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Run until cancelled; the tasks of all connections are in its nursery."""
        try:
            async with trio.open_nursery() as self.nursery:
                self.nursery.start_soon(self._timeouts.run)
                self.nursery.start_soon(self._sweep)
                task_status.started()
                await trio.sleep_forever()
        finally:
            for leaf in self.leaves.values():
                self.close_idle(leaf)

    # ---- the endpoint list ----

    def follow(self, addresses: dict[str, str], closing: Iterable[str] = ()) -> None:
        """Take over the list's addresses, by name, and the names that take nothing new.

        A changed address closes what is idle at the old one; a name that is no longer listed takes
        nothing new either, and its calls may still end.
        """
        for name, address in addresses.items():
            leaf = self.leaves.get(name)
            if leaf is None:
                leaf = self.leaves[name] = Leaf(name, address)
            elif leaf.address != address:
                self.close_idle(leaf)
                leaf.address = address
            leaf.takes_new = name not in closing
        for name in set(self.leaves) - set(addresses):
            leaf = self.leaves.pop(name)
            leaf.takes_new = False
            self.close_idle(leaf)

    def own(self) -> dict:
        """Return what the root's own connections met last, by name."""
        return {name: leaf.own for name, leaf in self.leaves.items()}

    def probe(self, name: str, post: Callable) -> None:
        """Post that the health check was not sent: leaves over this wire have none."""
        post(interface.HealthCheckEnded(name, interface.Result.UNSENT, 0, None))

    def disconnect(self, name: str) -> None:
        """Close the idle connections to a leaf."""
        if name in self.leaves:
            self.close_idle(self.leaves[name])

    def close_idle(self, leaf: Leaf) -> None:
        """Close a leaf's idle connections."""
        for connection in list(leaf.idle):
            self.connection_lost(connection)

    # ---- calls ----

    def send(self, name: str, attempts: list) -> None:
        """Start the calls that carry these attempts.

        Each attempt ends exactly once, whatever comes.
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
        """Put a call on an idle connection, or have one made for it."""
        leaf = call.leaf
        self.counts["calls"] += 1
        for attempt in call.exchange.attempts:
            self._timeouts.put(attempt)
        connection = self._take_idle(leaf)
        if connection is not None:
            self._start_on(connection, call)
        elif leaf.open >= self.settings.most:
            self.counts["over_most"] += 1
            call.exchange.fail(interface.Result.UNSENT)
        else:
            leaf.open += 1
            self.nursery.start_soon(self._connect, call)

    def _take_idle(self, leaf):
        """Return an idle connection that is still connected, the one used last; or None."""
        while leaf.idle:
            connection = leaf.idle[-1]
            if not self.network.is_stale(connection.stream):
                leaf.idle.pop()
                return connection
            self.connection_lost(connection)
        return None

    def _start_on(self, connection, call):
        """Start a call on a free connection, if it may still be sent."""
        if not call.leaf.takes_new or any(
            attempt.past_retry_window for attempt in call.live_attempts
        ):
            # While the connection was made the leaf began to drain, or the time was over in which
            # leaves drop a retry: nothing was sent yet, and nothing may be any more.
            call.exchange.fail(interface.Result.UNSENT)
            self.release(connection)
            return
        connection.start_call(call)

    def withdraw(self, connection: Connection) -> bool:
        """End a call of which nothing was sent, as its leaf takes nothing new; return True."""
        call = connection.call
        connection.call = None
        connection.unsent.clear()
        call.exchange.fail(interface.Result.UNSENT)
        self.release(connection)
        return True

    def release(self, connection: Connection) -> None:
        """Take back a connection whose call has ended; close it if its leaf has moved or left."""
        leaf = connection.leaf
        connection.call = None
        connection.idle_since_s = trio.current_time()
        if self.leaves.get(leaf.name) is leaf and connection.address == leaf.address:
            leaf.idle.append(connection)
        else:
            self.connection_lost(connection)

    # ---- ends ----

    def connection_lost(self, connection: Connection) -> None:
        """Close a connection, once; what runs on it ends BROKEN."""
        if connection.dead:
            return
        self._remove(connection)
        close_now(connection.stream)
        if connection.call is not None:
            call = connection.call
            connection.call = None
            call.exchange.fail(interface.Result.BROKEN)

    def _remove(self, connection):
        """Count a connection no longer as one of its leaf's."""
        connection.dead = True
        connection.leaf.open -= 1
        if connection in connection.leaf.idle:
            connection.leaf.idle.remove(connection)

    def abandon(self, call: Call) -> None:
        """Give up a call that nobody waits for.

        Its connection is never used again, and the leaf is asked to stop.
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
        if connection.pid is None or call.leaf.cancels_in_flight >= self.settings.cancels:
            close_now(connection.stream)
        else:
            self.nursery.start_soon(self._request_cancel, call.leaf, connection)

    def _time_out(self, attempt, now_s):
        """End an attempt that is still in flight at its deadline."""
        call = attempt.call
        call.leaf.own.last_failed_us = int(now_s * 1e6)
        if call.connection is None:
            attempt.complete(interface.Result.UNREACHABLE)  # nothing was sent
        elif call.exchange.waits_only_for(attempt):
            call.exchange.fail(interface.Result.TIMEOUT)
        else:
            attempt.complete(interface.Result.TIMEOUT)
        call.cancel(attempt)

    # ---- connections ----

    async def _connect(self, call):
        """Make a connection for a call, and start the call on it."""
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
        except NoAnswerError as error:
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
        """Count a connection that was not made, also if it was cancelled; close what there is."""
        leaf.open -= 1
        self.counts["connects_failed"] += 1
        leaf.own.last_failed_us = int(trio.current_time() * 1e6)
        if connection is not None:
            close_now(connection.stream)

    async def _request_cancel(self, leaf, connection):
        """Ask the leaf to stop what runs on a connection, and close it.

        The connection is never used again, so that a cancel that arrives late finds nothing of
        anybody else's there.
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

    async def _sweep(self):
        """Close connections that nobody used for long."""
        while True:
            await trio.sleep(_SWEEP_INTERVAL_S)
            before_s = trio.current_time() - self.settings.idle_s
            for leaf in self.leaves.values():
                expired = [
                    connection for connection in leaf.idle if connection.idle_since_s < before_s
                ]
                for connection in expired:
                    self.connection_lost(connection)


def _result_of_rejection(error):
    """Return how the attempts of a call end whose connection the leaf turned away."""
    found = outcomes.classify_error(error.fields.sqlstate)
    return interface.Result.REJECTED if found.fault is outcomes.Fault.QUERY else found.result
