"""Statements that the root executes itself: transaction control, settings, and drivers' queries
about the server.
"""

import re
from dataclasses import dataclass

from sqlglot import exp

from mothnotch.pgwire import types as t
from mothnotch.sql.errors import SqlError, unsupported
from mothnotch.sql.evaluate import Evaluator
from mothnotch.sql.typer import Scope, Typer, check_properties, folded_name

SERVER_VERSION = "15.0"
VERSION = f"PostgreSQL {SERVER_VERSION} (mothnotch: SQL over shards)"


@dataclass(slots=True, frozen=True)
class Begin:
    read_only: bool = False
    tag: str = "BEGIN"


@dataclass(slots=True, frozen=True)
class Commit:
    tag: str = "COMMIT"


@dataclass(slots=True, frozen=True)
class Rollback:
    tag: str = "ROLLBACK"


@dataclass(slots=True, frozen=True)
class Savepoint:
    """SAVEPOINT, RELEASE or ROLLBACK TO."""

    action: str
    name: str
    tag: str


@dataclass(slots=True, frozen=True)
class Set:
    name: str
    value: str | None  # None resets it to the default
    local: bool = False
    tag: str = "SET"


@dataclass(slots=True, frozen=True)
class Show:
    name: str
    tag: str = "SHOW"


@dataclass(slots=True, frozen=True)
class Reset:
    name: str | None  # None means all
    tag: str = "RESET"


@dataclass(slots=True, frozen=True)
class Discard:
    what: str
    tag: str = "DISCARD ALL"


@dataclass(slots=True, frozen=True)
class Deallocate:
    name: str | None  # None means all
    tag: str = "DEALLOCATE"


@dataclass(slots=True, frozen=True)
class ClosePortals:
    tag: str = "CLOSE CURSOR ALL"


@dataclass(slots=True, frozen=True)
class Unlisten:
    tag: str = "UNLISTEN"


@dataclass(slots=True, frozen=True)
class Explain:
    text: str
    plan: object = None
    tag: str = "EXPLAIN"


@dataclass(slots=True, frozen=True)
class TablelessRow:
    """A SELECT without FROM: one row of expressions."""

    expressions: tuple
    tag: str = "SELECT"


@dataclass(slots=True, frozen=True)
class CoverageRows:
    """A SELECT from mothnotch_coverage."""

    columns: tuple
    tag: str = "SELECT"

    def row(self, part):
        """Return the selected values for one part of the last answer."""
        return [COVERAGE_COLUMNS[name][1](part) for name in self.columns]


@dataclass(slots=True, frozen=True)
class NoRows:
    """A query whose result is always empty."""

    tag: str = "SELECT"


FIRST_WORD = re.compile(r"(?:\s|--[^\n]*\n|/\*.*?\*/)*([a-zA-Z]+)", re.DOTALL)
SET_STATEMENT = re.compile(
    r"set\s+(?:(session|local)\s+)?(?:(time\s+zone)|([\w.]+)\s*(?:=|\bto\b))\s*(.+)$", re.I | re.S
)
ISOLATION_LEVEL = re.compile(
    r"isolation\s+level\s+(read\s+committed|read\s+uncommitted|repeatable\s+read|serializable)",
    re.I,
)
UNSUPPORTED_COMMANDS = {
    "prepare": "PREPARE",
    "execute": "EXECUTE",
    "declare": "DECLARE CURSOR",
    "fetch": "FETCH",
    "listen": "LISTEN",
    "notify": "NOTIFY",
    "lock": "LOCK TABLE",
    "truncate": "TRUNCATE",
    "create": "CREATE",
    "alter": "ALTER",
    "drop": "DROP",
    "grant": "GRANT",
    "revoke": "REVOKE",
    "vacuum": "VACUUM",
    "analyze": "ANALYZE",
    "call": "CALL",
    "do": "DO",
    "merge": "MERGE",
    "copy": "COPY",
    "move": "MOVE",
    "cluster": "CLUSTER",
    "reindex": "REINDEX",
    "refresh": "REFRESH",
    "comment": "COMMENT",
    "load": "LOAD",
    "import": "IMPORT",
    "checkpoint": "CHECKPOINT",
}


def parse_session_statement(text):
    """Return the session statement in a text, or None if the text is for the planner."""
    found = FIRST_WORD.match(text)
    if found is None:
        return None
    word, rest = found[1].lower(), text[found.start(1) :].strip().rstrip(";").strip()
    if word in UNSUPPORTED_COMMANDS:
        raise unsupported(
            UNSUPPORTED_COMMANDS[word],
            "the root takes SELECT, INSERT, UPDATE, DELETE and session statements",
        )
    handler = {
        "begin": _begin,
        "start": _begin,
        "commit": _commit,
        "end": _commit,
        "rollback": _rollback,
        "abort": _rollback,
        "set": _set,
        "show": _show,
        "reset": _reset,
        "discard": _discard,
        "deallocate": _deallocate,
        "close": _close,
        "unlisten": lambda rest: Unlisten(),
        "explain": _explain,
        "savepoint": _savepoint,
        "release": _savepoint,
    }.get(word)
    return handler(rest) if handler is not None else None


def _is_read_only(rest):
    """Return whether transaction modes include READ ONLY; reject unsupported isolation levels."""
    level = ISOLATION_LEVEL.search(rest)
    if level is not None and level[1].lower().split()[0] in ("repeatable", "serializable"):
        raise unsupported(
            f"ISOLATION LEVEL {level[1].upper()}",
            "leaves share no snapshot; READ COMMITTED is given",
        )
    return bool(re.search(r"\bread\s+only\b", rest, re.I))


def _begin(rest):
    return Begin(
        _is_read_only(rest), "START TRANSACTION" if rest[:5].lower() == "start" else "BEGIN"
    )


def _commit(rest):
    if re.search(r"\bprepared\b", rest, re.I):
        raise unsupported("COMMIT PREPARED")
    if re.search(r"\band\s+chain\b", rest, re.I):
        raise unsupported("COMMIT AND CHAIN")
    return Commit()


def _rollback(rest):
    if re.match(r"rollback\s+(work\s+|transaction\s+)?to\b", rest, re.I):
        return _savepoint(rest)
    if re.search(r"\b(prepared|and\s+chain)\b", rest, re.I):
        raise unsupported("ROLLBACK PREPARED or AND CHAIN")
    return Rollback()


SAVEPOINT_STATEMENT = re.compile(
    r"(savepoint|release(?:\s+savepoint)?|rollback\s+(?:work\s+|transaction\s+)?to(?:\s+savepoint)?)"
    r"\s+(\"[^\"]+\"|\w+)$",
    re.I,
)


def _savepoint(rest):
    found = SAVEPOINT_STATEMENT.match(rest)
    if found is None:
        raise SqlError("42601", f'syntax error at or near "{rest[:40]}"')
    action = found[1].split()[0].upper()
    name = found[2][1:-1] if found[2][0] == '"' else found[2].lower()
    return Savepoint(action, name, action)


def _set(rest):
    if re.match(r"set\s+(session\s+characteristics\s+as\s+|local\s+)?transaction\b", rest, re.I):
        _is_read_only(rest)
        return Set("transaction", "", True)
    found = SET_STATEMENT.match(rest)
    if found is None:
        raise SqlError("42601", f'syntax error at or near "{rest[:40]}"')
    name, value = ("timezone" if found[2] else found[3].lower()), found[4].strip()
    if value.lower() == "default":
        value = None
    elif value[:1] in "'\"" and value[-1:] == value[:1] and len(value) > 1:
        value = value[1:-1].replace(value[0] * 2, value[0])
    return Set(name, value, (found[1] or "").lower() == "local")


def _show(rest):
    name = " ".join(rest.split()[1:]).lower().strip('"')
    name = {"transaction isolation level": "transaction_isolation", "time zone": "timezone"}.get(
        name, name
    )
    if not name:
        raise SqlError("42601", "syntax error at end of input")
    return Show(name)


def _reset(rest):
    name = rest[5:].strip().lower()
    return Reset(None if name == "all" else name)


def _discard(rest):
    what = rest[7:].strip().upper()
    return Discard(what, f"DISCARD {what}")


def _deallocate(rest):
    name = re.sub(r"^(prepare\s+)", "", rest[10:].strip(), flags=re.I)
    return Deallocate(
        None if name.lower() == "all" else name.strip('"'),
        "DEALLOCATE ALL" if name.lower() == "all" else "DEALLOCATE",
    )


def _close(rest):
    if rest[5:].strip().lower() != "all":
        raise unsupported("CLOSE of a named cursor")
    return ClosePortals()


def _explain(rest):
    inner = rest[7:].strip()
    found = re.match(r"\(([^)]*)\)\s*", inner)
    options = found[1].lower() if found else ""
    inner = inner[found.end() :] if found else inner
    words = re.match(r"((?:analyze|verbose)\s+)*", inner, re.I)
    if "analyze" in options or "analyze" in words[0].lower():
        raise unsupported("EXPLAIN ANALYZE")
    return Explain(inner[words.end() :])


# ---- SELECT without a table ----

SESSION_FUNCTIONS = {
    "version": t.TEXT,
    "current_database": t.NAME,
    "current_catalog": t.NAME,
    "current_schema": t.NAME,
    "current_user": t.NAME,
    "session_user": t.NAME,
    "user": t.NAME,
    "pg_backend_pid": t.INT4,
    "pg_is_in_recovery": t.BOOL,
    "current_setting": t.TEXT,
    "pg_advisory_unlock_all": t.VOID,
    "inet_server_port": t.INT4,
    "txid_current": t.INT8,
    "set_config": t.TEXT,
}


def function_name(node):
    """Return the name of a function without its schema, or None for any other node.

    Of the functions that are called without parentheses, CURRENT_CATALOG, CURRENT_USER and USER are
    recognized.
    """
    if isinstance(node, exp.Dot) and folded_name(node.this) == "pg_catalog":
        return function_name(node.expression)
    if (
        isinstance(node, exp.Column)
        and node.args.get("table") is None
        and not isinstance(node.this, exp.Star)
    ):
        return (
            folded_name(node.this)
            if folded_name(node.this) in ("current_catalog", "user", "current_user")
            else None
        )
    if isinstance(node, exp.Anonymous):
        return node.name.lower()
    if isinstance(node, exp.CurrentVersion):
        return "version"
    if isinstance(node, exp.Func):
        return node.sql_name().lower()
    return None


class LocalTyper(Typer):
    """Types expressions that may call the session functions."""

    def type(self, node, want=None, aggregates=False):
        name = function_name(node)
        if name in SESSION_FUNCTIONS:
            for argument in (
                node.expressions if not isinstance(node, exp.Dot) else node.expression.expressions
            ):
                super().type(argument, t.TEXT)
            return SESSION_FUNCTIONS[name]
        return super().type(node, want, aggregates)


class LocalEvaluator(Evaluator):
    """Evaluates expressions; `session.function(name, arguments)` evaluates session functions."""

    def __init__(self, parameters, session):
        super().__init__(parameters)
        self.session = session

    def value(self, node):
        name = function_name(node)
        if name in SESSION_FUNCTIONS:
            call = node.expression if isinstance(node, exp.Dot) else node
            return self.session.function(name, [self.value(a) for a in call.expressions])
        return super().value(node)


def plan_tableless_select(tree, declared):
    """Plan a SELECT without FROM."""
    from mothnotch.sql.plan import Plan, output_name, resolved_type

    check_properties(tree, "expressions", "limit")
    typer = LocalTyper(Scope(declared))
    nodes, columns = [], []
    for node in tree.expressions:
        name = output_name(node.this if isinstance(node, exp.Alias) else node)
        if function_name(node) in SESSION_FUNCTIONS:
            name = function_name(node)
        if isinstance(node, exp.Alias):
            node, name = node.this, folded_name(node.args["alias"])
        columns.append((name, resolved_type(typer.type(node))))
        nodes.append(node)
    return Plan(
        "local", "SELECT", columns, typer.scope.oids(), statement=TablelessRow(tuple(nodes))
    )


COVERAGE_COLUMNS = {
    "range_low": (t.INT8, lambda part: part.low),
    "range_high": (t.INT8, lambda part: part.high),
    "share": (t.FLOAT8, lambda part: part.weight),
    "answered": (t.BOOL, lambda part: part.answered),
    "why": (t.TEXT, lambda part: part.missing_reason or None),
    "leaf": (t.TEXT, lambda part: part.leaf),
    "read_ms_ago": (
        t.FLOAT8,
        lambda part: None if part.read_age_us is None else part.read_age_us / 1000,
    ),
}


def reads_coverage(tree):
    """Return whether a SELECT reads mothnotch_coverage, the coverage of the previous answer."""
    return any(table.name.lower() == "mothnotch_coverage" for table in tree.find_all(exp.Table))


def plan_coverage_select(tree):
    """Plan SELECT of * or columns FROM mothnotch_coverage.

    Its result has one row for each part of the last answered SELECT.
    """
    from mothnotch.sql.plan import Plan

    if any(
        tree.args.get(clause)
        for clause in ("where", "order", "group", "having", "limit", "offset", "joins", "distinct")
    ):
        raise unsupported(
            "a clause over mothnotch_coverage", "select its columns and sort them out yourself"
        )
    names = []
    for node in tree.expressions:
        if isinstance(node, exp.Star):
            names += COVERAGE_COLUMNS
        elif isinstance(node, exp.Column) and folded_name(node.this) in COVERAGE_COLUMNS:
            names.append(folded_name(node.this))
        else:
            raise SqlError(
                "42703", f"mothnotch_coverage has the columns {', '.join(COVERAGE_COLUMNS)}"
            )
    return Plan(
        "local",
        "SELECT",
        [(name, COVERAGE_COLUMNS[name][0]) for name in names],
        statement=CoverageRows(tuple(names)),
    )


def reads_type_catalog(tree):
    """Return whether a SELECT reads pg_type; raise 0A000 for the rest of the system catalog."""
    tables = list(tree.find_all(exp.Table))
    catalog_tables = [
        table
        for table in tables
        if table.name.lower().startswith("pg_")
        or table.db.lower() in ("pg_catalog", "information_schema")
    ]
    if not catalog_tables:
        return False
    if any(table.name.lower() == "pg_type" for table in catalog_tables):
        return True
    raise unsupported(
        f"the system catalogue ({catalog_tables[0].name})",
        "the root keeps none; the tables are in its configuration",
    )


def plan_type_lookup(tree, declared):
    """Plan a SELECT from pg_type; its result is empty, as only the built-in types exist."""
    from mothnotch.sql.plan import Plan, output_name

    columns = []
    for node in tree.expressions:
        name = folded_name(node.args["alias"]) if isinstance(node, exp.Alias) else output_name(node)
        columns.append((name, t.TEXT))
    parameter_count = max(
        [int(found.this.this) for found in tree.find_all(exp.Parameter)] + [len(declared)]
    )
    oids = tuple(
        declared[n] if n < len(declared) and declared[n] else t.TEXT for n in range(parameter_count)
    )
    return Plan("local", "SELECT", columns, oids, statement=NoRows())
