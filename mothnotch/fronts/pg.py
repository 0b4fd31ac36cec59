"""The PostgreSQL frontend: connections, startup, and the simple and extended query protocols.

Statements are executed by the Session of each connection.
"""

import os
from collections import OrderedDict
from dataclasses import dataclass

import trio

from mothnotch.decisions.client_input import INPUT_PASS_S, InputBudget
from mothnotch.decisions.resource_limits import SQL_INPUT_MEMORY_SHARE
from mothnotch.fronts.session import REPORTED_SETTINGS, RowStream, Session, duration_ms
from mothnotch.net import TimeSlice, close_now, serve
from mothnotch.pgwire import auth
from mothnotch.pgwire import backend as b
from mothnotch.pgwire import server as wire
from mothnotch.pgwire import types as t
from mothnotch.pgwire.framing import ProtocolError
from mothnotch.sql import local
from mothnotch.sql.errors import SqlError, unsupported

READ_AHEAD_BYTES = 1 << 18  # maximum bytes that a client may send ahead while its statement runs
MAX_PORTALS = 64
STREAM_BATCH_ROWS = 128  # rows that are taken from a large result at once
FLUSH_BYTES = 1 << 17  # bytes of output that are buffered before they are sent


READ_BYTES = 1 << 16  # maximum size of a read of unread input before a session ends
STOP_POLL_S = 0.02  # interval at which a stopping root checks whether any session is left


@dataclass(slots=True)
class PreparedStatement:
    plan: object  # None for an empty statement
    oids: tuple
    text_bytes: int = 0


@dataclass(slots=True)
class Portal:
    plan: object
    parameters: tuple
    bind: object  # the Bind message, for its result formats
    result: object = None
    rows_sent: int = 0


class Client:
    """The connection of one client, from accept to close."""

    def __init__(self, frontend, stream):
        self.frontend, self.stream = frontend, stream
        self.wire = wire.ServerConnection(frontend.config.front.message_limit)
        self.data_received, self.input_consumed = trio.Event(), trio.Event()
        self.session, self.disconnected = None, False
        self.statements, self.portals = OrderedDict(), {}
        self.output = bytearray()
        # Whether the session waits for the rest of a message, and the error that ends it.
        self.awaits_input, self.input_error = False, None
        self.time_slice = TimeSlice(INPUT_PASS_S)

    # ---- bytes ----

    async def read_startup(self):
        """Return the next event before reading ahead has started; raise EOFError at the end."""
        while True:
            event = self.wire.next_event()
            if event is not None:
                return event
            data = await self.stream.receive_some(1 << 14)
            if not data:
                raise EOFError
            self.wire.receive(data)

    async def read_ahead(self, scope):
        """Read ahead, so that a disconnect is detected while a statement runs.

        Cancel `scope` once the client has disconnected.
        """
        try:
            while True:
                while self.wire.buffered_bytes > READ_AHEAD_BYTES + self.wire.framer.limit:
                    self.input_consumed = trio.Event()
                    await self.input_consumed.wait()
                data = await self.stream.receive_some(1 << 16)
                if not data:
                    break
                self.wire.receive(data)
                self.note_input()
                self.frontend.reduce_input()
                self.data_received.set()
        except (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        self.disconnected = True
        scope.cancel()

    def note_input(self):
        """Account for the memory of the session's input."""
        self.frontend.input_budget.set(self, self.wire.buffered_bytes)

    def note_statements(self):
        """Account for the memory of its prepared statements."""
        text_bytes = sum(statement.text_bytes for statement in self.statements.values())
        self.frontend.statement_budget.set(self, text_bytes)

    async def next_event(self):
        """Return the next event; flush the output before waiting for it.

        Return None if the root shuts down and all input is answered.
        """
        while True:
            # Created before the buffer is checked: data that arrives during the flush must set the
            # event that is awaited below, or the wakeup is lost.
            self.data_received = trio.Event()
            if self.input_error is not None:
                raise self.input_error
            event = self.wire.next_event()
            if event is not None:
                return event
            self.note_input()
            await self.flush()
            if self.frontend.stopping and self.is_answered():
                return None
            self.input_consumed.set()
            seconds, sqlstate, text = self.idle_limit()
            self.awaits_input = True
            with trio.move_on_after(seconds) as scope:
                await self.data_received.wait()
            self.awaits_input = False
            if (
                scope.cancelled_caught
                and not self.data_received.is_set()
                and not self.receive_unread()
            ):
                raise ProtocolError(text, sqlstate)

    def receive_unread(self):
        """Receive input that has arrived but was not read yet; return whether there was any."""
        found = self.frontend.network.receive_now(self.stream, READ_BYTES)
        data = found and found[0]
        if data:
            self.wire.receive(data)
            self.data_received.set()
        return bool(data)

    def is_answered(self):
        """Return whether all input that has arrived is answered.

        Part of a message counts as unanswered, as its rest may be on its way.
        """
        return not self.receive_unread() and not self.wire.buffered_bytes

    def idle_limit(self):
        """Return (seconds a client may be idle, SQLSTATE and text of the error after that)."""
        limit = (
            self.frontend.config.front.idle_s,
            "57P05",
            "terminating connection due to idle-session timeout",
        )
        in_transaction_s = (
            duration_ms(self.session.get_setting("idle_in_transaction_session_timeout")) / 1000
        )
        if (
            in_transaction_s
            and self.session.transaction.status.value != b"I"
            and in_transaction_s < limit[0]
        ):
            return (
                in_transaction_s,
                "25P03",
                "terminating connection due to idle-in-transaction timeout",
            )
        return limit

    async def flush(self):
        """Send the buffered output."""
        if self.output:
            data, self.output = bytes(self.output), bytearray()
            sent = self.frontend.network.send_now(self.stream, data)
            if sent < len(data):
                with trio.fail_after(self.frontend.config.front.write_timeout_s):
                    await self.stream.send_all(data[sent:])

    def append_error(self, error, extended):
        """Append an ErrorResponse to the output; `extended`: in the extended query protocol."""
        fields = b.ErrorFields(
            "ERROR", error.sqlstate, error.text, getattr(error, "detail", ""), error.hint
        )
        self.output += b.error(fields)
        self.wire.on_error_sent(extended)

    # ---- startup ----

    async def run(self):
        """Serve the client until it or the server ends the connection."""
        frontend = self.frontend
        was_shut_down = False  # stays so if the client disconnects, which cancels `serve`
        try:
            try:
                with trio.fail_after(frontend.config.auth.timeout_s):
                    if not await self.startup():
                        return
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self.read_ahead, nursery.cancel_scope)
                    was_shut_down = await self.serve()
                    nursery.cancel_scope.cancel()
                if was_shut_down:
                    await self.send_fatal_error(
                        "57P01", "terminating connection due to administrator command"
                    )
            except BaseExceptionGroup as group:
                while isinstance(group, BaseExceptionGroup) and len(group.exceptions) == 1:
                    group = group.exceptions[0]
                raise group from None
        except ProtocolError as error:
            frontend.log.info("client violated the protocol", error=str(error))
            await self.send_fatal_error(error.sqlstate, str(error))
        except auth.AuthenticationError as error:
            frontend.log.info("client authentication failed", error=str(error))
            await self.send_fatal_error("28P01", str(error))
        except trio.TooSlowError:
            if self.session is None:
                frontend.log.info("client startup timed out")
                await self.send_fatal_error("57014", "canceling authentication due to timeout")
        except (EOFError, OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        finally:
            if self.session is not None:
                frontend.clients.pop(self.session.pid, None)
            self.close_portals()
            frontend.input_budget.remove(self)
            frontend.statement_budget.remove(self)
            close_now(self.stream)

    async def send_fatal_error(self, sqlstate, text):
        """Send the buffered output and a FATAL error; give up after a second."""
        try:
            with trio.move_on_after(1):
                await self.stream.send_all(
                    bytes(self.output) + b.error(b.ErrorFields("FATAL", sqlstate, text))
                )
        except (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            pass

    async def startup(self):
        """Authenticate and create the session; return False after a CancelRequest."""
        frontend = self.frontend
        encryption_requests = 0
        while True:
            event = await self.read_startup()
            if type(event) is wire.CancelRequest:
                frontend.cancel(event)
                return False
            if type(event) is not wire.EncryptionRequest:
                break
            encryption_requests += 1
            # A client may send one SSLRequest and one GSSENCRequest.
            if encryption_requests > 2:
                raise ProtocolError("encryption was asked for again and again")
            await self.stream.send_all(b"N")
        parameters = event.parameters
        if parameters.get("replication", "false").lower() not in ("false", "off", "no", "0"):
            raise ProtocolError("replication connections are not taken", "0A000")
        user, database = parameters["user"], parameters["database"]
        self.output += self.wire.negotiate_version(parameters)
        if frontend.config.auth.method == "trust":
            self.output += b.AUTH_OK
        else:
            self.output += b.authentication_sasl([auth.MECHANISM])
            scram, done = auth.ScramServer(user, frontend.verifiers.get), False
            while not done:
                await self.flush()
                event = await self.read_startup()
                if type(event) is not wire.Password:
                    raise auth.AuthenticationError("the client left during authentication")
                reply, done = scram.step(event)
                self.output += reply
        self.wire.on_authenticated()
        pid, secret = wire.key_data_from_random(frontend.random(8))
        while pid in frontend.clients or pid == 0:
            pid, secret = wire.key_data_from_random(frontend.random(8))
        self.secret = secret
        self.session = Session(frontend.service, user, database, pid)
        for name, value in parameters.items():
            if name not in ("user", "database", "replication", "options") and not name.startswith(
                "_pq_."
            ):
                try:
                    self.session.set_setting(name.lower(), value)
                except SqlError as error:
                    raise ProtocolError(error.text, error.sqlstate) from None
        self.apply_options(parameters.get("options", ""))
        frontend.clients[pid] = self
        for name, reported_name in REPORTED_SETTINGS.items():
            self.output += b.parameter_status(reported_name, self.session.get_setting(name))
        self.output += b.key_data(pid, secret) + b.READY[b"I"]
        await self.flush()
        return True

    def apply_options(self, text):
        """Apply command-line options of the startup packet: `-c name=value`, `--name=value`."""
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
                    self.session.set_setting(
                        name.replace("-", "_").lower() if word[:2] == "--" else name.lower(), value
                    )
                except SqlError as error:
                    raise ProtocolError(error.text, error.sqlstate) from None

    # ---- events ----

    async def serve(self):
        """Handle events until the client ends the session, or the root does as it shuts down;
        return whether it was the root.
        """
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
            if event is None:
                return True
            kind = type(event)
            if kind is wire.Terminate:
                return False
            if kind is wire.Sync:
                self.session.on_sync()
                if self.session.transaction.status.value == b"I":
                    self.close_portals()
                self.output += self.ready_for_query()
            elif kind is wire.Flush:
                await self.flush()
            elif kind is wire.FunctionCall:
                self.append_error(
                    unsupported("the function call protocol", "call it in a SELECT"), False
                )
                self.output += self.ready_for_query()
            elif kind not in (wire.CopyData, wire.Skipped):
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
                    self.append_error(error, kind is not wire.Query)
                    if kind is wire.Query:
                        self.output += self.ready_for_query()
                except Exception as error:
                    # A bug in the root must fail one statement only, not all clients of the root.
                    self.frontend.log.error("unexpected error", error=repr(error), exc_info=True)
                    self.session.transaction.mark_failed()
                    self.append_error(
                        SqlError("XX000", f"internal error: {type(error).__name__}"),
                        kind is not wire.Query,
                    )
                    if kind is wire.Query:
                        self.output += self.ready_for_query()
            if len(self.output) > FLUSH_BYTES:
                await self.flush()
            # Statements that need no leaf do not wait: a pipeline of them, or of other messages,
            # must not block all other clients.
            if kind is wire.Sync or kind is wire.Query:
                await trio.lowlevel.checkpoint()
                self.time_slice.restart()
            else:
                await self.time_slice.yield_if_over()

    def ready_for_query(self):
        return b.READY[self.session.transaction.status.value]

    async def on_query(self, event):
        self.session.on_sync()
        statement_texts = await self.split(event.sql)
        if not statement_texts:
            self.output += b.EMPTY_QUERY
        # All are planned before the first is executed: if one is invalid, none may take effect.
        plans = []
        for statement_text in statement_texts:
            await self.time_slice.yield_if_over()
            plans.append(
                await self.make_plan(self.frontend.service.planner.plan_text, statement_text)
            )
        self.check_multi_statement_writes([plan for plan, _ in plans])
        for plan, values in plans:
            await self.time_slice.yield_if_over()
            if len(plan.oids) != len(values):
                raise SqlError("42P02", "there is no parameter $1")
            result = await self.session.execute(plan, values)
            self.append_effects(plan, result)
            tag = result.tag
            if result.rows is not None:
                self.output += b.row_description(
                    [column_description(name, oid) for name, oid in plan.columns]
                )
                if type(result.rows) is RowStream:
                    tag = f"{tag} {await self.send_stream(result.rows, None, plan)}"
                else:
                    await self.send_rows(result.rows, None, plan)
            self.output += b.command_complete(tag)
        self.session.on_sync()
        self.output += self.ready_for_query()

    async def split(self, text):
        """Return the texts of the statements of a query; a long one is split in a thread."""
        planner = self.frontend.service.planner
        if planner.is_cheap_to_plan(text):
            return planner.split(text)
        return await self.frontend.network.run_in_thread(planner.split, text)

    async def make_plan(self, plan, text, *declared):
        """Return the plan of a statement.

        A long text is planned in a thread, because parsing it would block the event loop.
        """
        if self.frontend.service.planner.is_cheap_to_plan(text, *declared):
            return plan(text, *declared)
        return await self.frontend.network.run_in_thread(plan, text, *declared)

    def check_multi_statement_writes(self, plans):
        """Reject a write among several statements of one query text, outside of a BEGIN block.

        PostgreSQL runs such statements in one transaction, but the root could not roll back the
        write together with the others.
        """
        if len(plans) < 2:
            return
        in_block = self.session.transaction.status.value != b"I"
        for plan in plans:
            if type(plan.statement) is local.Begin:
                in_block = True
            elif type(plan.statement) in (local.Commit, local.Rollback):
                in_block = False
            elif plan.kind == "write" and not in_block:
                raise unsupported(
                    "a write among several statements of one query text",
                    "they would have to commit "
                    "together; use BEGIN and COMMIT, or send them one by one",
                )

    def append_effects(self, plan, result):
        """Append the notices and changed settings of a statement; deallocate what it names."""
        if type(plan.statement) in (local.Deallocate, local.Discard):
            self.deallocate(plan.statement)
        for fields in result.notices:
            self.output += b.notice(fields)
        for name, value in result.changed_settings.items():
            self.output += b.parameter_status(name, value)

    async def send_rows(self, rows, bind, plan):
        """Send rows in the result formats of `bind`, or as text if it is None."""
        binary = [
            n for n in range(len(plan.columns)) if bind is not None and bind.result_format_of(n)
        ]
        for row in rows:
            if binary:
                row = list(row)
                for n in binary:
                    row[n] = t.convert_format(plan.columns[n][1], row[n], True)
            self.output += b.data_row(row)
            if len(self.output) > FLUSH_BYTES:
                await self.flush()

    async def send_stream(self, stream, bind, plan, max_rows=None):
        """Send at most `max_rows` rows of a stream and return their number.

        The stream is closed at its end and on any error.
        """
        sent = 0
        try:
            while max_rows is None or sent < max_rows:
                rows = await stream.take(
                    STREAM_BATCH_ROWS
                    if max_rows is None
                    else min(STREAM_BATCH_ROWS, max_rows - sent)
                )
                if not rows:
                    break
                await self.send_rows(rows, bind, plan)
                sent += len(rows)
        except BaseException:
            stream.close()
            raise
        return sent

    async def on_parse(self, event):
        statement_texts = await self.split(event.sql)
        if len(statement_texts) > 1:
            raise SqlError("42601", "cannot insert multiple commands into a prepared statement")
        if event.name and event.name in self.statements:
            raise SqlError("42P05", f'prepared statement "{event.name}" already exists')
        plan = (
            (
                await self.make_plan(
                    self.frontend.service.planner.plan, statement_texts[0], tuple(event.oids)
                )
            )
            if statement_texts
            else None
        )
        if event.name and len(self.statements) >= self.frontend.config.front.prepared:
            raise SqlError(
                "53000",
                f"a session keeps {self.frontend.config.front.prepared} prepared statements "
                "at most",
                "Close those not needed (DEALLOCATE).",
            )
        text_bytes = len(event.sql)
        budget = self.frontend.statement_budget
        if event.name and budget.total_bytes + text_bytes > budget.max_bytes:
            raise SqlError("53200", "the memory for prepared statements is full")
        self.statements[event.name] = PreparedStatement(plan, plan.oids if plan else (), text_bytes)
        self.note_statements()
        self.output += b.PARSE_COMPLETE

    def prepared_statement(self, name):
        if name not in self.statements:
            raise SqlError("26000", f'prepared statement "{name}" does not exist')
        return self.statements[name]

    async def on_bind(self, event):
        prepared = self.prepared_statement(event.statement)
        if len(event.values) != len(prepared.oids):
            raise SqlError(
                "08P01",
                f"bind message supplies {len(event.values)} parameters, but prepared statement "
                f'"{event.statement}" requires {len(prepared.oids)}',
            )
        column_count = len(prepared.plan.columns) if prepared.plan else 0
        if len(event.result_formats) > 1 and len(event.result_formats) != column_count:
            raise SqlError(
                "08P01",
                f"bind message has {len(event.result_formats)} result formats but query has "
                f"{column_count} columns",
            )
        if event.portal and event.portal not in self.portals and len(self.portals) >= MAX_PORTALS:
            raise SqlError("53000", f"a session keeps {MAX_PORTALS} portals at most")
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
        self.close_portals(event.portal)
        self.portals[event.portal] = Portal(prepared.plan, tuple(values), event)
        self.output += b.BIND_COMPLETE

    def close_portals(self, *names):
        """Remove portals, all if none is named, and release the storage of their results."""
        for name in names or list(self.portals):
            portal = self.portals.pop(name, None)
            if (
                portal is not None
                and portal.result is not None
                and type(portal.result.rows) is RowStream
            ):
                portal.result.rows.close()

    def find_portal(self, name):
        if name not in self.portals:
            raise SqlError("34000", f'portal "{name}" does not exist')
        return self.portals[name]

    async def on_describe(self, event):
        if event.kind == "S":
            prepared = self.prepared_statement(event.name)
            self.output += b.parameter_description(prepared.oids)
            plan, bind = prepared.plan, None
        else:
            portal = self.find_portal(event.name)
            plan, bind = portal.plan, portal.bind
        if plan is None or not plan.columns:
            self.output += b.NO_DATA
        else:
            self.output += b.row_description(
                [
                    column_description(name, oid, bind.result_format_of(n) if bind else 0)
                    for n, (name, oid) in enumerate(plan.columns)
                ]
            )

    async def on_execute(self, event):
        portal = self.find_portal(event.portal)
        if portal.plan is None:
            self.output += b.EMPTY_QUERY
            return
        if portal.result is None:
            portal.result = await self.session.execute(portal.plan, portal.parameters)
            self.append_effects(portal.plan, portal.result)
        result = portal.result
        if result.rows is None:
            self.output += b.command_complete(result.tag)
            return
        if type(result.rows) is RowStream:
            max_rows = event.max_rows if event.max_rows > 0 else None
            sent = await self.send_stream(result.rows, portal.bind, portal.plan, max_rows)
            # Whether more rows follow is only known once they are requested; PostgreSQL suspends
            # the portal in this case too.
            self.output += (
                b.PORTAL_SUSPENDED
                if sent == max_rows
                else b.command_complete(f"{result.tag} {sent}")
            )
            return
        rows = (
            result.rows[portal.rows_sent : portal.rows_sent + event.max_rows]
            if event.max_rows > 0
            else result.rows[portal.rows_sent :]
        )
        await self.send_rows(rows, portal.bind, portal.plan)
        portal.rows_sent += len(rows)
        if event.max_rows > 0 and portal.rows_sent < len(result.rows):
            self.output += b.PORTAL_SUSPENDED
            return
        self.output += b.command_complete(
            result.tag if portal.rows_sent == len(rows) else f"{result.tag.split()[0]} {len(rows)}"
        )

    def deallocate(self, statement):
        if type(statement) is local.Discard or statement.name is None:
            self.statements.clear()
        else:
            self.prepared_statement(statement.name)
            del self.statements[statement.name]
        self.note_statements()

    async def on_close(self, event):
        if event.kind == "S":
            self.statements.pop(event.name, None)
            self.note_statements()
        else:
            self.close_portals(event.name)
        self.output += b.CLOSE_COMPLETE


def column_description(name, oid, format=0):
    return b.Column(name, oid, t.SIZES.get(oid, -1), format)


class PgFrontend:
    """Serves all connections of PostgreSQL clients.

    `random(n)` returns n bytes for secrets; with a virtual clock it is a seeded source.
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
        memory_bytes = int(SQL_INPUT_MEMORY_SHARE * config.memory.limit_bytes)
        client_bytes = READ_AHEAD_BYTES + config.front.message_limit
        self.input_budget = InputBudget(memory_bytes, client_bytes)
        self.statement_budget = InputBudget(memory_bytes, client_bytes)
        self.stopping = False
        self.accept_scope = trio.CancelScope()
        self.verifiers = {}
        if config.auth.method != "trust":
            self.verifiers = {
                user: auth.make_verifier(password) for user, password in config.auth.users.items()
            }

    def reduce_input(self):
        """End the sessions that wait for the rest of a message, those with the largest input first,
        until the memory for clients' input suffices.
        """
        while self.input_budget.is_exceeded:
            client = self.input_budget.largest(
                client
                for client in self.clients.values()
                if client.awaits_input and client.wire.buffered_bytes and client.input_error is None
            )
            if client is None:
                return
            self.log.info("clients' input exceeds its memory", clients=len(self.clients))
            client.input_error = ProtocolError("the memory for clients' input is full", "53200")
            client.data_received.set()
            self.input_budget.remove(client)

    def cancel(self, event):
        """Cancel the statement that the client of a CancelRequest runs.

        A wrong secret is ignored without a response.
        """
        client = self.clients.get(event.pid)
        if client is not None and client.secret == event.secret:
            client.session.cancel()

    async def serve_client(self, stream):
        """Serve the client that is connected to a stream."""
        await Client(self, stream).run()

    async def reject(self, stream):
        """Reject a client, because there are too many connections."""
        await Client(self, stream).send_fatal_error("53300", "sorry, too many clients already")
        close_now(stream)

    async def run(self, listeners, nursery):
        """Accept connections until cancelled or stopped."""
        with self.accept_scope:
            await serve(
                listeners,
                self.serve_client,
                nursery,
                self.config.front.most_connections,
                self.reject,
            )
        for listener in listeners:
            await listener.aclose()

    def begin_shutdown(self, answer_by_us):
        """Accept no more connections, answer all statements by `answer_by_us`, and end each session
        once all its input is answered.
        """
        self.stopping = True
        self.accept_scope.cancel()
        self.service.answer_by_us = answer_by_us
        for client in self.clients.values():
            client.data_received.set()

    async def wait_for_sessions(self, until_s):
        """Wait until all sessions have ended, but not longer than until `until_s`."""
        with trio.move_on_at(until_s):
            # Sleep at least once: a client that was just accepted has no session yet.
            await trio.sleep(STOP_POLL_S)
            while self.clients:
                await trio.sleep(STOP_POLL_S)
