"""Statements that need no leaf: transactions, settings, and what drivers ask a server about itself."""

import re
from dataclasses import dataclass

from sqlglot import exp

from mothnotch.pgwire import types as t
from mothnotch.sql.errors import SqlError, unsupported
from mothnotch.sql.evaluate import Evaluator
from mothnotch.sql.typer import Scope, Typer, check, folded

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

    what: str
    name: str
    tag: str


@dataclass(slots=True, frozen=True)
class Set:
    name: str
    value: str | None  # None: back to the default
    local: bool = False
    tag: str = "SET"


@dataclass(slots=True, frozen=True)
class Show:
    name: str
    tag: str = "SHOW"


@dataclass(slots=True, frozen=True)
class Reset:
    name: str | None  # None: all
    tag: str = "RESET"


@dataclass(slots=True, frozen=True)
class Discard:
    what: str
    tag: str = "DISCARD ALL"


@dataclass(slots=True, frozen=True)
class Deallocate:
    name: str | None  # None: all
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
class Values:
    """One row of expressions without a table."""

    nodes: tuple
    tag: str = "SELECT"


@dataclass(slots=True, frozen=True)
class CoverageRows:
    names: tuple
    tag: str = "SELECT"

    def of(self, piece):
        return [COVERAGE[name][1](piece) for name in self.names]


@dataclass(slots=True, frozen=True)
class NoRows:
    tag: str = "SELECT"


FIRST = re.compile(r"(?:\s|--[^\n]*\n|/\*.*?\*/)*([a-zA-Z]+)", re.DOTALL)
SET = re.compile(
    r"set\s+(?:(session|local)\s+)?(?:(time\s+zone)|([\w.]+)\s*(?:=|\bto\b))\s*(.+)$", re.I | re.S
)
ISOLATION = re.compile(
    r"isolation\s+level\s+(read\s+committed|read\s+uncommitted|repeatable\s+read|serializable)",
    re.I,
)
NOT_TAKEN = {
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


def utility(text):
    """The session statement that a text is, or None if it is for the planner."""
    found = FIRST.match(text)
    if found is None:
        return None
    word, rest = found[1].lower(), text[found.start(1) :].strip().rstrip(";").strip()
    if word in NOT_TAKEN:
        raise unsupported(
            NOT_TAKEN[word], "the root takes SELECT, INSERT, UPDATE, DELETE and session statements"
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


def _modes(rest):
    level = ISOLATION.search(rest)
    if level is not None and level[1].lower().split()[0] in ("repeatable", "serializable"):
        raise unsupported(
            f"ISOLATION LEVEL {level[1].upper()}",
            "leaves share no snapshot; READ COMMITTED is given",
        )
    return bool(re.search(r"\bread\s+only\b", rest, re.I))


def _begin(rest):
    return Begin(_modes(rest), "START TRANSACTION" if rest[:5].lower() == "start" else "BEGIN")


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


SAVEPOINT = re.compile(
    r"(savepoint|release(?:\s+savepoint)?|rollback\s+(?:work\s+|transaction\s+)?to(?:\s+savepoint)?)"
    r"\s+(\"[^\"]+\"|\w+)$",
    re.I,
)


def _savepoint(rest):
    found = SAVEPOINT.match(rest)
    if found is None:
        raise SqlError("42601", f'syntax error at or near "{rest[:40]}"')
    what = found[1].split()[0].upper()
    name = found[2][1:-1] if found[2][0] == '"' else found[2].lower()
    return Savepoint(what, name, what)


def _set(rest):
    if re.match(r"set\s+(session\s+characteristics\s+as\s+|local\s+)?transaction\b", rest, re.I):
        _modes(rest)
        return Set("transaction", "", True)
    found = SET.match(rest)
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

FUNCTIONS = {
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
    """The name of a function without a schema, for those this page answers; else None."""
    if isinstance(node, exp.Dot) and folded(node.this) == "pg_catalog":
        return function_name(node.expression)
    if (
        isinstance(node, exp.Column)
        and node.args.get("table") is None
        and not isinstance(node.this, exp.Star)
    ):
        return (
            folded(node.this)
            if folded(node.this) in ("current_catalog", "user", "current_user")
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
    def type(self, node, want=None, aggregates=False):
        name = function_name(node)
        if name in FUNCTIONS:
            for argument in (
                node.expressions if not isinstance(node, exp.Dot) else node.expression.expressions
            ):
                super().type(argument, t.TEXT)
            return FUNCTIONS[name]
        return super().type(node, want, aggregates)


class LocalEvaluator(Evaluator):
    """Evaluates with a session that answers the functions: `session.function(name, arguments)`."""

    def __init__(self, parameters, session):
        super().__init__(parameters)
        self.session = session

    def value(self, node):
        name = function_name(node)
        if name in FUNCTIONS:
            call = node.expression if isinstance(node, exp.Dot) else node
            return self.session.function(name, [self.value(a) for a in call.expressions])
        return super().value(node)


def select(tree, declared):
    """The plan of a SELECT without FROM."""
    from mothnotch.sql.plan import Plan, known, output_name

    check(tree, "expressions", "limit")
    typer = LocalTyper(Scope(declared))
    nodes, columns = [], []
    for node in tree.expressions:
        name = output_name(node.this if isinstance(node, exp.Alias) else node)
        if function_name(node) in FUNCTIONS:
            name = function_name(node)
        if isinstance(node, exp.Alias):
            node, name = node.this, folded(node.args["alias"])
        columns.append((name, known(typer.type(node))))
        nodes.append(node)
    return Plan("local", "SELECT", columns, typer.scope.oids(), statement=Values(tuple(nodes)))


COVERAGE = {
    "range_low": (t.INT8, lambda p: p.low),
    "range_high": (t.INT8, lambda p: p.high),
    "share": (t.FLOAT8, lambda p: p.weight),
    "answered": (t.BOOL, lambda p: p.answered),
    "why": (t.TEXT, lambda p: p.missing_reason or None),
    "leaf": (t.TEXT, lambda p: p.leaf),
    "read_ms_ago": (t.FLOAT8, lambda p: None if p.read_age_us is None else p.read_age_us / 1000),
}


def covers(tree):
    """Whether a SELECT asks for the coverage of the answer before it."""
    return any(x.name.lower() == "mothnotch_coverage" for x in tree.find_all(exp.Table))


def covered(tree):
    """SELECT * or columns FROM mothnotch_coverage: a row for each part of the last SELECT answered."""
    from mothnotch.sql.plan import Plan

    if any(
        tree.args.get(k)
        for k in ("where", "order", "group", "having", "limit", "offset", "joins", "distinct")
    ):
        raise unsupported(
            "a clause over mothnotch_coverage", "select its columns and sort them out yourself"
        )
    names = []
    for node in tree.expressions:
        if isinstance(node, exp.Star):
            names += COVERAGE
        elif isinstance(node, exp.Column) and folded(node.this) in COVERAGE:
            names.append(folded(node.this))
        else:
            raise SqlError("42703", f"mothnotch_coverage has the columns {', '.join(COVERAGE)}")
    return Plan(
        "local",
        "SELECT",
        [(name, COVERAGE[name][0]) for name in names],
        statement=CoverageRows(tuple(names)),
    )


def catalogue(tree):
    """Whether a SELECT asks the system catalogue about types; other questions to it are refused."""
    tables = list(tree.find_all(exp.Table))
    system = [
        x
        for x in tables
        if x.name.lower().startswith("pg_") or x.db.lower() in ("pg_catalog", "information_schema")
    ]
    if not system:
        return False
    if any(x.name.lower() == "pg_type" for x in system):
        return True
    raise unsupported(
        f"the system catalogue ({system[0].name})",
        "the root keeps none; the tables are in its configuration",
    )


def empty(tree, declared):
    """A look-up of types: none is known here beyond the built-in ones, so no row is found."""
    from mothnotch.sql.plan import Plan, output_name

    columns = []
    for node in tree.expressions:
        name = folded(node.args["alias"]) if isinstance(node, exp.Alias) else output_name(node)
        columns.append((name, t.TEXT))
    most = max([int(p.this.this) for p in tree.find_all(exp.Parameter)] + [len(declared)])
    oids = tuple(declared[n] if n < len(declared) and declared[n] else t.TEXT for n in range(most))
    return Plan("local", "SELECT", columns, oids, statement=NoRows())
