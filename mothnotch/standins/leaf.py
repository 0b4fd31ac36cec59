"""A stand-in leaf: the PostgreSQL wire protocol in front of a Store, with a limited number of
cores, service times, a cold start and injected faults.

It records with times which statements reach it, so that the audit can check the root from the
leaf's side. The fields of `LeafFaults` switch faults on; each one behaves as a client would observe
it on a real server.
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
    """Faults that are injected into a leaf."""

    hang: bool = False  # accepts connections and reads, and never answers
    slow: float = 1.0  # factor on every service time
    errors: float = 0.0  # fraction of statements that fail at once
    pause_until: float = 0.0  # the process pauses until this time
    idle_reap_s: float | None = None  # closes connections that are idle for longer
    silent_reap: bool = False  # ... by ignoring them, without a close that the peer sees
    lose: float = 0.0  # fraction of commits whose confirmation never reaches the peer
    poison: str = ""  # a statement with a value of this prefix ends the process


@dataclass(slots=True)
class LeafSettings:
    """Settings of one leaf."""

    name: str
    address: str
    zone: str = ""
    shards: frozenset = frozenset()
    cores: int = 2
    work_ms: float = 2.0  # mean time of one statement on a warm core; varies by up to 40%
    row_us: float = 2.0  # additional time for each returned row
    cold_from: float = 1.0  # fraction of its capacity just after a cold start
    cold_s: float = 0.0  # time until it has its full capacity
    fall_multiple: float = 3.0  # a cold leaf crashes under more than this multiple of its capacity
    fall_s: float = 3.0  # within this period
    key_window_s: float = 1.2
    most_connections: int = 200


@dataclass(slots=True, frozen=True)
class LeafEvent:
    """One event at a leaf. `values` are the bound parameter values, as text."""

    at: float
    leaf: str
    what: str  # "arrived", "done", "commit", "fell", "up", "down"
    text: str = ""
    values: tuple = ()
    tag: str = ""
    shard: int | None = None


@dataclass(slots=True, eq=False)
class Session:
    """The state of one client connection."""

    pid: int
    secret: int
    stream: object
    wire: object
    statements: dict = field(default_factory=dict)
    portals: dict = field(default_factory=dict)
    transaction: list | None = None  # (sql, values) of its statements; None: no transaction
    shard: int | None = None
    failed: bool = False
    scope: object = None  # cancel scope of the running statement
    received: dict = field(default_factory=dict)  # statement name -> text, as soon as it is read
    skipping: bool = False  # after an error, messages until Sync are skipped
    last_used: float = 0.0  # infinity: reaped silently


class Leaf:
    """One leaf process, which can be started and stopped repeatedly.

    It calls `record` with a LeafEvent for each event. Only the tables survive a restart.
    """

    def __init__(self, settings, store, network, record, seed=0):
        self.settings, self.store, self.network, self.record = settings, store, network, record
        self.rng = random.Random(f"{settings.name}/{seed}")
        self.faults, self.started_wall, self.up = LeafFaults(), 0.0, False
        self.pids, self.sessions, self.scope = itertools.count(1000), {}, None
        self.overload_crashed = self.poison_crashed = False

    # ---- process ----

    async def run(self, cold=False, task_status=trio.TASK_STATUS_IGNORED):
        """Run the process until `stop` or a crash; an overload crash is final."""
        if self.overload_crashed:
            task_status.started()
            return
        self.cores = trio.Semaphore(self.settings.cores)
        self.started, self.cold, self.recent_work = trio.current_time(), cold, deque()
        self.started_wall = self.network.wall_time() if cold else self.network.wall_time() - 3600
        with trio.CancelScope() as self.scope:
            listeners = await self.network.listen(self.settings.address)
            self.settings.address = self.network.bound_address(listeners[0])
            self.up = True
            self.record_event("up")
            task_status.started()
            try:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self.close_idle_connections)
                    nursery.start_soon(
                        serve,
                        listeners,
                        self.serve_client,
                        nursery,
                        self.settings.most_connections,
                        self.refuse_connection,
                    )
            finally:
                self.up = False
                for session in list(self.sessions.values()):
                    close_now(session.stream)
                self.sessions.clear()
                for listener in listeners:
                    with trio.CancelScope(shield=True):
                        await listener.aclose()
        self.record_event("down")

    def stop(self):
        """End the process at once: connections are reset and new ones refused."""
        if self.scope is not None:
            self.scope.cancel()

    def record_event(self, what, text="", values=(), tag="", shard=None):
        self.record(
            LeafEvent(trio.current_time(), self.settings.name, what, text, values, tag, shard)
        )

    def capacity(self):
        """Return the fraction of its full capacity that the leaf has now."""
        if not self.cold or not self.settings.cold_s:
            return 1.0
        age = (trio.current_time() - self.started) / self.settings.cold_s
        return self.settings.cold_from + (1 - self.settings.cold_from) * min(1.0, age)

    async def refuse_connection(self, stream):
        """Refuse a connection above the limit, as PostgreSQL does."""
        try:
            await stream.send_all(
                b.error(b.ErrorFields("FATAL", "53300", "sorry, too many clients already"))
            )
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        close_now(stream)

    async def close_idle_connections(self):
        """Close idle connections while the fault `idle_reap_s` is on."""
        while True:
            await trio.sleep(0.05)
            idle = self.faults.idle_reap_s
            if idle is None:
                continue
            for session in list(self.sessions.values()):
                if session.scope is None and trio.current_time() - session.last_used > idle:
                    if self.faults.silent_reap:
                        session.last_used = float("inf")  # its data is ignored from now on
                    else:
                        close_now(session.stream)

    # ---- one connection ----

    async def serve_client(self, stream):
        """Serve one connection until it ends."""
        random_bytes = self.rng.getrandbits(64).to_bytes(8, "big")
        _, secret = wire.key_data_from_random(random_bytes)
        session = Session(next(self.pids), secret, stream, wire.ServerConnection(1 << 24))
        session.last_used = trio.current_time()
        try:
            await self.handle_messages(session)
        except (ProtocolError, OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        finally:
            self.sessions.pop(session.pid, None)
            close_now(stream)

    def read_messages(self, session, messages):
        """Append all received messages to `messages`.

        Each statement is recorded at the time when it arrives, not when it runs.
        """
        while True:
            event = session.wire.next_event()
            if event is None:
                return
            messages.append(event)
            if type(event) is wire.Parse:
                session.received[event.name] = event.sql
            elif type(event) is wire.Bind:
                tag, sql = split_tag(session.received.get(event.statement, ""))
                values = tuple(
                    None if v is None else v.decode("utf-8", "replace") for v in event.values
                )
                self.record_event("arrived", sql, values, tag, shard_of(tag))
            elif type(event) is wire.Query:
                self.record_event("arrived", event.sql)

    async def handle_messages(self, session):
        """Read and answer messages until the connection ends."""
        out, waiting = bytearray(), deque()
        while True:
            if not waiting:
                self.read_messages(session, waiting)
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
                if self.faults.hang or session.last_used == float("inf"):
                    await trio.sleep_forever()
                session.wire.receive(data)
                continue
            session.last_used = trio.current_time()
            kind = type(event)
            if kind is wire.Terminate:
                return
            if kind is wire.CancelRequest:
                target = self.sessions.get(event.pid)
                if (
                    target is not None
                    and target.secret == event.secret
                    and target.scope is not None
                ):
                    target.scope.cancel()
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
                await session.stream.send_all(bytes(out))  # raises if the peer has closed
                out.clear()
            elif kind is wire.Query:
                await self.run_simple_query(session, event.sql, out)
            else:
                try:
                    await self.handle_extended(session, event, out)
                except EngineError as error:
                    session.failed = session.transaction is not None
                    session.skipping = True
                    out += b.error(b.ErrorFields("ERROR", error.sqlstate, str(error)))

    def status(self, session):
        """Return the transaction status that ReadyForQuery reports."""
        return b"I" if session.transaction is None else b"E" if session.failed else b"T"

    async def run_simple_query(self, session, sql, out):
        """Run the statements of a simple query and append the reply to `out`."""
        try:
            for statement in sql.split(";"):
                if statement.strip():
                    names, rows, tag = await self.run_statement(session, statement.strip(), ())
                    if names:
                        out += b.row_description([b.Column(n, t.TEXT) for n in names])
                        out += b"".join(b.data_row(row) for row in rows)
                    out += b.command_complete(tag)
        except EngineError as error:
            session.failed = session.transaction is not None
            out += b.error(b.ErrorFields("ERROR", error.sqlstate, str(error)))
        out += b.ready(self.status(session))

    async def handle_extended(self, session, event, out):
        """Handle one message of the extended protocol and append the reply to `out`."""
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
                decode = t.from_binary if event.format_of(n) else t.from_text
                value = None if raw is None else decode(oid or t.TEXT, raw)
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
                portal[2] = await self.run_statement(session, portal[0], portal[1])
                names = portal[2][0]
                out += (
                    b.row_description([b.Column(n, t.TEXT) for n in names]) if names else b.NO_DATA
                )
        elif kind is wire.Execute:
            portal = session.portals[event.portal]
            names, rows, tag = portal[2] or await self.run_statement(session, portal[0], portal[1])
            portal[2] = None
            out += b"".join([b.data_row(row) for row in rows]) + b.command_complete(tag)
        elif kind is wire.Close:
            (session.statements if event.kind == "S" else session.portals).pop(event.name, None)
            out += b.CLOSE_COMPLETE

    # ---- statements ----

    async def run_statement(self, session, text, values):
        """Run one statement for its service time; return (column names, rows, command tag)."""
        tag, sql = split_tag(text)
        command = sql.split(None, 1)[0].upper()
        if session.failed and command not in ("ROLLBACK", "COMMIT"):
            raise EngineError("25P02", "current transaction is aborted")
        shard = shard_of(tag) if "range=" in tag else session.shard
        if command in ("BEGIN", "ROLLBACK", "COMMIT"):
            return await self.control_transaction(session, command, shard)
        if command in ("SET", "SHOW"):
            return [], [], command
        if shard is None:
            shard = self.infer_shard(values)
        if shard not in self.settings.shards:
            raise EngineError("MN001", f"range {shard} is not held here")
        if self.faults.poison and any(
            isinstance(v, str) and v.startswith(self.faults.poison) for v in values
        ):
            self.poison_crashed = True
            self.stop()
        await self.occupy_core(session, sql)
        if command in ("SELECT", "TABLE"):
            names, rows, _ = self.store.run(shard, sql, values)
            await self.occupy_core(session, None, len(rows) * self.settings.row_us / 1e6)
            self.record_event("done", sql, values, tag, shard)
            return names, rows, f"SELECT {len(rows)}"
        if session.transaction is not None:
            session.transaction.append((sql, values))
            session.shard = shard
            names, rows, count = self.store.run_together(shard, session.transaction, False)[-1]
        else:
            ((names, rows, count),) = self.store.run_together(shard, [(sql, values)], True)
            self.record_event("commit", sql, values, tag, shard)
        return names, rows, f"INSERT 0 {count}" if command == "INSERT" else f"{command} {count}"

    def infer_shard(self, values):
        """Infer the shard of a statement without a tag, such as a driver's own.

        The first value that is a range bound decides, else it is the first shard that the leaf
        holds.
        """
        for value in values:
            if isinstance(value, int) and value in self.store.bounds:
                return self.store.bounds.index(value)
        return min(self.settings.shards, default=0)

    async def control_transaction(self, session, command, shard):
        """Run BEGIN, COMMIT or ROLLBACK."""
        if command == "BEGIN":
            session.transaction, session.failed, session.shard = [], False, shard
            return [], [], "BEGIN"
        statements, failed = session.transaction, session.failed
        session.transaction, session.failed = None, False
        if command == "ROLLBACK" or failed or statements is None:
            return [], [], "ROLLBACK" if command == "ROLLBACK" or failed else "COMMIT"
        await self.occupy_core(session, None, self.settings.work_ms / 4000)
        if statements:
            self.store.run_together(session.shard, statements, True)
            for sql, values in statements:
                self.record_event("commit", sql, values, "", session.shard)
            self.forget_keys(session.shard)
            if self.rng.random() < self.faults.lose:
                await trio.sleep_forever()
        return [], [], "COMMIT"

    def forget_keys(self, shard):
        """Delete idempotency keys one second after their window has passed."""
        now = trio.current_time()
        db = self.store.ranges[shard]
        db.execute("UPDATE mothnotch_keys SET at = ? WHERE at IS NULL", (now,))
        db.execute(
            "DELETE FROM mothnotch_keys WHERE at < ?", (now - self.settings.key_window_s - 1.0,)
        )

    async def occupy_core(self, session, sql, seconds=None):
        """Wait for a core and occupy it for the service time; a cancel ends it with 57014."""
        faults = self.faults
        if seconds is None:
            if self.rng.random() < faults.errors:
                raise EngineError("58000", "the stand-in was told to fail")
            seconds = self.settings.work_ms / 1000 * self.rng.uniform(0.6, 1.4)
            self.track_load(seconds)
        seconds = seconds * faults.slow / self.capacity()
        if not seconds and not faults.hang:
            return
        with trio.CancelScope() as session.scope:
            async with self.cores:
                await trio.sleep(seconds)
                while self.faults.hang:
                    await trio.sleep(0.02)
                while trio.current_time() < faults.pause_until:
                    await trio.sleep_until(faults.pause_until)
        cancelled = session.scope.cancelled_caught
        session.scope = None
        if cancelled:
            raise EngineError("57014", "canceling statement due to user request")

    def track_load(self, seconds):
        """Crash a cold leaf, for good, if it gets too much work.

        The limit is `fall_multiple` times what its capacity permits within `fall_s`.
        """
        now = trio.current_time()
        self.recent_work.append((now, seconds))
        while self.recent_work and self.recent_work[0][0] < now - self.settings.fall_s:
            self.recent_work.popleft()
        if not self.cold or now - self.started > self.settings.cold_s + self.settings.fall_s:
            return
        limit = (
            self.settings.fall_multiple
            * self.capacity()
            * self.settings.cores
            * self.settings.fall_s
        )
        if sum(work for _, work in self.recent_work) > limit:
            self.overload_crashed = True
            self.record_event("fell")
            self.stop()


def split_tag(text):
    """Split a statement into (content of its leading comment, the rest)."""
    match = TAG.match(text)
    return (match[1], text[match.end() :]) if match else ("", text)


def shard_of(tag):
    """Return the shard that a tag names, or None."""
    return int(tag.split("range=")[1].split()[0]) if "range=" in tag else None


class Fleet:
    """Leaves and their states in a roster file or catalogue: up, draining or removed."""

    def __init__(self, leaves, nursery):
        self.leaves, self.nursery = {leaf.settings.name: leaf for leaf in leaves}, nursery
        self.states = {name: "up" for name in self.leaves}

    async def start(self, cold=False):
        for leaf in self.leaves.values():
            await self.nursery.start(leaf.run, cold)

    async def restart(self, name):
        """Restart a stopped leaf cold and without faults."""
        leaf = self.leaves[name]
        leaf.faults = LeafFaults()
        if not leaf.up:
            await self.nursery.start(leaf.run, True)

    def roster(self, cells):
        """Return the entries of the roster file."""
        entries = []
        for n, (name, leaf) in enumerate(self.leaves.items()):
            entries.append(
                {
                    "name": name,
                    "address": leaf.settings.address,
                    "zone": leaf.settings.zone,
                    "cell": n % cells,
                    "state": self.states[name],
                    "started": leaf.started_wall,
                }
            )
        return entries
