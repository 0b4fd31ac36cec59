"""Pools of connections to the leaves, and the calls that run over them.

A call carries what one turn sends to one leaf: the reads of it pipelined on one connection, each write on one
of its own. A connection carries one call at a time. Bounds: `most` connections a leaf, past which an attempt
ends UNSENT at once and the module is asked again; `cancels` cancel connections a leaf at once, past which the
connection is only closed.
"""
import contextlib
import math
from dataclasses import dataclass

import trio

from mothnotch.decisions import interface as i
from mothnotch.decisions import outcomes
from mothnotch.leaves.connection import Connection, ReadExchange, Unanswered, WriteExchange
from mothnotch.leaves.payload import Write
from mothnotch.net import shut
from mothnotch.pgwire import client
from mothnotch.pgwire.framing import ProtocolError

CANCEL_S = 1.0                   # a cancel request that has not gone through by then is given up
SWEEP_S = 1.0                    # how often idle connections are looked at


@dataclass(slots=True, frozen=True)
class PoolSettings:
    """How the root connects to its leaves."""
    user: str = "mothnotch"
    database: str = "stock"
    password: str | None = None
    most: int = 32                     # connections a leaf
    connect_timeout_s: float = 1.0
    idle_s: float = 60.0               # an idle connection older than that is closed
    message_limit: int = 16 << 20      # the largest message a leaf may send
    cancels: int = 16


class Leaf:
    """One leaf's connections."""

    def __init__(self, name, address):
        self.name, self.address, self.takes_new = name, address, True
        self.idle, self.open, self.cancels = [], 0, 0

    def close_idle(self):
        while self.idle:
            self.idle.pop().close()
            self.open -= 1


class Call:
    """What one turn sends to one leaf, under way."""

    def __init__(self, leaf, exchange):
        self.leaf, self.exchange, self.connection = leaf, exchange, None
        self.scope = None                # of the wait under way
        for attempt in exchange.attempts:
            attempt.call = self

    @property
    def live(self):
        return [a for a in self.exchange.attempts if not a.ended]

    def dropped(self):
        """An attempt of it was called off: once nobody waits for any, it ends."""
        if self.scope is not None and not self.live:
            self.scope.cancel()

    @contextlib.contextmanager
    def within(self):
        """Waits inside end at the first deadline of a live attempt; what has passed then is ended as it is due."""
        with trio.CancelScope(deadline=min((a.deadline for a in self.live), default=-math.inf)) as self.scope:
            yield
        if self.scope.cancelled_caught:
            now = trio.current_time()
            late = [a for a in self.live if a.deadline <= now]
            if len(late) == len(self.live):
                self.exchange.lost(i.Result.TIMEOUT)
            else:
                for attempt in late:
                    attempt.end(i.Result.TIMEOUT)


class Leaves:
    """All leaves. `addresses` follow the roster; what goes to a name without an address ends UNREACHABLE."""

    def __init__(self, network, settings, log):
        self.network, self.settings, self.log, self.leaves = network, settings, log, {}
        self.counts = {"connects": 0, "connects_failed": 0, "cancels": 0, "calls": 0, "over_most": 0}

    def follow(self, addresses, closing=()):
        """The roster's addresses, by name, and the names that take nothing new. A changed address closes what is
        idle at the old one; a name that is gone takes nothing new either, and its calls run out."""
        for name, address in addresses.items():
            leaf = self.leaves.get(name)
            if leaf is None:
                leaf = self.leaves[name] = Leaf(name, address)
            elif leaf.address != address:
                leaf.close_idle()
                leaf.address = address
            leaf.takes_new = name not in closing
        for name in set(self.leaves) - set(addresses):
            leaf = self.leaves.pop(name)
            leaf.takes_new = False
            leaf.close_idle()

    def disconnect(self, name):
        if name in self.leaves:
            self.leaves[name].close_idle()

    def send(self, name, attempts, nursery):
        """Starts the calls that carry these attempts. Each attempt ends exactly once, whatever comes."""
        leaf = self.leaves.get(name)
        if leaf is None:
            for attempt in attempts:
                attempt.end(i.Result.UNREACHABLE)
            return
        reads = [a for a in attempts if not isinstance(a.payload, Write)]
        exchanges = [ReadExchange(reads)] if reads else []
        exchanges += [WriteExchange([a]) for a in attempts if isinstance(a.payload, Write)]
        for exchange in exchanges:
            nursery.start_soon(self.run, Call(leaf, exchange), nursery)

    async def run(self, call, nursery):
        leaf, exchange = call.leaf, call.exchange
        self.counts["calls"] += 1
        clean = False
        try:
            clean = await self.drive(call)
        except Unanswered as error:
            whose, result = outcomes.of_error(error.fields.sqlstate)
            exchange.lost(result if whose is outcomes.Fault.SERVER else i.Result.REJECTED)
        except (OSError, EOFError, trio.BrokenResourceError, trio.ClosedResourceError, ProtocolError,
                ValueError) as error:
            if isinstance(error, ProtocolError):
                self.log.warning("leaf broke the protocol", leaf=leaf.name, error=str(error))
            exchange.lost(i.Result.BROKEN if call.connection else i.Result.UNREACHABLE)
        finally:
            connection = call.connection
            if connection is not None:
                if clean and self.leaves.get(leaf.name) is leaf and connection.address == leaf.address:
                    connection.idle_since = trio.current_time()
                    leaf.idle.append(connection)
                else:
                    leaf.open -= 1
                    if exchange.over or connection.pid is None or leaf.cancels >= self.settings.cancels:
                        connection.close()
                    else:
                        nursery.start_soon(self.cancel, leaf, connection)

    async def drive(self, call):
        """Runs a call to its end; true if its connection may be used again."""
        leaf, exchange = call.leaf, call.exchange
        connection = self.idle(call) or await self.connect(call)
        if connection is None:
            return False
        if not leaf.takes_new:
            # Told while the connection was made: nothing has gone out yet, and nothing may any more.
            exchange.lost(i.Result.UNSENT)
            exchange.over = True
            return True
        stream, wire, out, sent = connection.stream, connection.wire, exchange.begin(), False
        while not exchange.over and call.live:
            with call.within():
                if out:
                    # A send cut short leaves the leaf with half a message: then the connection is of no more use.
                    sent = False
                    await stream.send_all(out)
                    out, sent = b"", True
                while not exchange.over and call.live and not out:
                    data = await stream.receive_some(1 << 16)
                    if not data:
                        raise EOFError("the leaf closed the connection")
                    wire.receive(data)
                    while not exchange.over and (event := wire.next_event()) is not None:
                        out += exchange.take(event)
            if not sent:
                exchange.lost(i.Result.TIMEOUT)
                return False
        return exchange.over

    def idle(self, call):
        """An idle connection that still stands, or None."""
        leaf = call.leaf
        while leaf.idle:
            connection = leaf.idle.pop()
            if not self.network.lost(connection.stream):
                call.connection = connection
                return connection
            connection.close()
            leaf.open -= 1
        return None

    async def connect(self, call):
        """A new connection; None where none could be had, or the call has ended meanwhile."""
        leaf, s = call.leaf, self.settings
        if leaf.open >= s.most:
            self.counts["over_most"] += 1
            call.exchange.lost(i.Result.UNSENT)
            return None
        self.counts["connects"] += 1
        leaf.open += 1
        connection, ready = None, False
        try:
            with trio.move_on_after(s.connect_timeout_s):
                async with trio.open_nursery() as opening:
                    call.scope = opening.cancel_scope
                    # The attempts' own time-outs go on while the connection is made.
                    opening.start_soon(self.watch, call, opening)
                    address = leaf.address
                    connection = Connection(await self.network.open(address), s.message_limit, address)
                    await connection.open({"user": s.user, "database": s.database,
                                           "application_name": "mothnotch"}, s.password)
                    ready = True
                    opening.cancel_scope.cancel()
        except BaseExceptionGroup as group:
            raise first_of(group) from None
        finally:
            if not ready:
                leaf.open -= 1
                self.counts["connects_failed"] += 1
                if connection is not None:
                    connection.close()
        if not ready:
            call.exchange.lost(i.Result.UNREACHABLE)
            return None
        call.connection = connection
        return connection

    async def watch(self, call, nursery):
        """Ends attempts whose time passes while no connection stands: they never ran."""
        while call.live:
            await trio.sleep_until(min(a.deadline for a in call.live))
            now = trio.current_time()
            for attempt in call.live:
                if attempt.deadline <= now:
                    attempt.end(i.Result.UNREACHABLE)
        nursery.cancel_scope.cancel()

    async def cancel(self, leaf, connection):
        """Asks the leaf to stop what runs on a connection, and closes it. The connection is never used again, so
        that a cancel that arrives late finds nothing of anybody else's there."""
        leaf.cancels += 1
        self.counts["cancels"] += 1
        stream = None
        try:
            with trio.move_on_after(CANCEL_S):
                stream = await self.network.open(leaf.address)
                await stream.send_all(client.cancel_request(connection.pid, connection.secret))
                await stream.receive_some(1)
        except (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        finally:
            leaf.cancels -= 1
            connection.close()
            if stream is not None:
                shut(stream)

    async def sweep(self):
        """Closes connections that nobody used for long, and those that leaves closed."""
        while True:
            await trio.sleep(SWEEP_S)
            before = trio.current_time() - self.settings.idle_s
            for leaf in self.leaves.values():
                kept = []
                for connection in leaf.idle:
                    if connection.idle_since < before or self.network.lost(connection.stream):
                        connection.close()
                        leaf.open -= 1
                    else:
                        kept.append(connection)
                leaf.idle = kept

    def close(self):
        for leaf in self.leaves.values():
            leaf.close_idle()


def first_of(group):
    """The first error of a group that is one of ours; Cancelled and others pass whole."""
    while isinstance(group, BaseExceptionGroup):
        own = [e for e in group.exceptions if not isinstance(e, trio.Cancelled)]
        group = own[0] if own else group.exceptions[0]
    return group
