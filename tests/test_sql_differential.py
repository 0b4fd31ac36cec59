"""Generated SQL over the shards gives what the same engine gives unsharded: ties, NULLs and empty
ranges included.
"""

import itertools
import random
from decimal import Decimal

import pytest

from mothnotch import demo
from mothnotch.decisions.memory_budget import MemoryBudget
from mothnotch.merge.runs import Room
from mothnotch.merge.spool import Spool
from mothnotch.pgwire import types as t
from mothnotch.sql.errors import SqlError
from mothnotch.sql.gather import gather, gather_blocks
from mothnotch.sql.plan import Planner
from mothnotch.standins.store import Store, shown

CONFIG = demo.config()
SCHEMA = CONFIG.schema()
STORE = Store(CONFIG.bounds(), seed=7, rows=12)
WHOLE = STORE.whole()
PLANNER = Planner(SCHEMA)
COLUMNS = {
    "stock": ["bin", "item", "lot", "best_before", "qty"],
    "orders": ["bin", "order_id", "agency", "item", "qty"],
}


def split(sql, parameters=()):
    """What the root gives: (plan, rows in text format). A text that carries its values goes the way
    of a simple query, its literals lifted.
    """
    plan, parameters = (PLANNER.plan(sql), parameters) if parameters else PLANNER.plan_text(sql)
    parts = []
    for shard in plan.shards(SCHEMA, parameters):
        values = [v if v is None else v.decode() for v in plan.values(parameters)]
        values += list(SCHEMA.range(shard))
        if plan.limited:
            skip, show = plan.gather.limits(parameters)
            values.append(None if show is None else skip + show)
        values = [
            int(v) if isinstance(v, str) and oid in t.INTS else v
            for v, oid in zip(values, [*plan.oids, 23, 23, 20], strict=False)
        ]
        parts.append([list(row) for row in STORE.run(shard, plan.sql, values)[1]])
    rows = gather(plan, parts, parameters)
    check_streamed(plan, parts, parameters, rows)
    return plan, rows


def check_streamed(plan, parts, parameters, rows):
    """The same within next to no memory: the same rows, in an order that ORDER BY finds equal."""
    g, budget = plan.gather, MemoryBudget(1 << 12, 1 << 24)
    budget.open("q", 1.0)
    room = Room(budget, "q")
    spools = []
    for part in parts:
        spools.append(Spool(room))
        for row in part:
            spools[-1].add(row, sum(len(v) for v in row if v is not None))
    found = list(itertools.chain.from_iterable(gather_blocks(plan, spools, parameters, room)))
    room.close()
    assert budget.memory.used == budget.disk.used == 0
    if g.limit is None and g.offset is None:
        assert sorted(found, key=repr) == sorted(rows, key=repr)
    assert len(found) == len(rows)
    for key in g.keys[:1]:
        if key.column < g.width:
            assert [row[key.column] for row in found] == [row[key.column] for row in rows]


def unsharded(sql, parameters=()):
    text, booleans = STORE.read(sql)
    return [
        [shown(v, n < len(booleans) and booleans[n]) for n, v in enumerate(row)]
        for row in WHOLE.execute(text, parameters)
    ]


def alike(ours, theirs, columns):
    """Equal but for how a mean is written: SQLite's is a float."""
    if len(ours) != len(theirs):
        return False
    for a, b, (_, oid) in zip(ours, theirs, columns, strict=True):
        if (a is None) != (b is None):
            return False
        if a is not None and oid in (t.NUMERIC, t.FLOAT8):
            if abs(Decimal(a.decode()) - Decimal(b.decode())) > Decimal("1e-9") * max(
                1, abs(Decimal(a.decode()))
            ):
                return False
        elif a != b:
            return False
    return True


class Maker:
    """Statements of the kinds the root takes."""

    def __init__(self, seed):
        self.r = random.Random(seed)

    def number(self, table):
        r = self.r
        return r.choice(
            [
                "qty",
                "bin",
                "qty + 1",
                "qty * 2",
                "qty - bin",
                "qty / 7",
                "qty % 5",
                "abs(qty - 50)",
                "coalesce(qty, 0)",
                "length(item)",
                "-qty",
                "nullif(qty, 3)",
            ]
        )

    def text(self, table):
        return self.r.choice(
            [
                "item",
                "item",
                "lower(item)",
                "upper(item)",
                "item || '!'",
                "lot" if table == "stock" else "agency",
                "coalesce(item, 'x')",
            ]
        )

    def scalar(self, table):
        r = self.r
        if r.random() < 0.15:
            return f"CASE WHEN {self.condition(table)} THEN {self.number(table)} ELSE {r.randint(0, 9)} END"
        if table == "stock" and r.random() < 0.15:
            return "best_before"
        return self.number(table) if r.random() < 0.55 else self.text(table)

    def condition(self, table, depth=0):
        r = self.r
        if depth < 2 and r.random() < 0.3:
            joined = r.choice([" AND ", " OR ", " AND "]).join(
                self.condition(table, depth + 1) for _ in range(2)
            )
            return f"NOT ({joined})" if r.random() < 0.2 else f"({joined})"
        kind = r.randrange(10)
        n = self.number(table)
        if kind < 3:
            low = r.randrange(-50, 2500)
            return r.choice(
                [
                    f"bin = {low}",
                    f"bin < {low}",
                    f"bin >= {low}",
                    f"{low} > bin",
                    f"bin <= {low}",
                    f"bin BETWEEN {low} AND {low + r.randrange(-20, 700)}",
                    f"bin IN ({low}, {low + 300}, {low + 301})",
                    f"bin > {low}",
                ]
            )
        if kind < 5:
            return f"{n} {r.choice(['=', '<>', '<', '<=', '>', '>='])} {r.randrange(0, 120)}"
        if kind == 5:
            return f"{self.text(table)} {r.choice(['=', '<', '>'])} '{r.choice(['rice 2kg', 'pasta', 'M', 'a'])}'"
        if kind == 6:
            return f"item {r.choice(['LIKE', 'NOT LIKE'])} '{r.choice(['%canned', 'p%', '%a_t%', '_i%'])}'"
        if kind == 7:
            return f"{r.choice(COLUMNS[table])} IS {r.choice(['', 'NOT '])}NULL"
        if kind == 8:
            return f"{n} BETWEEN {r.randrange(0, 60)} AND {r.randrange(30, 120)}"
        return f"qty {r.choice(['', 'NOT '])}IN ({r.randrange(60)}, {r.randrange(60)}, NULL)"

    def where(self, table):
        return f" WHERE {self.condition(table)}" if self.r.random() < 0.7 else ""

    def order(self, count):
        r, keys = self.r, []
        for n in r.sample(range(1, count + 1), r.randint(1, count)):
            keys.append(
                f"{n}{r.choice(['', ' ASC', ' DESC'])}{r.choice(['', '', ' NULLS FIRST', ' NULLS LAST'])}"
            )
        return keys

    def limit(self):
        r = self.r
        return (f" LIMIT {r.randint(0, 15)}" if r.random() < 0.7 else "") + (
            f" OFFSET {r.randint(0, 9)}" if r.random() < 0.4 else ""
        )

    def plain(self):
        """A SELECT without aggregates: ordered by all of its columns, if it has a LIMIT, so that
        one answer is right.
        """
        r, table = self.r, self.r.choice(["stock", "orders"])
        items = [self.scalar(table) for _ in range(r.randint(1, 4))]
        sql = f"SELECT {r.choice(['', '', 'DISTINCT '])}{', '.join(items)} FROM {table}{self.where(table)}"
        if r.random() < 0.6:
            keys = self.order(len(items))
            rest = [
                str(n)
                for n in range(1, len(items) + 1)
                if str(n) not in [k.split()[0] for k in keys]
            ]
            return sql + f" ORDER BY {', '.join(keys + rest)}" + self.limit(), True
        return sql, False

    def aggregate(self, table):
        r = self.r
        found = r.choice(
            [
                "count(*)",
                f"count({self.scalar(table)})",
                f"sum({self.number(table)})",
                f"avg({self.number(table)})",
                f"min({self.scalar(table)})",
                f"max({self.scalar(table)})",
            ]
        )
        if r.random() < 0.2:
            found += f" FILTER (WHERE {self.condition(table)})"
        return found

    def grouped(self):
        r, table = self.r, self.r.choice(["stock", "orders"])
        keys = [self.scalar(table) for _ in range(r.choice([0, 1, 1, 2]))]
        items = keys + [self.aggregate(table) for _ in range(r.randint(1, 3))]
        if r.random() < 0.3:
            items.append(f"count(*) + coalesce(sum({self.number(table)}), 0)")
        sql = f"SELECT {', '.join(items)} FROM {table}{self.where(table)}"
        if keys:
            sql += " GROUP BY " + ", ".join(
                str(n + 1) if r.random() < 0.5 else key for n, key in enumerate(keys)
            )
        if r.random() < 0.4:
            sql += (
                f" HAVING {r.choice(['count(*)', 'sum(qty)', 'max(qty)', 'min(bin)'])} {r.choice(['>', '<=', '<>'])} "
                f"{r.randrange(0, 40)}"
            )
        if r.random() < 0.6:
            # The groups' keys come last, so that the order is total; means are left out, they
            # differ in writing.
            sortable = [n + 1 for n, item in enumerate(items) if not item.startswith("avg")]
            chosen = r.sample(sortable, r.randint(0, len(sortable)))
            ordered = [
                f"{n}{r.choice(['', ' DESC'])}{r.choice(['', ' NULLS FIRST', ' NULLS LAST'])}"
                for n in chosen
            ]
            ordered += [str(n) for n in range(1, len(keys) + 1) if n not in chosen]
            if ordered:
                return sql + f" ORDER BY {', '.join(ordered)}" + self.limit(), True
        return sql, False

    def joined(self):
        r = self.r
        kind = r.choice(["JOIN", "LEFT JOIN", "INNER JOIN"])
        on = "s.bin = o.bin" + r.choice(["", " AND s.item = o.item", " AND o.qty > 10"])
        where = r.choice(
            [
                "",
                " WHERE s.bin < 900",
                " WHERE o.qty > 20",
                " WHERE s.qty IS NOT NULL AND s.bin >= 1500",
                " WHERE o.bin BETWEEN 100 AND 800",
            ]
        )
        if r.random() < 0.5:
            keys = r.choice(["s.item", "o.agency", "s.bin"])
            return (
                f"SELECT {keys}, count(*), sum(o.qty), max(s.qty) FROM stock s {kind} orders o ON {on}{where} "
                f"GROUP BY {keys} ORDER BY 1 {r.choice(['', 'DESC'])}{self.limit()}"
            ), True
        return (
            f"SELECT s.bin, s.item, o.order_id, o.qty FROM stock s {kind} orders o ON {on}{where}",
            False,
        )

    def one(self):
        return self.r.choice([self.plain, self.grouped, self.grouped, self.joined])()


@pytest.mark.parametrize("block", range(8))
def test_split_gives_what_one_engine_gives(block):
    refused = 0
    for n in range(250):
        sql, ordered = Maker(block * 100_000 + n).one()
        try:
            plan, ours = split(sql)
        except SqlError as error:
            assert error.sqlstate in ("0A000", "42883", "42P10", "42803", "42804"), (sql, error)
            refused += 1
            continue
        theirs = unsharded(sql)
        if not ordered:
            ours, theirs = sorted(ours, key=repr), sorted(theirs, key=repr)
            if any(oid in (t.NUMERIC, t.FLOAT8) for _, oid in plan.columns):

                def place(row, plan=plan):
                    return [
                        (
                            v is None,
                            b""
                            if v is None
                            else b"%20.6f" % float(v)
                            if oid in (t.NUMERIC, t.FLOAT8)
                            else v,
                        )
                        for v, (_, oid) in zip(row, plan.columns, strict=True)
                    ]

                ours, theirs = sorted(ours, key=place), sorted(theirs, key=place)
        assert len(ours) == len(theirs), (sql, ours, theirs)
        for a, b in zip(ours, theirs, strict=True):
            assert alike(a, b, plan.columns), (sql, a, b)
    assert refused < 200


def test_bound_parameters_prune_and_answer_alike():
    r = random.Random(5)
    for _ in range(150):
        low, high, least = r.randrange(-10, 2500), r.randrange(-10, 2500), r.randrange(120)
        for where, values in (
            ("bin = $1 AND qty > $2", (low, least)),
            ("bin BETWEEN $1 AND $2", (low, high)),
            ("bin IN ($1, $2) OR qty = 3", (low, high)),
            ("$1 <= bin AND bin < $2", (low, high)),
            ("bin >= $1 AND bin IN ($2, 7, 1000)", (low, high)),
        ):
            sql = f"SELECT bin, item, qty FROM stock WHERE {where} ORDER BY 1, 2, 3 LIMIT $3"
            _, ours = split(sql, (*values, 10))
            assert ours == unsharded(sql, (*values, 10)), (sql, values)


def test_texts_alike_but_for_their_values_share_a_plan():
    planner = Planner(SCHEMA)
    for n in range(50):
        plan, values = planner.plan_text(
            f"SELECT item, qty + 1 FROM stock WHERE bin = {n} AND item = 'it''s {n}' "
            f"AND best_before > '2026-01-{n % 28 + 1:02d}' ORDER BY 1 LIMIT {n + 5}"
        )
        assert plan.shards(SCHEMA, values) == [0] and f"it's {n}" in values
        assert plan.gather.limits(values) == (0, n + 5)
    assert (
        len(planner.cache) <= 3 and planner.misses <= 3
    )  # 1 and 5 may be equal to another literal


@pytest.mark.parametrize(
    "sql",
    [
        "SELECT item FROM stock WHERE best_before = DATE '2026-01-01'",
        "SELECT item FROM stock GROUP BY item ORDER BY 1",
        "SELECT qty + 1, count(*) FROM stock GROUP BY qty + 1",
        "SELECT qty::text || 'a' FROM stock ORDER BY 1 FETCH FIRST 3 ROWS ONLY",
        "SELECT CASE WHEN qty > 3 THEN 'a' ELSE 'b' END, count(*) FROM stock GROUP BY 1 ORDER BY 1",
        "SELECT -5 + qty FROM stock WHERE bin > -3 ORDER BY 1 LIMIT 4",
        "SELECT 'a', 1.50 + qty FROM stock ORDER BY 2 LIMIT 2",
    ],
)
def test_lifting_changes_no_answer(sql):
    plan = PLANNER.plan(sql)
    lifted, values = PLANNER.plan_text(sql)
    assert [oid for _, oid in lifted.columns] == [oid for _, oid in plan.columns]
    assert [name for name, _ in lifted.columns] == [name for name, _ in plan.columns]
    assert lifted.shards(SCHEMA, values) == plan.shards(SCHEMA, ()) or "-3" in sql
    assert split(sql)[1] == gather_plain(sql)


def gather_plain(sql):
    plan = PLANNER.plan(sql)
    parts = []
    for shard in plan.shards(SCHEMA, ()):
        extra = [sum(plan.gather.limits(()))] if plan.limited else []
        parts.append(
            [list(row) for row in STORE.run(shard, plan.sql, [*SCHEMA.range(shard), *extra])[1]]
        )
    return gather(plan, parts, ())


def test_pruning_asks_few_ranges():
    assert PLANNER.plan("SELECT item FROM stock WHERE bin = 250").shards(SCHEMA, ()) == [2]
    assert PLANNER.plan("SELECT item FROM stock WHERE bin > 199 AND bin < 400").shards(
        SCHEMA, ()
    ) == [2, 3]
    assert PLANNER.plan("SELECT item FROM stock WHERE bin >= $1 AND bin <= $2").shards(
        SCHEMA, (100, 199)
    ) == [1]
    assert PLANNER.plan("SELECT count(*) FROM stock WHERE bin = 99999").shards(SCHEMA, ()) == [0]
    assert (
        len(PLANNER.plan("SELECT item FROM stock WHERE bin = 250 OR qty = 1").shards(SCHEMA, ()))
        == 24
    )


@pytest.mark.parametrize(
    "sql, named",
    [
        ("SELECT count(DISTINCT item) FROM stock", "count(DISTINCT)"),
        ("SELECT row_number() OVER () FROM stock", "window function"),
        ("SELECT item FROM stock WHERE bin IN (SELECT bin FROM orders)", "subquery"),
        ("WITH a AS (SELECT 1) SELECT * FROM a", "WITH"),
        ("SELECT item FROM stock UNION SELECT item FROM orders", "UNION"),
        ("SELECT item FROM stock FOR UPDATE", "LOCKS"),
        ("SELECT s.item FROM stock s JOIN orders o ON s.item = o.item", "shard column"),
        ("SELECT s.item FROM stock s FULL JOIN orders o ON s.bin = o.bin", "FULL"),
        ("SELECT DISTINCT ON (item) item, qty FROM stock", "ON"),
        ("SELECT item FROM stock TABLESAMPLE SYSTEM (10)", "SAMPLE"),
        ("SELECT random() FROM stock", "function rand"),
        ('SELECT item FROM stock ORDER BY item COLLATE "de_DE"', "collation"),
        ("SELECT string_agg(item, ',') FROM stock", "function"),
        ("INSERT INTO holds SELECT bin, order_id, item, qty FROM orders", "INSERT ... SELECT"),
        ("UPDATE stock SET bin = 3 WHERE bin = 2", "setting bin"),
        ("SELECT (SELECT 1) FROM stock", "subquery"),
        ("SELECT item FROM stock, LATERAL (SELECT 1) x", "LATERAL"),
        ("SELECT sum(qty) FROM stock GROUP BY ROLLUP (item)", "ROLLUP"),
        ("CREATE TABLE x (a int)", "CREATE"),
        ("BEGIN ISOLATION LEVEL SERIALIZABLE", "ISOLATION LEVEL"),
        ("SELECT item FROM stock FETCH FIRST 3 ROWS WITH TIES", "WITH TIES"),
    ],
)
def test_what_is_not_known_to_stay_right_is_refused_by_name(sql, named):
    with pytest.raises(SqlError) as caught:
        PLANNER.plan(sql)
    assert caught.value.sqlstate == "0A000"
    assert named.lower() in str(caught.value).lower()


@pytest.mark.parametrize(
    "sql, sqlstate",
    [
        ("SELECT nope FROM stock", "42703"),
        ("SELECT 1 FROM nope", "42P01"),
        ("SELEC 1", "42601"),
        ("SELECT (", "42601"),
        ("SELECT item, count(*) FROM stock", "42803"),
        ("SELECT item FROM stock ORDER BY 7", "42P10"),
        ("SELECT item FROM stock WHERE qty", "42804"),
        ("SELECT item + 1 FROM stock", "42883"),
        ("SELECT s.item FROM stock s, stock s", "42712"),
        ("SELECT bin FROM stock s, orders o WHERE s.bin = o.bin", "42702"),
        ("SELECT sum(item) FROM stock", "42883"),
        ("SELECT item FROM stock WHERE count(*) > 1", "42803"),
        ("INSERT INTO holds (bin, nope) VALUES (1, 2)", "42703"),
        ("INSERT INTO holds (bin, item) VALUES (1)", "42601"),
        ("SELECT " + "(" * 3000 + "1" + ")" * 3000, "54001"),
    ],
)
def test_errors_are_those_that_postgresql_names(sql, sqlstate):
    with pytest.raises(SqlError) as caught:
        PLANNER.plan(sql)
    assert caught.value.sqlstate == sqlstate
