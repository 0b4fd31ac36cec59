"""The PostgreSQL front: connections, startup, and the simple and extended protocols, over a
Session.
"""

import os
from collections import OrderedDict
from dataclasses import dataclass

import trio

from mothnotch.fronts.session import REPORTED, Session, Stream, duration_ms
from mothnotch.net import close_now, serve
from mothnotch.pgwire import auth
from mothnotch.pgwire import backend as b
from mothnotch.pgwire import server as wire
from mothnotch.pgwire import types as t
from mothnotch.pgwire.framing import ProtocolError
from mothnotch.sql import local
from mothnotch.sql.errors import SqlError, unsupported

READ_AHEAD = 1 << 18  # bytes of a client's that may wait while a statement of its runs
MOST_PORTALS = 64
STREAM_ROWS = 128  # of a long answer taken at once
CHUNK = 1 << 17  # bytes of rows put together before they are sent


@dataclass(slots=True)
class Prepared:
    plan: object  # None: an empty statement
    oids: tuple


@dataclass(slots=True)
class Portal:
    plan: object
    parameters: tuple
    formats: object  # the Bind, for its result formats
    answer: object = None
    at: int = 0


class Client:
    """One connection, from accept to close."""

    def __init__(self, front, stream):
        self.front, self.stream = front, stream
        self.wire = wire.ServerConnection(front.config.front.message_limit)
        self.more, self.room = trio.Event(), trio.Event()
        self.session, self.gone = None, False
        self.statements, self.portals = OrderedDict(), {}
        self.out = bytearray()

    # ---- bytes ----

    async def read_startup(self):
        while True:
            event = self.wire.next_event()
            if event is not None:
                return event
            data = await self.stream.receive_some(1 << 14)
            if not data:
                raise EOFError
            self.wire.receive(data)

    async def reader(self, scope):
        """Reads ahead, so that a client that leaves is seen while its statement runs."""
        try:
            while True:
                while self.wire.buffered_bytes > READ_AHEAD + self.wire.framer.limit:
                    self.room = trio.Event()
                    await self.room.wait()
                data = await self.stream.receive_some(1 << 16)
                if not data:
                    break
                self.wire.receive(data)
                self.more.set()
        except (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        self.gone = True
        scope.cancel()

    async def next_event(self):
        while True:
            # Made before the look: what arrives during the flush must set this very event, or
            # nobody wakes.
            self.more = trio.Event()
            event = self.wire.next_event()
            if event is not None:
                return event
            await self.flush()
            self.room.set()
            seconds, sqlstate, text = self.patience()
            with trio.move_on_after(seconds) as scope:
                await self.more.wait()
            if scope.cancelled_caught and not self.more.is_set():
                raise ProtocolError(text, sqlstate)

    def patience(self):
        """(seconds a client may stay silent, and what it is told then)."""
        limit = (
            self.front.config.front.idle_s,
            "57P05",
            "terminating connection due to idle-session timeout",
        )
        inside = duration_ms(self.session.get("idle_in_transaction_session_timeout")) / 1000
        if inside and self.session.transaction.status.value != b"I" and inside < limit[0]:
            return inside, "25P03", "terminating connection due to idle-in-transaction timeout"
        return limit

    async def flush(self):
        if self.out:
            data, self.out = bytes(self.out), bytearray()
            sent = self.front.network.send_now(self.stream, data)
            if sent < len(data):
                with trio.fail_after(self.front.config.front.write_timeout_s):
                    await self.stream.send_all(data[sent:])

    def error(self, error, extended):
        fields = b.ErrorFields(
            "ERROR", error.sqlstate, error.text, getattr(error, "detail", ""), error.hint
        )
        self.out += b.error(fields)
        self.wire.on_error_sent(extended)

    # ---- startup ----

    async def run(self):
        front = self.front
        try:
            try:
                with trio.fail_after(front.config.auth.timeout_s):
                    if not await self.startup():
                        return
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self.reader, nursery.cancel_scope)
                    await self.serve()
                    nursery.cancel_scope.cancel()
            except BaseExceptionGroup as group:
                while isinstance(group, BaseExceptionGroup) and len(group.exceptions) == 1:
                    group = group.exceptions[0]
                raise group from None
        except ProtocolError as error:
            front.log.info("client broke the protocol", error=str(error))
            await self.farewell(error.sqlstate, str(error))
        except auth.AuthenticationError as error:
            front.log.info("client was not let in", error=str(error))
            await self.farewell("28P01", str(error))
        except trio.TooSlowError:
            if self.session is None:
                front.log.info("client did not finish its startup in time")
                await self.farewell("57014", "canceling authentication due to timeout")
        except (EOFError, OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        finally:
            if self.session is not None:
                front.clients.pop(self.session.pid, None)
            self.drop_portals()
            close_now(self.stream)

    async def farewell(self, sqlstate, text):
        """A last error, as far as the client still takes it."""
        try:
            with trio.move_on_after(1):
                await self.stream.send_all(
                    bytes(self.out) + b.error(b.ErrorFields("FATAL", sqlstate, text))
                )
        except (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            pass

    async def startup(self):
        """Until the client may ask; false if it only wanted to cancel."""
        front = self.front
        declined = 0
        while True:
            event = await self.read_startup()
            if type(event) is wire.CancelRequest:
                front.cancel(event)
                return False
            if type(event) is not wire.EncryptionRequest:
                break
            declined += 1
            if declined > 2:
                raise ProtocolError("encryption was asked for again and again")
            await self.stream.send_all(b"N")
        parameters = event.parameters
        if parameters.get("replication", "false").lower() not in ("false", "off", "no", "0"):
            raise ProtocolError("replication connections are not taken", "0A000")
        user, database = parameters["user"], parameters["database"]
        self.out += self.wire.negotiate_version(parameters)
        if front.config.auth.method == "trust":
            self.out += b.AUTH_OK
        else:
            self.out += b.authentication_sasl([auth.MECHANISM])
            scram, done = auth.ScramServer(user, front.verifiers.get), False
            while not done:
                await self.flush()
                event = await self.read_startup()
                if type(event) is not wire.Password:
                    raise auth.AuthenticationError("the client left during authentication")
                reply, done = scram.step(event)
                self.out += reply
        self.wire.on_authenticated()
        pid, secret = wire.key_data_from_random(front.random(8))
        while pid in front.clients or pid == 0:
            pid, secret = wire.key_data_from_random(front.random(8))
        self.secret = secret
        self.session = Session(front.service, user, database, pid)
        for name, value in parameters.items():
            if name not in ("user", "database", "replication", "options") and not name.startswith(
                "_pq_."
            ):
                try:
                    self.session.put(name.lower(), value)
                except SqlError as error:
                    raise ProtocolError(error.text, error.sqlstate) from None
        self.options(parameters.get("options", ""))
        front.clients[pid] = self
        for name, shown in REPORTED.items():
            self.out += b.parameter_status(shown, self.session.get(name))
        self.out += b.key_data(pid, secret) + b.READY[b"I"]
        await self.flush()
        return True

    def options(self, text):
        """The startup packet's command-line options: `-c name=value`, `--name=value`."""
        words = text.replace("\\ ", "\0").split()
        for n, word in enumerate(words):
            word = word.replace("\0", " ")
            pair = (
                word[2:]
                if word[:2] in ("-c", "--")
                else words[n].replace("\0", " ")
                if n and words[n - 1] == "-c"
                else ""
            )
            name, equals, value = pair.partition("=")
            if equals:
                try:
                    self.session.put(
                        name.replace("-", "_").lower() if word[:2] == "--" else name.lower(), value
                    )
                except SqlError as error:
                    raise ProtocolError(error.text, error.sqlstate) from None

    # ---- events ----

    async def serve(self):
        handlers = {
            wire.Query: self.on_query,
            wire.Parse: self.on_parse,
            wire.Bind: self.on_bind,
            wire.Describe: self.on_describe,
            wire.Execute: self.on_execute,
            wire.Close: self.on_close,
        }
        while True:
            event = await self.next_event()
            kind = type(event)
            if kind is wire.Terminate:
                return
            if kind is wire.Sync:
                self.session.synced()
                if self.session.transaction.status.value == b"I":
                    self.drop_portals()
                self.out += self.ready()
            elif kind is wire.Flush:
                await self.flush()
            elif kind is wire.FunctionCall:
                self.error(unsupported("the function call protocol", "call it in a SELECT"), False)
                self.out += self.ready()
            elif kind is not wire.CopyData:
                try:
                    await handlers[kind](event)
                except (
                    OSError,
                    trio.TooSlowError,
                    trio.BrokenResourceError,
                    trio.ClosedResourceError,
                ):
                    raise
                except SqlError as error:
                    self.session.transaction.mark_failed()
                    self.error(error, kind is not wire.Query)
                    if kind is wire.Query:
                        self.out += self.ready()
                except Exception as error:
                    # A defect of the root's must cost one statement, not every client of this root.
                    self.front.log.error("unexpected error", error=repr(error), exc_info=True)
                    self.session.transaction.mark_failed()
                    self.error(
                        SqlError("XX000", f"internal error: {type(error).__name__}"),
                        kind is not wire.Query,
                    )
                    if kind is wire.Query:
                        self.out += self.ready()
            if len(self.out) > CHUNK:
                await self.flush()
            if kind is wire.Sync or kind is wire.Query:
                # Statements that need no leaf never wait: a pipeline of them must not hold up
                # everybody else.
                await trio.lowlevel.checkpoint()

    def ready(self):
        return b.READY[self.session.transaction.status.value]

    async def on_query(self, event):
        self.session.synced()
        pieces = self.front.service.planner.split(event.sql)
        if not pieces:
            self.out += b.EMPTY_QUERY
        # All are planned before the first runs: a bad one must not follow on the effects of others.
        plans = [
            await self.planned(self.front.service.planner.plan_text, piece) for piece in pieces
        ]
        self.check_together([plan for plan, _ in plans])
        for plan, values in plans:
            if len(plan.oids) != len(values):
                raise SqlError("42P02", "there is no parameter $1")
            answer = await self.session.execute(plan, values)
            self.ran(plan, answer)
            tag = answer.tag
            if answer.rows is not None:
                self.out += b.row_description([column(name, oid) for name, oid in plan.columns])
                if type(answer.rows) is Stream:
                    tag = f"{tag} {await self.stream_rows(answer.rows, None, plan)}"
                else:
                    await self.rows(answer.rows, None, plan)
            self.out += b.command_complete(tag)
        self.session.synced()
        self.out += self.ready()

    async def planned(self, plan, text, *declared):
        """A plan; a long text is read beside the loop, as the parser would hold up everybody for
        its time.
        """
        if self.front.service.planner.is_cheap_to_plan(text, *declared):
            return plan(text, *declared)
        return await self.front.network.run_in_thread(plan, text, *declared)

    def check_together(self, plans):
        """Several statements in one query text are one transaction to PostgreSQL: a write among
        them, outside of an explicit block, could not be undone with the others.
        """
        if len(plans) < 2:
            return
        inside = self.session.transaction.status.value != b"I"
        for plan in plans:
            if type(plan.statement) is local.Begin:
                inside = True
            elif type(plan.statement) in (local.Commit, local.Rollback):
                inside = False
            elif plan.kind == "write" and not inside:
                raise unsupported(
                    "a write among several statements of one query text",
                    "they would have to commit "
                    "together; use BEGIN and COMMIT, or send them one by one",
                )

    def ran(self, plan, answer):
        if type(plan.statement) in (local.Deallocate, local.Discard):
            self.deallocate(plan.statement)
        for fields in answer.notices:
            self.out += b.notice(fields)
        for name, value in answer.changed.items():
            self.out += b.parameter_status(name, value)

    async def rows(self, rows, bind, plan):
        binary = [
            n for n in range(len(plan.columns)) if bind is not None and bind.result_format_of(n)
        ]
        for row in rows:
            if binary:
                row = list(row)
                for n in binary:
                    row[n] = t.convert_format(plan.columns[n][1], row[n], True)
            self.out += b.data_row(row)
            if len(self.out) > CHUNK:
                await self.flush()

    async def stream_rows(self, stream, bind, plan, most=None):
        """Sends a stream's rows, `most` at most; gives how many. At its end, and on any error, it
        is closed.
        """
        sent = 0
        try:
            while most is None or sent < most:
                rows = await stream.take(
                    STREAM_ROWS if most is None else min(STREAM_ROWS, most - sent)
                )
                if not rows:
                    break
                await self.rows(rows, bind, plan)
                sent += len(rows)
        except BaseException:
            stream.close()
            raise
        return sent

    async def on_parse(self, event):
        pieces = self.front.service.planner.split(event.sql)
        if len(pieces) > 1:
            raise SqlError("42601", "cannot insert multiple commands into a prepared statement")
        if event.name and event.name in self.statements:
            raise SqlError("42P05", f'prepared statement "{event.name}" already exists')
        plan = (
            (await self.planned(self.front.service.planner.plan, pieces[0], tuple(event.oids)))
            if pieces
            else None
        )
        if event.name and len(self.statements) >= self.front.config.front.prepared:
            raise SqlError(
                "53000",
                f"a session keeps {self.front.config.front.prepared} prepared statements at most",
                "Close those not needed (DEALLOCATE).",
            )
        self.statements[event.name] = Prepared(plan, plan.oids if plan else ())
        self.out += b.PARSE_COMPLETE

    def prepared(self, name):
        if name not in self.statements:
            raise SqlError("26000", f'prepared statement "{name}" does not exist')
        return self.statements[name]

    async def on_bind(self, event):
        prepared = self.prepared(event.statement)
        if len(event.values) != len(prepared.oids):
            raise SqlError(
                "08P01",
                f"bind message supplies {len(event.values)} parameters, but prepared statement "
                f'"{event.statement}" requires {len(prepared.oids)}',
            )
        shown = len(prepared.plan.columns) if prepared.plan else 0
        if len(event.result_formats) > 1 and len(event.result_formats) != shown:
            raise SqlError(
                "08P01",
                f"bind message has {len(event.result_formats)} result formats but query has "
                f"{shown} columns",
            )
        if event.portal and event.portal not in self.portals and len(self.portals) >= MOST_PORTALS:
            raise SqlError("53000", f"a session keeps {MOST_PORTALS} portals at most")
        values = []
        for n, (raw, oid) in enumerate(zip(event.values, prepared.oids, strict=True)):
            try:
                values.append(
                    None
                    if raw is None
                    else (t.from_binary if event.format_of(n) else t.from_text)(oid, raw)
                )
            except t.InvalidValueError as error:
                raise SqlError(error.sqlstate, f"parameter ${n + 1}: {error}") from None
            except UnicodeDecodeError:
                raise SqlError("22021", f"parameter ${n + 1} is not UTF-8") from None
            if isinstance(values[-1], str) and "\0" in values[-1]:
                raise SqlError("22021", f"parameter ${n + 1} holds a zero byte")
        self.drop_portals(event.portal)
        self.portals[event.portal] = Portal(prepared.plan, tuple(values), event)
        self.out += b.BIND_COMPLETE

    def drop_portals(self, *names):
        """Forgets portals, all if none is named; what their answers are held in is let go."""
        for name in names or list(self.portals):
            portal = self.portals.pop(name, None)
            if (
                portal is not None
                and portal.answer is not None
                and type(portal.answer.rows) is Stream
            ):
                portal.answer.rows.close()

    def portal(self, name):
        if name not in self.portals:
            raise SqlError("34000", f'portal "{name}" does not exist')
        return self.portals[name]

    async def on_describe(self, event):
        if event.kind == "S":
            prepared = self.prepared(event.name)
            self.out += b.parameter_description(prepared.oids)
            plan, bind = prepared.plan, None
        else:
            portal = self.portal(event.name)
            plan, bind = portal.plan, portal.formats
        if plan is None or not plan.columns:
            self.out += b.NO_DATA
        else:
            self.out += b.row_description(
                [
                    column(name, oid, bind.result_format_of(n) if bind else 0)
                    for n, (name, oid) in enumerate(plan.columns)
                ]
            )

    async def on_execute(self, event):
        portal = self.portal(event.portal)
        if portal.plan is None:
            self.out += b.EMPTY_QUERY
            return
        if portal.answer is None:
            portal.answer = await self.session.execute(portal.plan, portal.parameters)
            self.ran(portal.plan, portal.answer)
        answer = portal.answer
        if answer.rows is None:
            self.out += b.command_complete(answer.tag)
            return
        if type(answer.rows) is Stream:
            most = event.max_rows if event.max_rows > 0 else None
            sent = await self.stream_rows(answer.rows, portal.formats, portal.plan, most)
            # Whether that was the last row is not known before the next is asked for: PostgreSQL
            # suspends then too.
            self.out += (
                b.PORTAL_SUSPENDED if sent == most else b.command_complete(f"{answer.tag} {sent}")
            )
            return
        rows = (
            answer.rows[portal.at : portal.at + event.max_rows]
            if event.max_rows > 0
            else answer.rows[portal.at :]
        )
        await self.rows(rows, portal.formats, portal.plan)
        portal.at += len(rows)
        if event.max_rows > 0 and portal.at < len(answer.rows):
            self.out += b.PORTAL_SUSPENDED
            return
        self.out += b.command_complete(
            answer.tag if portal.at == len(rows) else f"{answer.tag.split()[0]} {len(rows)}"
        )

    def deallocate(self, statement):
        if type(statement) is local.Discard or statement.name is None:
            self.statements.clear()
        else:
            self.prepared(statement.name)
            del self.statements[statement.name]

    async def on_close(self, event):
        if event.kind == "S":
            self.statements.pop(event.name, None)
        else:
            self.drop_portals(event.name)
        self.out += b.CLOSE_COMPLETE


def column(name, oid, format=0):
    return b.Column(name, oid, t.SIZES.get(oid, -1), format)


class PgFrontend:
    """All connections of the front. `random(n)` gives n bytes for secrets, a seeded source under a
    virtual clock.
    """

    def __init__(self, service, config, network, log, random=os.urandom):
        self.service, self.config, self.network, self.log, self.random = (
            service,
            config,
            network,
            log,
            random,
        )
        self.clients = {}
        self.verifiers = {}
        if config.auth.method != "trust":
            self.verifiers = {
                user: auth.make_verifier(password) for user, password in config.auth.users.items()
            }

    def cancel(self, event):
        """A CancelRequest ends what that client runs now; a wrong secret does nothing, and says
        nothing.
        """
        client = self.clients.get(event.pid)
        if client is not None and client.secret == event.secret:
            client.session.cancel()

    async def client(self, stream):
        await Client(self, stream).run()

    async def turn_away(self, stream):
        await Client(self, stream).farewell("53300", "sorry, too many clients already")
        close_now(stream)

    async def run(self, listeners, nursery):
        await serve(
            listeners, self.client, nursery, self.config.front.most_connections, self.turn_away
        )
