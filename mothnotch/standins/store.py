"""The tables of a stand-in fleet: one in-memory SQLite database for each bin range.

All leaves that hold a range share its database, in place of replication between them, which the
root does not see. A write transaction runs its statements, keeps their results and rolls them
back; COMMIT runs them again and is expected to get the same results. Therefore nothing is locked
while a connection is idle in a transaction, and readers see committed rows only.
"""

import math
import random
import re
import sqlite3

import sqlglot
from sqlglot import exp

from mothnotch.sql.dialect import Dialect

ITEMS = (
    "rice 2kg",
    "black beans",
    "oat flakes",
    "tomato, canned",
    "peanut butter",
    "pasta",
    "apple sauce",
    "tuna",
    "milk powder",
    "lentils",
    "corn, canned",
    "flour",
    "olive oil",
    "soup, vegetable",
    "cereal",
    "baby formula",
)
AGENCIES = ("nashua-pantry", "lowell-kitchen", "salem-shelter", "derry-table", "hudson-hands")
TABLES = {
    "stock": "bin INTEGER, item TEXT, lot TEXT, best_before TEXT, qty INTEGER",
    "orders": "bin INTEGER, order_id TEXT, agency TEXT, item TEXT, qty INTEGER",
    "holds": "bin INTEGER, order_id TEXT, item TEXT, qty INTEGER",
    "mothnotch_keys": "key TEXT PRIMARY KEY, answer TEXT, at REAL",
}
TAG = re.compile(r"^/\*(.*?)\*/\s*")


class EngineError(Exception):
    """An error that a leaf reports to its client, with its SQLSTATE."""

    def __init__(self, sqlstate, text):
        super().__init__(text)
        self.sqlstate = sqlstate


def to_sqlite(sql):
    """Translate a statement from PostgreSQL's dialect to SQLite's.

    Return the translated text and, for each selected column, whether it is a boolean.
    """
    tree = sqlglot.parse_one(sql, read=Dialect)

    def convert(node):
        if isinstance(node, exp.Collate):
            return node.this
        if isinstance(node, (exp.Div, exp.Mod)):
            name = "pg_div" if isinstance(node, exp.Div) else "pg_mod"
            return exp.Anonymous(this=name, expressions=[node.this, node.expression])
        if isinstance(node, exp.Like) and not isinstance(node.parent, exp.Escape):
            return exp.Escape(this=node.copy(), expression=exp.Literal.string("\\"))
        if isinstance(node, exp.Limit):
            return exp.Limit(
                expression=exp.Coalesce(this=node.expression, expressions=[exp.Literal.number(-1)])
            )
        if isinstance(node, exp.Cast) and node.args["to"].sql().upper() in ("DATE", "TIMESTAMP"):
            return node.this
        return node

    tree = tree.transform(convert)
    booleans = [
        isinstance(column.unalias(), (exp.Predicate, exp.Connector, exp.Not, exp.Boolean))
        for column in getattr(tree, "selects", [])
    ]
    return re.sub(r"[$@:](\d+)", r"?\1", tree.sql("sqlite")), booleans


def pg_div(a, b):
    """Divide as PostgreSQL does: integers truncate toward zero."""
    if a is None or b is None:
        return None
    if b == 0:
        raise ZeroDivisionError
    if isinstance(a, int) and isinstance(b, int):
        quotient = abs(a) // abs(b)
        return quotient if (a < 0) == (b < 0) else -quotient
    return a / b


def pg_mod(a, b):
    """Return the remainder as PostgreSQL does: it has the sign of the dividend."""
    if a is None or b is None:
        return None
    if b == 0:
        raise ZeroDivisionError
    return int(math.fmod(a, b)) if isinstance(a, int) and isinstance(b, int) else math.fmod(a, b)


def create_database():
    """Create an in-memory database with the empty tables of a range."""
    db = sqlite3.connect(
        ":memory:", isolation_level=None, check_same_thread=False, cached_statements=512
    )
    db.execute("PRAGMA case_sensitive_like = ON")
    db.create_function("pg_div", 2, pg_div, deterministic=True)
    db.create_function("pg_mod", 2, pg_mod, deterministic=True)
    for name, columns in TABLES.items():
        db.execute(f"CREATE TABLE {name} ({columns})")
        if "bin" in columns:
            db.execute(f"CREATE INDEX {name}_bin ON {name} (bin)")
    return db


class Store:
    """The databases of all ranges of a fleet.

    `bounds` are the range bounds of the schema; the sample rows are generated from the seed.
    """

    def __init__(self, bounds, seed=1, rows=250):
        self.bounds, self.rng = bounds, random.Random(seed)
        self.ranges = [create_database() for _ in bounds[:-1]]
        for shard, db in enumerate(self.ranges):
            low, high = bounds[shard], bounds[shard + 1]
            for _ in range(rows):
                db.execute("INSERT INTO stock VALUES (?,?,?,?,?)", self.stock_row(low, high))
                if self.rng.random() < 0.4:
                    db.execute("INSERT INTO orders VALUES (?,?,?,?,?)", self.order_row(low, high))
        self.translations = {}  # PostgreSQL text -> result of to_sqlite
        self.allow_duplicate_keys = False  # planted defect: repeated writes are not dropped

    def stock_row(self, low, high):
        rng = self.rng
        date = (
            f"2026-{rng.randint(1, 12):02d}-{rng.randint(1, 28):02d}"
            if rng.random() < 0.9
            else None
        )
        qty = rng.randint(0, 120) if rng.random() < 0.95 else None
        return rng.randrange(low, high), rng.choice(ITEMS), f"L{rng.randint(1, 400):04d}", date, qty

    def order_row(self, low, high):
        rng = self.rng
        return (
            rng.randrange(low, high),
            f"A{rng.randrange(10**6):06d}",
            rng.choice(AGENCIES),
            rng.choice(ITEMS),
            rng.randint(1, 40),
        )

    def translate(self, text):
        """Return the result of `to_sqlite`, from a cache of at most 2,000 statements."""
        translation = self.translations.get(text)
        if translation is None:
            if len(self.translations) >= 2000:
                self.translations.clear()
            try:
                translation = self.translations[text] = to_sqlite(text)
            except sqlglot.errors.SqlglotError as error:
                raise EngineError("42601", f"syntax error: {error}") from None
        return translation

    def run(self, shard, text, values):
        """Run one statement; return (column names, rows in text format, affected row count)."""
        sql, booleans = self.translate(text)
        try:
            cursor = self.ranges[shard].execute(sql, values)
            rows = [
                tuple(
                    to_text_format(v, n < len(booleans) and booleans[n]) for n, v in enumerate(row)
                )
                for row in cursor
            ]
        except sqlite3.IntegrityError as error:
            raise EngineError(
                "23505", f"duplicate key value violates unique constraint: {error}"
            ) from None
        except sqlite3.OperationalError as error:
            message = str(error)
            if "user-defined function" in message:
                raise EngineError("22012", "division by zero") from None
            raise EngineError(
                "42703"
                if "no such column" in message
                else "42P01"
                if "no such table" in message
                else "42601",
                message,
            ) from None
        except (sqlite3.Error, OverflowError) as error:
            raise EngineError("22000", str(error)) from None
        return [d[0] for d in cursor.description or ()], rows, cursor.rowcount

    def run_together(self, shard, statements, commit):
        """Run statements in one transaction, commit or roll it back, and return their results."""
        db, results = self.ranges[shard], []
        db.execute("BEGIN")
        try:
            for text, values in statements:
                if self.allow_duplicate_keys and "INTO mothnotch_keys" in text:
                    values = (f"{values[0]}/{self.rng.random()}", *values[1:])
                results.append(self.run(shard, text, values))
        except EngineError:
            db.execute("ROLLBACK")
            raise
        db.execute("COMMIT" if commit else "ROLLBACK")
        return results

    def unsharded_copy(self):
        """Return one database with all rows, as an unsharded engine would hold them."""
        db = create_database()
        for range_db in self.ranges:
            for table in TABLES:
                for row in range_db.execute(f"SELECT * FROM {table}"):
                    db.execute(f"INSERT INTO {table} VALUES ({','.join('?' * len(row))})", row)
        return db


def to_text_format(value, is_boolean):
    """Encode a value in PostgreSQL's text format."""
    if value is None:
        return None
    if is_boolean:
        return b"t" if value else b"f"
    if isinstance(value, float):
        return (
            str(int(value)) if value.is_integer() and abs(value) < 1e15 else repr(value)
        ).encode()
    return value if isinstance(value, bytes) else str(value).encode()
