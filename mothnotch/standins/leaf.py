"""A stand-in leaf: the PostgreSQL wire in front of a Store, with cores, service times, a cold
start, and faults.

It records what reaches it, with times, so that an auditor can judge the root from the leaf's side.
Its troubles are switched on by `LeafFaults`; what it does with them is what a client could see of a
real one.
"""

import itertools
import random
from collections import deque
from dataclasses import dataclass, field

import trio

from mothnotch.net import close_now, serve
from mothnotch.pgwire import backend as b
from mothnotch.pgwire import server as wire
from mothnotch.pgwire import types as t
from mothnotch.pgwire.framing import ProtocolError
from mothnotch.standins.store import TAG, EngineError


@dataclass(slots=True)
class LeafFaults:
    """What is wrong with a leaf at present."""

    hang: bool = False  # accepts and reads, and says nothing
    slow: float = 1.0  # every piece of work takes so many times as long
    errors: float = 0.0  # share of statements that fail at once
    pause_until: float = 0.0  # stands still until then
    idle_reap_s: float | None = None  # closes connections idle for so long
    silent_reap: bool = False  # ... without telling the peer
    lose: float = 0.0  # share of commits whose word never gets back to the peer
    poison: str = ""  # a statement with a value that begins so ends the process


@dataclass(slots=True)
class LeafSettings:
    name: str
    address: str
    zone: str = ""
    shards: frozenset = frozenset()
    cores: int = 2
    work_ms: float = 2.0  # of one statement, on a warm core; drawn around it
    row_us: float = 2.0  # on top, for each row given
    cold_from: float = 1.0  # capacity just after a start
    cold_s: float = 0.0  # until it is warm
    fall_multiple: float = 3.0  # sent more than this multiple of its capacity
    fall_s: float = 3.0  # for so long, it falls over
    key_window_s: float = 1.2
    most_connections: int = 200


@dataclass(slots=True, frozen=True)
class LeafEvent:
    """One thing that happened at a leaf. `values` are the bound ones, as text."""

    at: float
    leaf: str
    what: str  # "arrived", "done", "commit", "fell", "up", "down"
    text: str = ""
    values: tuple = ()
    tag: str = ""
    shard: int | None = None


@dataclass(slots=True, eq=False)
class Session:
    pid: int
    secret: int
    stream: object
    wire: object
    statements: dict = field(default_factory=dict)
    portals: dict = field(default_factory=dict)
    transaction: list | None = None  # statements run so far, with what they did
    shard: int | None = None
    failed: bool = False
    scope: object = None  # of the statement under way
    heard: dict = field(default_factory=dict)  # statement name -> text, as read
    skipping: bool = False  # an error came up: all until Sync is skipped
    used: float = 0.0


class Leaf:
    """One process of a leaf. `start` until `stop`; a new start is cold and remembers nothing."""

    def __init__(self, settings, store, network, record, seed=0):
        self.settings, self.store, self.network, self.record = settings, store, network, record
        self.rng = random.Random(f"{settings.name}/{seed}")
        self.faults, self.started_wall, self.up = LeafFaults(), 0.0, False
        self.pids, self.sessions, self.scope = itertools.count(1000), {}, None
        self.overload_crashed = self.poison_crashed = False

    # ---- life ----

    async def run(self, cold=False, task_status=trio.TASK_STATUS_IGNORED):
        """One life of the process, until `stop` or a fall."""
        if self.overload_crashed:
            task_status.started()
            return
        self.cores = trio.Semaphore(self.settings.cores)
        self.started, self.cold, self.sent = trio.current_time(), cold, deque()
        self.started_wall = self.network.wall_time() if cold else self.network.wall_time() - 3600
        with trio.CancelScope() as self.scope:
            listeners = await self.network.listen(self.settings.address)
            self.settings.address = self.network.bound_address(listeners[0])
            self.up = True
            self.see("up")
            task_status.started()
            try:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self.reap)
                    nursery.start_soon(
                        serve,
                        listeners,
                        self.client,
                        nursery,
                        self.settings.most_connections,
                        self.turn_away,
                    )
            finally:
                self.up = False
                for session in list(self.sessions.values()):
                    close_now(session.stream)
                self.sessions.clear()
                for listener in listeners:
                    with trio.CancelScope(shield=True):
                        await listener.aclose()
        self.see("down")

    def stop(self):
        """Ends the process at once: connections are reset, the port refuses."""
        if self.scope is not None:
            self.scope.cancel()

    def see(self, what, text="", values=(), tag="", shard=None):
        self.record(
            LeafEvent(trio.current_time(), self.settings.name, what, text, values, tag, shard)
        )

    def capacity(self):
        """The share of its capacity that it has now."""
        if not self.cold or not self.settings.cold_s:
            return 1.0
        age = (trio.current_time() - self.started) / self.settings.cold_s
        return self.settings.cold_from + (1 - self.settings.cold_from) * min(1.0, age)

    async def turn_away(self, stream):
        try:
            await stream.send_all(
                b.error(b.ErrorFields("FATAL", "53300", "sorry, too many clients already"))
            )
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        close_now(stream)

    async def reap(self):
        while True:
            await trio.sleep(0.05)
            idle = self.faults.idle_reap_s
            if idle is None:
                continue
            for session in list(self.sessions.values()):
                if session.scope is None and trio.current_time() - session.used > idle:
                    if self.faults.silent_reap:
                        session.used = float("inf")  # forgotten: nothing on it is heard any more
                    else:
                        close_now(session.stream)

    # ---- one connection ----

    async def client(self, stream):
        raw = self.rng.getrandbits(64).to_bytes(8, "big")
        _, secret = wire.key_data_from_random(raw)
        session = Session(next(self.pids), secret, stream, wire.ServerConnection(1 << 24))
        session.used = trio.current_time()
        try:
            await self.talk(session)
        except (ProtocolError, OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        finally:
            self.sessions.pop(session.pid, None)
            close_now(stream)

    def arrived(self, session, arrived):
        """Reads all that has come in, and records each statement at the time it came, not when its
        turn comes.
        """
        while True:
            event = session.wire.next_event()
            if event is None:
                return
            arrived.append(event)
            if type(event) is wire.Parse:
                session.heard[event.name] = event.sql
            elif type(event) is wire.Bind:
                tag, sql = untagged(session.heard.get(event.statement, ""))
                values = tuple(
                    None if v is None else v.decode("utf-8", "replace") for v in event.values
                )
                self.see("arrived", sql, values, tag, shard_of(tag))
            elif type(event) is wire.Query:
                self.see("arrived", event.sql)

    async def talk(self, session):
        out, waiting = bytearray(), deque()
        while True:
            if not waiting:
                self.arrived(session, waiting)
            event = waiting.popleft() if waiting else None
            if event is not None and session.skipping:
                if type(event) not in (wire.Sync, wire.Terminate):
                    continue
                session.skipping = False
            if event is None:
                if out:
                    await session.stream.send_all(bytes(out))
                    out.clear()
                data = await session.stream.receive_some(1 << 16)
                if not data:
                    return
                if self.faults.hang or session.used == float("inf"):
                    await trio.sleep_forever()
                session.wire.receive(data)
                continue
            session.used = trio.current_time()
            kind = type(event)
            if kind is wire.Terminate:
                return
            if kind is wire.CancelRequest:
                victim = self.sessions.get(event.pid)
                if (
                    victim is not None
                    and victim.secret == event.secret
                    and victim.scope is not None
                ):
                    victim.scope.cancel()
                return
            if kind is wire.EncryptionRequest:
                out += b"N"
            elif kind is wire.Startup:
                self.sessions[session.pid] = session
                session.wire.on_authenticated()
                out += b.AUTH_OK + b.parameter_status("server_version", "15.0 (stand-in)")
                out += b.parameter_status("client_encoding", "UTF8") + b.parameter_status(
                    "DateStyle", "ISO, MDY"
                )
                out += b.parameter_status("integer_datetimes", "on")
                out += b.parameter_status("standard_conforming_strings", "on")
                out += b.key_data(session.pid, session.secret) + b.ready(b"I")
            elif kind is wire.Sync:
                out += b.ready(self.status(session))
                await session.stream.send_all(bytes(out))  # a peer that is gone is seen here
                out.clear()
            elif kind is wire.Query:
                await self.simple(session, event.sql, out)
            else:
                try:
                    await self.extended(session, event, out)
                except EngineError as error:
                    session.failed = session.transaction is not None
                    session.skipping = True
                    out += b.error(b.ErrorFields("ERROR", error.sqlstate, str(error)))

    def status(self, session):
        return b"I" if session.transaction is None else b"E" if session.failed else b"T"

    async def simple(self, session, sql, out):
        try:
            for piece in sql.split(";"):
                if piece.strip():
                    names, rows, tag = await self.statement(session, piece.strip(), ())
                    if names:
                        out += b.row_description([b.Column(n, t.TEXT) for n in names])
                        out += b"".join(b.data_row(row) for row in rows)
                    out += b.command_complete(tag)
        except EngineError as error:
            session.failed = session.transaction is not None
            out += b.error(b.ErrorFields("ERROR", error.sqlstate, str(error)))
        out += b.ready(self.status(session))

    async def extended(self, session, event, out):
        kind = type(event)
        if kind is wire.Parse:
            session.statements[event.name] = (event.sql, event.oids)
            out += b.PARSE_COMPLETE
        elif kind is wire.Bind:
            if event.statement not in session.statements:
                raise EngineError("26000", f"prepared statement {event.statement!r} does not exist")
            sql, oids = session.statements[event.statement]
            values = []
            for n, raw in enumerate(event.values):
                oid = oids[n] if n < len(oids) else 0
                read = t.from_binary if event.format_of(n) else t.from_text
                value = None if raw is None else read(oid or t.TEXT, raw)
                values.append(
                    value if value is None or isinstance(value, (int, float, str)) else str(value)
                )
            session.portals[event.portal] = [sql, tuple(values), None]
            out += b.BIND_COMPLETE
        elif kind is wire.Describe:
            if event.kind == "S":
                sql, oids = session.statements[event.name]
                out += b.parameter_description(oids) + b.NO_DATA
            else:
                portal = session.portals[event.name]
                portal[2] = await self.statement(session, portal[0], portal[1])
                names = portal[2][0]
                out += (
                    b.row_description([b.Column(n, t.TEXT) for n in names]) if names else b.NO_DATA
                )
        elif kind is wire.Execute:
            portal = session.portals[event.portal]
            names, rows, tag = portal[2] or await self.statement(session, portal[0], portal[1])
            portal[2] = None
            out += b"".join([b.data_row(row) for row in rows]) + b.command_complete(tag)
        elif kind is wire.Close:
            (session.statements if event.kind == "S" else session.portals).pop(event.name, None)
            out += b.CLOSE_COMPLETE

    # ---- statements ----

    async def statement(self, session, text, values):
        """Runs one statement after its work: (column names, rows, command tag)."""
        tag, sql = untagged(text)
        word = sql.split(None, 1)[0].upper()
        if session.failed and word not in ("ROLLBACK", "COMMIT"):
            raise EngineError("25P02", "current transaction is aborted")
        shard = shard_of(tag) if "range=" in tag else session.shard
        if word in ("BEGIN", "ROLLBACK", "COMMIT"):
            return await self.control(session, word, shard)
        if word in ("SET", "SHOW"):
            return [], [], word
        if shard is None:
            shard = self.guess(values)
        if shard not in self.settings.shards:
            raise EngineError("MN001", f"range {shard} is not held here")
        if self.faults.poison and any(
            isinstance(v, str) and v.startswith(self.faults.poison) for v in values
        ):
            self.poison_crashed = True
            self.stop()
        await self.work(session, sql)
        if word in ("SELECT", "TABLE"):
            names, rows, _ = self.store.run(shard, sql, values)
            await self.work(session, None, len(rows) * self.settings.row_us / 1e6)
            self.see("done", sql, values, tag, shard)
            return names, rows, f"SELECT {len(rows)}"
        if session.transaction is not None:
            session.transaction.append((sql, values))
            session.shard = shard
            names, rows, count = self.store.run_together(shard, session.transaction, False)[-1]
        else:
            ((names, rows, count),) = self.store.run_together(shard, [(sql, values)], True)
            self.see("commit", sql, values, tag, shard)
        return names, rows, f"INSERT 0 {count}" if word == "INSERT" else f"{word} {count}"

    def guess(self, values):
        """The range of a statement that carries no tag: a driver's own; the first value that is a
        bound tells.
        """
        for value in values:
            if isinstance(value, int) and value in self.store.bounds:
                return self.store.bounds.index(value)
        return min(self.settings.shards, default=0)

    async def control(self, session, word, shard):
        if word == "BEGIN":
            session.transaction, session.failed, session.shard = [], False, shard
            return [], [], "BEGIN"
        statements, failed = session.transaction, session.failed
        session.transaction, session.failed = None, False
        if word == "ROLLBACK" or failed or statements is None:
            return [], [], "ROLLBACK" if word == "ROLLBACK" or failed else "COMMIT"
        await self.work(session, None, self.settings.work_ms / 4000)
        if statements:
            self.store.run_together(session.shard, statements, True)
            for sql, values in statements:
                self.see("commit", sql, values, "", session.shard)
            self.forget_keys(session.shard)
            if self.rng.random() < self.faults.lose:
                await trio.sleep_forever()
        return [], [], "COMMIT"

    def forget_keys(self, shard):
        """Keys are dropped once their window has passed."""
        now = trio.current_time()
        db = self.store.ranges[shard]
        db.execute("UPDATE mothnotch_keys SET at = ? WHERE at IS NULL", (now,))
        db.execute(
            "DELETE FROM mothnotch_keys WHERE at < ?", (now - self.settings.key_window_s - 1.0,)
        )

    async def work(self, session, sql, seconds=None):
        """Waits for a core and holds it for the work; a cancel ends it with 57014."""
        trouble = self.faults
        if seconds is None:
            if self.rng.random() < trouble.errors:
                raise EngineError("58000", "the stand-in was told to fail")
            seconds = self.settings.work_ms / 1000 * self.rng.uniform(0.6, 1.4)
            self.push(seconds)
        seconds = seconds * trouble.slow / self.capacity()
        if not seconds and not trouble.hang:
            return
        with trio.CancelScope() as session.scope:
            async with self.cores:
                await trio.sleep(seconds)
                while self.faults.hang:
                    await trio.sleep(0.02)
                while trio.current_time() < trouble.pause_until:
                    await trio.sleep_until(trouble.pause_until)
        cancelled = session.scope.cancelled_caught
        session.scope = None
        if cancelled:
            raise EngineError("57014", "canceling statement due to user request")

    def push(self, seconds):
        """A cold leaf that is sent more than a multiple of what it can do for so long falls over,
        and stays down.
        """
        now = trio.current_time()
        self.sent.append((now, seconds))
        while self.sent and self.sent[0][0] < now - self.settings.fall_s:
            self.sent.popleft()
        if not self.cold or now - self.started > self.settings.cold_s + self.settings.fall_s:
            return
        able = (
            self.settings.fall_multiple
            * self.capacity()
            * self.settings.cores
            * self.settings.fall_s
        )
        if sum(work for _, work in self.sent) > able:
            self.overload_crashed = True
            self.see("fell")
            self.stop()


def untagged(text):
    """(the comment in front of a statement, the statement)."""
    found = TAG.match(text)
    return (found[1], text[found.end() :]) if found else ("", text)


def shard_of(tag):
    return int(tag.split("range=")[1].split()[0]) if "range=" in tag else None


class Fleet:
    """Leaves and their roster: who is up, draining or gone, as a roster file or catalogue would
    say.
    """

    def __init__(self, leaves, nursery):
        self.leaves, self.nursery = {leaf.settings.name: leaf for leaf in leaves}, nursery
        self.states = {name: "up" for name in self.leaves}

    async def start(self, cold=False):
        for leaf in self.leaves.values():
            await self.nursery.start(leaf.run, cold)

    async def restart(self, name):
        """A new process in the place of the old: cold."""
        leaf = self.leaves[name]
        leaf.faults = LeafFaults()
        if not leaf.up:
            await self.nursery.start(leaf.run, True)

    def roster(self, cells):
        """The roster's entries, as the file states them."""
        out = []
        for n, (name, leaf) in enumerate(self.leaves.items()):
            out.append(
                {
                    "name": name,
                    "address": leaf.settings.address,
                    "zone": leaf.settings.zone,
                    "cell": n % cells,
                    "state": self.states[name],
                    "started": leaf.started_wall,
                }
            )
        return out
