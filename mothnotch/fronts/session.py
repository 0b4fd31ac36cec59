"""The SQL session of a client: its settings, its transaction and the execution of plans.

The session is independent of the wire protocol: `execute(plan, parameters)` returns a
StatementResult or raises SqlError.
"""

import itertools
import math
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

# Unit of a time setting -> milliseconds; a number without unit is in milliseconds.
UNIT_MS = {"us": 0.001, "ms": 1, "s": 1000, "min": 60_000, "h": 3_600_000, "d": 86_400_000, "": 1}
# Settings that a session may change, with their initial values.
DEFAULT_SETTINGS = {
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
# Settings that cannot be changed.
READ_ONLY_SETTINGS = {
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
# Accepted values of settings for which the root supports only one value.
ACCEPTED_VALUES = {
    "client_encoding": ("utf8", "utf-8", "unicode"),
    "standard_conforming_strings": ("on", "true", "1"),
    "server_encoding": ("utf8",),
    "bytea_output": ("hex",),
    "default_transaction_isolation": ("read committed", "read uncommitted"),
    "transaction_isolation": ("read committed", "read uncommitted"),
}
# Settings that are reported to the client as ParameterStatus -> name in that message.
REPORTED_SETTINGS = {
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
class StatementResult:
    """The result of a statement: rows in text format, and a command tag.

    The client receives `notices` before the tag.
    """

    tag: str
    rows: object = None  # a list or a RowStream; None for a statement that returns no rows
    notices: list = field(default_factory=list)
    changed_settings: dict = field(default_factory=dict)  # settings to report to the client


class RowStream:
    """Rows that are produced in blocks and can be read once.

    `close` releases the storage that contains them.
    """

    def __init__(self, blocks, storage):
        self.blocks, self.storage, self.pending_rows, self.closed = blocks, storage, [], False

    async def take(self, max_rows):
        """Return at most `max_rows` of the next rows, an empty list at the end.

        Other tasks may run between blocks.
        """
        while not self.pending_rows and not self.closed:
            try:
                self.pending_rows = next(self.blocks)
            except StopIteration:
                self.close()
            await trio.lowlevel.checkpoint()
        rows, self.pending_rows = self.pending_rows[:max_rows], self.pending_rows[max_rows:]
        return rows

    def close(self):
        self.closed = True
        self.blocks.close()
        self.storage.close()


@dataclass(slots=True)
class Service:
    """State that all sessions of a root share."""

    core: object
    planner: object
    schema: object
    config: object
    run_name: str  # unique for this run of this root: prefix of the idempotency keys
    key_numbers: object = field(default_factory=lambda: itertools.count(1))
    cost_estimator: object = field(default_factory=request_classes.CostEstimator)
    class_kinds: dict = field(init=False)  # class -> (takes writes, is default)
    # Deadline of all requests, on the root's clock; finite once the root shuts down.
    answer_by_us: float = math.inf

    def __post_init__(self):
        self.class_kinds = self.config.class_kinds()


def duration_ms(text):
    """Parse the value of a time setting, for example `1500`, `2s` or `1 min`, to milliseconds."""
    text = text.strip()
    digits = text.rstrip("abcdefghijklmnopqrstuvwxyz ")
    unit = text[len(digits) :].strip()
    try:
        value = float(digits) * UNIT_MS[unit]
    except (ValueError, KeyError):
        raise SqlError(
            "22023", f'invalid value for parameter: "{text[:40]}" is not a time'
        ) from None
    if value < 0 or value > 2**31:
        raise SqlError("22023", f"{text[:40]} is outside the valid range for a time")
    return value


class Session:
    """The session of one client.

    `pid`: the process ID that the client receives to cancel statements.
    """

    def __init__(self, service, user, database, pid=0):
        self.service, self.user, self.database, self.pid = service, user, database, pid
        self.settings, self.settings_at_begin, self.values_before_set_local = (
            dict(DEFAULT_SETTINGS),
            None,
            {},
        )
        self.transaction = transactions.Transaction()
        self.request_scope = None  # cancel scope of the request in flight
        self.cancelled = False
        self.coverage = Coverage(())  # of the last SELECT that was answered
        # True if a write ran since the last Sync, outside of a transaction block. PostgreSQL would
        # commit a second one together with it, which the root cannot do.
        self.wrote_since_sync = False

    # ---- settings ----

    def get_setting(self, name):
        """Return the value of a setting; raise SqlError if it is unknown."""
        if name == "session_authorization":
            return self.user
        if name == "transaction_read_only":
            return "on" if self.transaction.read_only else "off"
        value = self.settings.get(name, READ_ONLY_SETTINGS.get(name))
        if value is None:
            raise SqlError("42704", f'unrecognized configuration parameter "{name}"')
        return value

    def set_setting(self, name, value):
        """Set a setting, or reset it if `value` is None.

        Return the change to report to the client, as a dictionary.
        """
        if name == "names":
            name = "client_encoding"
        if value is None:
            value = DEFAULT_SETTINGS.get(name, READ_ONLY_SETTINGS.get(name, ""))
        if name in ACCEPTED_VALUES:
            if value.lower().replace("'", "") not in ACCEPTED_VALUES[name]:
                raise unsupported(
                    f"{name} = {value}", f"only {ACCEPTED_VALUES[name][0]} is given here"
                )
            return {}
        if name in READ_ONLY_SETTINGS:
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
        if name not in DEFAULT_SETTINGS and "." not in name:
            raise SqlError("42704", f'unrecognized configuration parameter "{name}"')
        if name not in self.settings and len(self.settings) >= len(DEFAULT_SETTINGS) + 64:
            raise SqlError("54000", "a session keeps 64 settings of its own at most")
        if len(value) > 1024:
            raise SqlError("22023", f"value of {name} is longer than 1024 characters")
        self.settings[name] = value
        return {REPORTED_SETTINGS[name]: value} if name in REPORTED_SETTINGS else {}

    def function(self, name, arguments):
        """Evaluate a session function; see mothnotch.sql.local.SESSION_FUNCTIONS."""
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
                return self.get_setting(str(arguments[0]).lower())
            except SqlError:
                if len(arguments) > 1 and arguments[1]:
                    return None
                raise
        if name == "set_config" and len(arguments) == 3:
            self.set_setting(str(arguments[0]).lower(), str(arguments[1] or ""))
            return str(arguments[1] or "")
        if name == "pg_advisory_unlock_all":
            return ""
        raise unsupported(f"function {name}()", "the root does not answer it")

    # ---- execution ----

    def cancel(self):
        """Cancel the request in flight, if any; later requests are not affected."""
        if self.request_scope is not None:
            self.cancelled = True
            self.request_scope.cancel()

    def on_sync(self):
        """Handle a Sync, or the start or end of a simple query, either of which implies one."""
        self.wrote_since_sync = False

    async def execute(self, plan, parameters):
        """Execute a plan; on an error, mark the transaction as failed and raise SqlError."""
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
            return StatementResult(statement.tag)
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
                self.settings_at_begin, self.values_before_set_local = dict(self.settings), {}
            self.transaction.begin(statement.read_only)
            return StatementResult(statement.tag, notices=notices)
        if kind is local.Set:
            if statement.name == "transaction":
                return StatementResult("SET")
            open_block = self.transaction.status is not transactions.Status.IDLE
            if statement.local:
                if not open_block:
                    return StatementResult(
                        "SET",
                        notices=[
                            ErrorFields(
                                "WARNING",
                                "25P01",
                                "SET LOCAL can only be used in transaction blocks",
                            )
                        ],
                    )
                self.values_before_set_local.setdefault(
                    statement.name, self.settings.get(statement.name, "")
                )
            return StatementResult(
                "SET", changed_settings=self.set_setting(statement.name, statement.value)
            )
        if kind is local.Show:
            if statement.name == "all":
                raise unsupported("SHOW ALL", "name the setting")
            return StatementResult("SHOW", [[self.get_setting(statement.name).encode()]])
        if kind is local.Reset or kind is local.Discard:
            if kind is local.Reset and statement.name is not None:
                return StatementResult(
                    "RESET", changed_settings=self.set_setting(statement.name, None)
                )
            self.settings = dict(DEFAULT_SETTINGS)
            return StatementResult(statement.tag)
        if kind is local.Explain:
            return StatementResult(
                "EXPLAIN", [[line.encode()] for line in self.explain(statement.plan, parameters)]
            )
        if kind is local.TablelessRow:
            evaluator = local.LocalEvaluator(parameters, self)
            row = [evaluator.value(node) for node in statement.expressions]
            return StatementResult(
                "SELECT 1",
                [
                    [
                        None if v is None else t.to_text(oid, v)
                        for v, (_, oid) in zip(row, plan.columns, strict=True)
                    ]
                ],
            )
        if kind is local.NoRows:
            return StatementResult("SELECT 0", [])
        if kind is local.CoverageRows:
            rows = [
                [
                    None if v is None else t.to_text(oid, v)
                    for v, (_, oid) in zip(statement.row(covered_range), plan.columns, strict=True)
                ]
                for covered_range in self.coverage.ranges
            ]
            return StatementResult(f"SELECT {len(rows)}", rows)
        return StatementResult(statement.tag)

    # ---- requests ----

    def request_class(self, writes):
        """Return the request class of a statement."""
        return request_classes.class_of(
            self.service.class_kinds, self.settings["mothnotch.class"] or None, writes
        )

    async def execute_request(self, class_name, parts, affinity_key):
        """Execute a request in the core, within the timeouts of its class and the session.

        Cancelling it raises SqlError 57014, or 40003 for a write, whose outcome is unknown.
        """
        service, class_settings = self.service, self.service.config.classes[class_name]
        limit = request_classes.request_timeout_us(
            int(class_settings.deadline_ms * 1000),
            int(duration_ms(self.settings["statement_timeout"]) * 1000),
        )
        memory = service.config.memory
        merge_rejection = outcomes.MERGE_FULL
        request = Request(
            class_name,
            self.user if self.user in service.config.tenants else None,
            affinity_key,
            int(min(now_us() + limit, service.answer_by_us)),
            tuple(parts),
            priority_weight=class_settings.worth,
            overflow_error=ErrorFields(
                "ERROR",
                merge_rejection.sqlstate,
                merge_rejection.text.format(memory=memory.limit_bytes, disk=memory.disk_bytes),
                hint=merge_rejection.hint,
            ),
        )
        self.cancelled, outcome = False, None
        try:
            with trio.CancelScope() as self.request_scope:
                outcome = await service.core.execute(request)
        except OverloadedError as error:
            return self.raise_rejected(error.args[1])
        finally:
            self.request_scope = None
        if outcome is None:
            if class_settings.writes:
                failure = outcomes.failure(True, False)
                raise SqlError(
                    failure.sqlstate,
                    f"canceling statement due to user request; {failure.text}",
                    failure.hint,
                )
            raise SqlError("57014", "canceling statement due to user request")
        return outcome

    def raise_rejected(self, retry_after_us):
        """Raise the SqlError of a rejected request."""
        rejection = outcomes.rejection(retry_after_us)
        error = SqlError(rejection.sqlstate, rejection.text, rejection.hint)
        error.detail = rejection.detail
        raise error

    def raise_if_failed(self, outcome, writes=False, commits=False):
        """Raise SqlError unless the outcome contains rows."""
        if outcome.status is FinalStatus.REJECTED:
            self.raise_rejected(outcome.retry_after_us)
        if outcome.status is FinalStatus.FAILED:
            failure = outcomes.failure(writes, commits, outcome.may_have_run)
            raise SqlError(failure.sqlstate, failure.text, failure.hint)
        if outcome.error is not None:
            e = outcome.error
            error = SqlError(e.sqlstate, e.text, e.hint)
            error.detail = e.detail
            raise error

    def bound_statement(self, plan, parameters, shard, values=None):
        """Return the statement for the leaf of a shard.

        Unless it inserts rows, parameters restrict it to the bin range of the shard: the interval
        of values of the shard column that the shard contains.
        """
        values, oids = plan.values(parameters) if values is None else values, plan.oids
        if not plan.inserted_shard_values:
            low, high = self.service.schema.range(shard)
            values += (str(low).encode(), str(high).encode())
            oids += (plan.shard_oid, plan.shard_oid)
        if plan.limited:
            offset, limit = plan.gather.limits(parameters)
            values += (None if limit is None else str(offset + limit).encode(),)
            oids += (t.INT8,)
        return Statement(plan.sql, oids, values)

    def part_specs(self, plan, parameters, shards, sql=None):
        """Return one read part per shard; `sql` replaces the statement of the plan."""
        weights, cost = (
            request_classes.part_weights(shards),
            self.service.cost_estimator.estimate_us(plan.shape, plan.tables),
        )
        values, out = plan.values(parameters), []
        for shard, weight in zip(shards, weights, strict=True):
            statement = self.bound_statement(plan, parameters, shard, values)
            if sql is not None:
                statement.sql = sql
            out.append(PartSpec(shard, weight, cost, Read(statement, range_comment(shard))))
        return out

    def affinity_key(self, plan, parameters):
        """Return the only value of the shard column that the statement concerns, as text, or None.

        Requests with the same key prefer the same leaves.
        """
        value = plan.shard_value(parameters)
        return None if value is None else str(value)

    async def read(self, plan, parameters):
        """Execute a SELECT and merge the rows of its parts; warn if parts are missing."""
        if plan.gather is not None:
            plan.gather.limits(parameters)  # raises for an invalid LIMIT before a request is sent
        shards = plan.shards(self.service.schema, parameters)
        class_name = self.request_class(False)
        specs = self.part_specs(plan, parameters, shards)
        outcome = await self.execute_request(class_name, specs, self.affinity_key(plan, parameters))
        self.raise_if_failed(outcome)
        for latency_us in outcome.latencies_us:
            self.service.cost_estimator.record(plan.shape, plan.tables, latency_us)
        parts, storage = [outcome.rows[n].rows for n in sorted(outcome.rows)], outcome.storage
        if storage is None or storage.held + storage.spilled <= IN_MEMORY_LIMIT_BYTES:
            try:
                rows = gather(plan, parts, parameters)
            finally:
                if storage is not None:
                    storage.close()
            result = StatementResult(f"SELECT {len(rows)}", rows)
        else:
            result = StatementResult(
                "SELECT", RowStream(gather_blocks(plan, parts, parameters, storage), storage)
            )
        self.coverage = Coverage(
            tuple(self.range_coverage(spec, n, outcome) for n, spec in enumerate(specs))
        )
        missing = self.coverage.missing
        if missing:
            fields = ErrorFields(
                "WARNING",
                outcomes.PARTIAL.sqlstate,
                outcomes.PARTIAL.text.format(
                    percent=self.coverage.percent,
                    missing=", ".join(
                        coverage.format_range(covered_range) for covered_range in missing
                    ),
                ),
            )
            fields.detail = (
                f"{coverage.format_reasons(missing)}. The oldest piece was read "
                f"{self.coverage.oldest_read_age_us // 1000} ms ago."
            )
            result.notices.append(fields)
            self.service.core.log.info(
                "answered with partial results",
                class_name=class_name,
                share=self.coverage.share,
                missing=coverage.format_reasons(missing),
            )
        return result

    def range_coverage(self, spec, n, outcome):
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

    def format_range(self, shard):
        low, high = self.service.schema.range(shard)
        return f"{low}..{high - 1}"

    async def write(self, plan, parameters):
        """Execute a write: at once, or at COMMIT in a transaction block."""
        shards = plan.shards(self.service.schema, parameters)
        if len(shards) > 1:
            raise unsupported(
                f"{plan.tag} over {len(shards)} bin ranges",
                "no one leaf could commit it; name one range "
                "in the WHERE, by a condition on the shard column",
            )
        in_block = self.transaction.status is not transactions.Status.IDLE
        if in_block:
            return await self.buffer_write(plan, parameters, shards)
        if self.wrote_since_sync:
            raise unsupported(
                "a second write before Sync or in one query text",
                "the two would have to commit together; " "use BEGIN and COMMIT",
            )
        self.wrote_since_sync = True
        if not shards:
            return StatementResult(
                "INSERT 0 0" if plan.tag == "INSERT" else f"{plan.tag} 0",
                [] if plan.returning else None,
            )
        outcome = await self.send_write(
            shards[0],
            [plan],
            [self.bound_statement(plan, parameters, shards[0])],
            [None],
            self.affinity_key(plan, parameters),
            False,
        )
        rows = outcome.rows[0]
        return StatementResult(rows.tags[-1], rows.rows if plan.returning else None)

    async def send_write(self, shard, plans, statements, expected_counts, affinity_key, commits):
        """Send writes to the leaf of a shard in one transaction; raise SqlError if that fails."""
        key = f"{self.service.run_name}-{next(self.service.key_numbers)}"
        payload = Write(key, tuple(statements), tuple(expected_counts), range_comment(shard))
        cost_key = (len(statements), plans[0].shape)
        spec = PartSpec(
            shard, 1.0, self.service.cost_estimator.estimate_us(cost_key, len(statements)), payload
        )
        outcome = await self.execute_request(self.request_class(True), [spec], affinity_key)
        self.raise_if_failed(outcome, writes=True, commits=commits)
        for latency_us in outcome.latencies_us:
            self.service.cost_estimator.record(cost_key, len(statements), latency_us)
        return outcome

    async def buffer_write(self, plan, parameters, shards):
        """Buffer a write of a transaction block until COMMIT; report its row count now."""
        if not shards:
            self.transaction.check_write(self.transaction.shard, plan.returning)
            return StatementResult("INSERT 0 0" if plan.tag == "INSERT" else f"{plan.tag} 0")
        shard = shards[0]
        self.transaction.check_write(shard, plan.returning)
        if not plan.row_count_known:
            raise unsupported(
                "ON CONFLICT inside a transaction block",
                "the rows it will touch are not known before " "COMMIT",
            )
        if plan.inserted_shard_values:
            row_count = len(plan.inserted_shard_values)
        else:
            self.transaction.check_read((plan.table,))
            specs = self.part_specs(plan, parameters, shards, plan.count_sql)
            outcome = await self.execute_request(
                self.request_class(False), specs, self.affinity_key(plan, parameters)
            )
            self.raise_if_failed(outcome)
            ((row_count,),) = outcome.rows[0].rows
            outcome.storage.close()
            row_count = int(row_count)
        write = transactions.BufferedWrite(
            self.bound_statement(plan, parameters, shard), row_count, plan
        )
        self.transaction.buffer_write(write, shard, plan.table)
        return StatementResult(
            f"INSERT 0 {row_count}" if plan.tag == "INSERT" else f"{plan.tag} {row_count}"
        )

    async def commit(self):
        """Send the buffered writes of the transaction block to their leaf and end the block."""
        tx = self.transaction
        if tx.status is transactions.Status.IDLE:
            return StatementResult(
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
                    row_count = write.row_count
                    if affected_rows(tag) != row_count:
                        raise SqlError(
                            "XX000", f"COMMIT says {tag} where {row_count} rows were told"
                        )
        except SqlError:
            self.restore_settings()
            raise
        for name, value in self.values_before_set_local.items():
            self.settings[name] = value
        self.settings_at_begin, self.values_before_set_local = None, {}
        return StatementResult("COMMIT")

    def rollback(self):
        if self.transaction.status is transactions.Status.IDLE:
            return StatementResult(
                "ROLLBACK",
                notices=[ErrorFields("WARNING", "25P01", "there is no transaction in progress")],
            )
        self.transaction.reset()
        self.restore_settings()
        return StatementResult("ROLLBACK")

    def restore_settings(self):
        """Restore the settings from before the transaction block."""
        if self.settings_at_begin is not None:
            self.settings = self.settings_at_begin
        self.settings_at_begin, self.values_before_set_local = None, {}

    # ---- EXPLAIN ----

    def explain(self, plan, parameters):
        if plan.kind == "local":
            return [f"{plan.tag}: answered by the root itself"]
        shards = plan.shards(self.service.schema, parameters)
        ranges = ", ".join(self.format_range(s) for s in shards[:6]) + (
            ", ..." if len(shards) > 6 else ""
        )
        lines = [
            f"{plan.tag} over {len(shards)} of {self.service.schema.shard_count} bin ranges "
            f"({ranges})",
            f"  class: {self.request_class(plan.kind == 'write')}",
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


def range_comment(shard):
    """Return the comment that precedes a statement and names its bin range.

    A leaf can check it, and it appears in the leaf's logs.
    """
    return f"/*mothnotch range={shard}*/ "
