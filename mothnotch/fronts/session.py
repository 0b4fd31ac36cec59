"""One client's session over SQL: its settings, its transaction, and the running of plans through
the core.

No protocol shows here: `execute(plan, parameters)` gives an Answer or raises SqlError.
"""

import itertools
from dataclasses import dataclass, field

import trio

from mothnotch.decisions import coverage, outcomes, request_classes, transactions
from mothnotch.decisions.coverage import Coverage, RangeCoverage
from mothnotch.decisions.outcomes import FinalStatus
from mothnotch.leaves.payload import Read, Statement, Write, affected_rows
from mothnotch.pgwire import types as t
from mothnotch.pgwire.backend import ErrorFields
from mothnotch.root.core import OverloadedError, now_us
from mothnotch.root.request import PartSpec, Request
from mothnotch.sql import local
from mothnotch.sql.errors import SqlError, unsupported
from mothnotch.sql.gather import IN_MEMORY_LIMIT_BYTES, gather, gather_blocks

UNITS = {"us": 0.001, "ms": 1, "s": 1000, "min": 60_000, "h": 3_600_000, "d": 86_400_000, "": 1}
DEFAULTS = {
    "application_name": "",
    "client_encoding": "UTF8",
    "datestyle": "ISO, MDY",
    "timezone": "UTC",
    "intervalstyle": "postgres",
    "extra_float_digits": "1",
    "search_path": '"$user", public',
    "statement_timeout": "0",
    "lock_timeout": "0",
    "idle_in_transaction_session_timeout": "0",
    "client_min_messages": "notice",
    "bytea_output": "hex",
    "jit": "off",
    "default_transaction_read_only": "off",
    "row_security": "on",
    "default_transaction_isolation": "read committed",
    "synchronous_commit": "on",
    "xmloption": "content",
    "session_characteristics": "",
    "mothnotch.class": "",
}
FIXED = {
    "server_version": local.SERVER_VERSION,
    "server_version_num": "150000",
    "server_encoding": "UTF8",
    "standard_conforming_strings": "on",
    "integer_datetimes": "on",
    "transaction_isolation": "read committed",
    "is_superuser": "off",
    "in_hot_standby": "off",
    "max_identifier_length": "63",
    "lc_collate": "C",
    "lc_ctype": "C",
    "transaction_read_only": "off",
}
# What a setting may be set to, where only one value is honoured.
ONLY = {
    "client_encoding": ("utf8", "utf-8", "unicode"),
    "standard_conforming_strings": ("on", "true", "1"),
    "server_encoding": ("utf8",),
    "bytea_output": ("hex",),
    "default_transaction_isolation": ("read committed", "read uncommitted"),
    "transaction_isolation": ("read committed", "read uncommitted"),
}
REPORTED = {
    "application_name": "application_name",
    "client_encoding": "client_encoding",
    "datestyle": "DateStyle",
    "timezone": "TimeZone",
    "intervalstyle": "IntervalStyle",
    "server_version": "server_version",
    "server_encoding": "server_encoding",
    "standard_conforming_strings": "standard_conforming_strings",
    "integer_datetimes": "integer_datetimes",
    "is_superuser": "is_superuser",
    "in_hot_standby": "in_hot_standby",
    "session_authorization": "session_authorization",
}


@dataclass(slots=True)
class Answer:
    """What a statement gave: rows in text format, a command tag, and notices to go ahead of it."""

    tag: str
    rows: object = None  # a list or a Stream; None: a statement without rows
    notices: list = field(default_factory=list)
    changed: dict = field(default_factory=dict)  # settings that the client is to be told


class Stream:
    """Rows that come in blocks and are read once. `close` lets go of what they are held in."""

    def __init__(self, blocks, room):
        self.blocks, self.room, self.rest, self.ended = blocks, room, [], False

    async def take(self, most):
        """The next rows, `most` at most; with an empty list there are no more. Lets others run in
        between.
        """
        while not self.rest and not self.ended:
            try:
                self.rest = next(self.blocks)
            except StopIteration:
                self.close()
            await trio.lowlevel.checkpoint()
        rows, self.rest = self.rest[:most], self.rest[most:]
        return rows

    def close(self):
        self.ended = True
        self.blocks.close()
        self.room.close()


@dataclass(slots=True)
class Service:
    """What all sessions of a root share."""

    core: object
    planner: object
    schema: object
    config: object
    name: str  # tells this run of this root from every other: begins each key
    keys: object = field(default_factory=lambda: itertools.count(1))
    costs: object = field(default_factory=request_classes.CostEstimator)
    kinds: dict = field(init=False)  # class -> (takes writes, is default)

    def __post_init__(self):
        self.kinds = self.config.class_kinds()


def duration_ms(text):
    """A setting's time in milliseconds: `1500`, `2s`, `1 min`."""
    text = text.strip()
    digits = text.rstrip("abcdefghijklmnopqrstuvwxyz ")
    unit = text[len(digits) :].strip()
    try:
        value = float(digits) * UNITS[unit]
    except (ValueError, KeyError):
        raise SqlError(
            "22023", f'invalid value for parameter: "{text[:40]}" is not a time'
        ) from None
    if value < 0 or value > 2**31:
        raise SqlError("22023", f"{text[:40]} is outside the valid range for a time")
    return value


class Session:
    def __init__(self, service, user, database, pid=0):
        self.service, self.user, self.database, self.pid = service, user, database, pid
        self.settings, self.before, self.local = dict(DEFAULTS), None, {}
        self.transaction = transactions.Transaction()
        self.scope = None  # of the request under way
        self.cancelled = False
        self.coverage = Coverage(())  # of the last SELECT answered
        self.loose_write = False  # a write since the last Sync, outside of a transaction block

    # ---- settings ----

    def get(self, name):
        if name == "session_authorization":
            return self.user
        if name == "transaction_read_only":
            return "on" if self.transaction.read_only else "off"
        value = self.settings.get(name, FIXED.get(name))
        if value is None:
            raise SqlError("42704", f'unrecognized configuration parameter "{name}"')
        return value

    def put(self, name, value):
        """Sets a setting; gives what the client is to be told of it."""
        if name == "names":
            name = "client_encoding"
        if value is None:
            value = DEFAULTS.get(name, FIXED.get(name, ""))
        if name in ONLY:
            if value.lower().replace("'", "") not in ONLY[name]:
                raise unsupported(f"{name} = {value}", f"only {ONLY[name][0]} is given here")
            return {}
        if name in FIXED:
            raise SqlError("55P02", f'parameter "{name}" cannot be changed')
        if name == "mothnotch.class" and value and value not in self.service.config.classes:
            raise SqlError(
                "22023",
                f"class {value!r} is not configured; there are "
                + ", ".join(sorted(self.service.config.classes)),
            )
        if name == "datestyle" and not value.lower().startswith("iso"):
            raise unsupported(f"DateStyle = {value}", "dates are given as ISO here")
        if name in ("statement_timeout", "lock_timeout", "idle_in_transaction_session_timeout"):
            duration_ms(value)
        if name not in DEFAULTS and "." not in name:
            raise SqlError("42704", f'unrecognized configuration parameter "{name}"')
        if name not in self.settings and len(self.settings) >= len(DEFAULTS) + 64:
            raise SqlError("54000", "a session keeps 64 settings of its own at most")
        if len(value) > 1024:
            raise SqlError("22023", f"value of {name} is longer than 1024 characters")
        self.settings[name] = value
        return {REPORTED[name]: value} if name in REPORTED else {}

    def function(self, name, arguments):
        """What a function without a table gives: see mothnotch.sql.local.SESSION_FUNCTIONS."""
        if name == "version":
            return local.VERSION
        if name in ("current_database", "current_catalog"):
            return self.database
        if name == "current_schema":
            return "public"
        if name in ("current_user", "session_user", "user"):
            return self.user
        if name == "pg_backend_pid":
            return self.pid
        if name == "pg_is_in_recovery":
            return False
        if name == "current_setting":
            try:
                return self.get(str(arguments[0]).lower())
            except SqlError:
                if len(arguments) > 1 and arguments[1]:
                    return None
                raise
        if name == "set_config" and len(arguments) == 3:
            self.put(str(arguments[0]).lower(), str(arguments[1] or ""))
            return str(arguments[1] or "")
        if name == "pg_advisory_unlock_all":
            return ""
        raise unsupported(f"function {name}()", "the root does not answer it")

    # ---- running ----

    def cancel(self):
        """A CancelRequest: what runs now is ended; what comes next is not."""
        if self.scope is not None:
            self.cancelled = True
            self.scope.cancel()

    def synced(self):
        self.loose_write = False

    async def execute(self, plan, parameters):
        try:
            return await self._execute(plan, parameters)
        except transactions.RequestRejectedError as error:
            self.transaction.mark_failed()
            raise SqlError(error.sqlstate, str(error), error.hint) from None
        except t.InvalidValueError as error:
            self.transaction.mark_failed()
            raise SqlError(error.sqlstate, str(error)) from None
        except request_classes.UnknownClassError as error:
            self.transaction.mark_failed()
            raise SqlError("22023", str(error)) from None
        except SqlError:
            self.transaction.mark_failed()
            raise

    async def _execute(self, plan, parameters):
        statement = plan.statement
        if type(statement) is local.Commit:
            return await self.commit()
        if type(statement) is local.Rollback:
            return self.rollback()
        if type(statement) is local.Savepoint:
            {
                "SAVEPOINT": self.transaction.add_savepoint,
                "RELEASE": self.transaction.release_savepoint,
                "ROLLBACK": self.transaction.rollback_to_savepoint,
            }[statement.action](statement.name)
            return Answer(statement.tag)
        self.transaction.check_not_failed()
        if plan.kind == "select":
            self.transaction.check_read(plan.tables)
            return await self.read(plan, parameters)
        if plan.kind == "write":
            return await self.write(plan, parameters)
        return self.local_statement(statement, plan, parameters)

    def local_statement(self, statement, plan, parameters):
        kind = type(statement)
        if kind is local.Begin:
            notices = []
            if self.transaction.status is not transactions.Status.IDLE:
                notices.append(
                    ErrorFields("WARNING", "25001", "there is already a transaction in progress")
                )
            else:
                self.before, self.local = dict(self.settings), {}
            self.transaction.begin(statement.read_only)
            return Answer(statement.tag, notices=notices)
        if kind is local.Set:
            if statement.name == "transaction":
                return Answer("SET")
            open_block = self.transaction.status is not transactions.Status.IDLE
            if statement.local:
                if not open_block:
                    return Answer(
                        "SET",
                        notices=[
                            ErrorFields(
                                "WARNING",
                                "25P01",
                                "SET LOCAL can only be used in transaction blocks",
                            )
                        ],
                    )
                self.local.setdefault(statement.name, self.settings.get(statement.name, ""))
            return Answer("SET", changed=self.put(statement.name, statement.value))
        if kind is local.Show:
            if statement.name == "all":
                raise unsupported("SHOW ALL", "name the setting")
            return Answer("SHOW", [[self.get(statement.name).encode()]])
        if kind is local.Reset or kind is local.Discard:
            if kind is local.Reset and statement.name is not None:
                return Answer("RESET", changed=self.put(statement.name, None))
            self.settings = dict(DEFAULTS)
            return Answer(statement.tag)
        if kind is local.Explain:
            return Answer(
                "EXPLAIN", [[line.encode()] for line in self.explain(statement.plan, parameters)]
            )
        if kind is local.TablelessRow:
            evaluator = local.LocalEvaluator(parameters, self)
            row = [evaluator.value(node) for node in statement.expressions]
            return Answer(
                "SELECT 1",
                [
                    [
                        None if v is None else t.to_text(oid, v)
                        for v, (_, oid) in zip(row, plan.columns, strict=True)
                    ]
                ],
            )
        if kind is local.NoRows:
            return Answer("SELECT 0", [])
        if kind is local.CoverageRows:
            rows = [
                [
                    None if v is None else t.to_text(oid, v)
                    for v, (_, oid) in zip(statement.row(piece), plan.columns, strict=True)
                ]
                for piece in self.coverage.ranges
            ]
            return Answer(f"SELECT {len(rows)}", rows)
        return Answer(statement.tag)

    # ---- requests ----

    def class_for(self, writes):
        return request_classes.class_of(
            self.service.kinds, self.settings["mothnotch.class"] or None, writes
        )

    async def ask(self, kind, parts, key):
        """One request through the core, within the client's time; a cancel ends it with 57014 or,
        for a write, 40003.
        """
        service, c = self.service, self.service.config.classes[kind]
        limit = request_classes.request_timeout_us(
            int(c.deadline_ms * 1000), int(duration_ms(self.settings["statement_timeout"]) * 1000)
        )
        memory = service.config.memory
        full = outcomes.MERGE_FULL
        request = Request(
            kind,
            self.user if self.user in service.config.tenants else None,
            key,
            now_us() + limit,
            tuple(parts),
            priority_weight=c.worth,
            overflow_error=ErrorFields(
                "ERROR",
                full.sqlstate,
                full.text.format(memory=memory.limit_bytes, disk=memory.disk_bytes),
                hint=full.hint,
            ),
        )
        self.cancelled, outcome = False, None
        try:
            with trio.CancelScope() as self.scope:
                outcome = await service.core.execute(request)
        except OverloadedError as error:
            return self.refused(error.args[1])
        finally:
            self.scope = None
        if outcome is None:
            if c.writes:
                failure = outcomes.failure(True, False)
                raise SqlError(
                    failure.sqlstate,
                    f"canceling statement due to user request; {failure.text}",
                    failure.hint,
                )
            raise SqlError("57014", "canceling statement due to user request")
        return outcome

    def refused(self, retry_after_us):
        rejection = outcomes.rejection(retry_after_us)
        error = SqlError(rejection.sqlstate, rejection.text, rejection.hint)
        error.detail = rejection.detail
        raise error

    def settled(self, outcome, writes=False, commits=False):
        """Raises what is not rows."""
        if outcome.status is FinalStatus.REJECTED:
            self.refused(outcome.retry_after_us)
        if outcome.status is FinalStatus.FAILED:
            failure = outcomes.failure(writes, commits, outcome.may_have_run)
            raise SqlError(failure.sqlstate, failure.text, failure.hint)
        if outcome.error is not None:
            e = outcome.error
            error = SqlError(e.sqlstate, e.text, e.hint)
            error.detail = e.detail
            raise error

    def bound(self, plan, parameters, shard, values=None):
        """The statement as one range's leaf gets it."""
        values, oids = plan.values(parameters) if values is None else values, plan.oids
        if not plan.inserted_shard_values:
            low, high = self.service.schema.range(shard)
            values += (str(low).encode(), str(high).encode())
            oids += (plan.shard_oid, plan.shard_oid)
        if plan.limited:
            skip, show = plan.gather.limits(parameters)
            values += (None if show is None else str(skip + show).encode(),)
            oids += (t.INT8,)
        return Statement(plan.sql, oids, values)

    def specs(self, plan, parameters, shards, sql=None):
        weights, cost = (
            request_classes.part_weights(shards),
            self.service.costs.estimate_us(plan.shape, plan.tables),
        )
        values, out = plan.values(parameters), []
        for shard, weight in zip(shards, weights, strict=True):
            statement = self.bound(plan, parameters, shard, values)
            if sql is not None:
                statement.sql = sql
            out.append(PartSpec(shard, weight, cost, Read(statement, tag_of(shard))))
        return out

    def key_of(self, plan, parameters):
        value = plan.shard_value(parameters)
        return None if value is None else str(value)

    async def read(self, plan, parameters):
        if plan.gather is not None:
            plan.gather.limits(parameters)  # refuses a bad LIMIT before anything is asked
        shards = plan.shards(self.service.schema, parameters)
        kind = self.class_for(False)
        specs = self.specs(plan, parameters, shards)
        outcome = await self.ask(kind, specs, self.key_of(plan, parameters))
        self.settled(outcome)
        for took in outcome.latencies_us:
            self.service.costs.record(plan.shape, plan.tables, took)
        parts, room = [outcome.rows[n].rows for n in sorted(outcome.rows)], outcome.storage
        if room is None or room.held + room.spilled <= IN_MEMORY_LIMIT_BYTES:
            try:
                rows = gather(plan, parts, parameters)
            finally:
                if room is not None:
                    room.close()
            answer = Answer(f"SELECT {len(rows)}", rows)
        else:
            answer = Answer("SELECT", Stream(gather_blocks(plan, parts, parameters, room), room))
        self.coverage = Coverage(
            tuple(self.piece(spec, n, outcome) for n, spec in enumerate(specs))
        )
        missing = self.coverage.missing
        if missing:
            fields = ErrorFields(
                "WARNING",
                outcomes.PARTIAL.sqlstate,
                outcomes.PARTIAL.text.format(
                    percent=self.coverage.percent,
                    missing=", ".join(coverage.format_range(piece) for piece in missing),
                ),
            )
            fields.detail = f"{coverage.format_reasons(missing)}. The oldest piece was read {self.coverage.oldest_read_age_us // 1000} ms ago."
            answer.notices.append(fields)
            self.service.core.log.info(
                "answered in part",
                class_name=kind,
                share=self.coverage.share,
                missing=coverage.format_reasons(missing),
            )
        return answer

    def piece(self, spec, n, outcome):
        low, high = self.service.schema.range(spec.shard)
        leaf, read_us = outcome.sources.get(n, (None, None))
        return RangeCoverage(
            low,
            high - 1,
            spec.weight,
            n in outcome.rows,
            outcome.missing_reasons.get(n, ""),
            leaf,
            read_us,
        )

    def shown(self, shard):
        low, high = self.service.schema.range(shard)
        return f"{low}..{high - 1}"

    async def write(self, plan, parameters):
        shards = plan.shards(self.service.schema, parameters)
        if len(shards) > 1:
            raise unsupported(
                f"{plan.tag} over {len(shards)} bin ranges",
                "no one leaf could commit it; name one range "
                "in the WHERE, by a condition on the shard column",
            )
        inside = self.transaction.status is not transactions.Status.IDLE
        if inside:
            return await self.keep(plan, parameters, shards)
        if self.loose_write:
            raise unsupported(
                "a second write before Sync or in one query text",
                "the two would have to commit together; " "use BEGIN and COMMIT",
            )
        self.loose_write = True
        if not shards:
            return Answer(
                "INSERT 0 0" if plan.tag == "INSERT" else f"{plan.tag} 0",
                [] if plan.returning else None,
            )
        outcome = await self.send_write(
            shards[0],
            [plan],
            [self.bound(plan, parameters, shards[0])],
            [None],
            self.key_of(plan, parameters),
            False,
        )
        found = outcome.rows[0]
        return Answer(found.tags[-1], found.rows if plan.returning else None)

    async def send_write(self, shard, plans, statements, told, home, commits):
        key = f"{self.service.name}-{next(self.service.keys)}"
        payload = Write(key, tuple(statements), tuple(told), tag_of(shard))
        name = (len(statements), plans[0].shape)
        spec = PartSpec(shard, 1.0, self.service.costs.estimate_us(name, len(statements)), payload)
        outcome = await self.ask(self.class_for(True), [spec], home)
        self.settled(outcome, writes=True, commits=commits)
        for took in outcome.latencies_us:
            self.service.costs.record(name, len(statements), took)
        return outcome

    async def keep(self, plan, parameters, shards):
        """A write inside a transaction block: held until COMMIT, its count told now."""
        if not shards:
            self.transaction.check_write(self.transaction.shard, plan.returning)
            return Answer("INSERT 0 0" if plan.tag == "INSERT" else f"{plan.tag} 0")
        shard = shards[0]
        self.transaction.check_write(shard, plan.returning)
        if not plan.row_count_known:
            raise unsupported(
                "ON CONFLICT inside a transaction block",
                "the rows it will touch are not known before " "COMMIT",
            )
        if plan.inserted_shard_values:
            told = len(plan.inserted_shard_values)
        else:
            self.transaction.check_read((plan.table,))
            specs = self.specs(plan, parameters, shards, plan.count_sql)
            outcome = await self.ask(self.class_for(False), specs, self.key_of(plan, parameters))
            self.settled(outcome)
            ((told,),) = outcome.rows[0].rows
            outcome.storage.close()
            told = int(told)
        write = transactions.BufferedWrite(self.bound(plan, parameters, shard), told, plan)
        self.transaction.buffer_write(write, shard, plan.table)
        return Answer(f"INSERT 0 {told}" if plan.tag == "INSERT" else f"{plan.tag} {told}")

    async def commit(self):
        tx = self.transaction
        if tx.status is transactions.Status.IDLE:
            return Answer(
                "COMMIT",
                notices=[ErrorFields("WARNING", "25P01", "there is no transaction in progress")],
            )
        if tx.status is transactions.Status.FAILED:
            return self.rollback()
        writes, shard = tx.writes, tx.shard
        tx.reset()
        try:
            if writes:
                outcome = await self.send_write(
                    shard,
                    [write.plan for write in writes],
                    [write.payload for write in writes],
                    [write.row_count for write in writes],
                    None,
                    True,
                )
                for tag, write in zip(outcome.rows[0].tags, writes, strict=True):
                    told = write.row_count
                    if affected_rows(tag) != told:
                        raise SqlError("XX000", f"COMMIT says {tag} where {told} rows were told")
        except SqlError:
            self.undo_settings()
            raise
        for name, value in self.local.items():
            self.settings[name] = value
        self.before, self.local = None, {}
        return Answer("COMMIT")

    def rollback(self):
        if self.transaction.status is transactions.Status.IDLE:
            return Answer(
                "ROLLBACK",
                notices=[ErrorFields("WARNING", "25P01", "there is no transaction in progress")],
            )
        self.transaction.reset()
        self.undo_settings()
        return Answer("ROLLBACK")

    def undo_settings(self):
        if self.before is not None:
            self.settings = self.before
        self.before, self.local = None, {}

    # ---- EXPLAIN ----

    def explain(self, plan, parameters):
        if plan.kind == "local":
            return [f"{plan.tag}: answered by the root itself"]
        shards = plan.shards(self.service.schema, parameters)
        ranges = ", ".join(self.shown(s) for s in shards[:6]) + (", ..." if len(shards) > 6 else "")
        lines = [
            f"{plan.tag} over {len(shards)} of {self.service.schema.shards} bin ranges ({ranges})",
            f"  class: {self.class_for(plan.kind == 'write')}",
            f"  each part: {plan.sql}",
        ]
        if plan.gather is not None:
            g, steps = plan.gather, []
            if g.grouped:
                steps.append(
                    f"groups by {g.group_columns} columns, "
                    f"{len(g.aggregate_columns)} aggregates merged"
                )
            if g.distinct:
                steps.append("distinct")
            if g.having is not None:
                steps.append("having")
            if g.keys:
                steps.append(f"sorted by {len(g.keys)} keys")
            if g.limit is not None or g.offset is not None:
                steps.append("limit and offset")
            lines.append(
                "  gathered: "
                + (", ".join(steps) or "one after another, in the order of the ranges")
            )
        return lines


def tag_of(shard):
    """The comment in front of what is sent: which range is meant, for a leaf that checks and for
    its logs.
    """
    return f"/*mothnotch range={shard}*/ "
