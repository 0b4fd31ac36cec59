"""Plan statements: the SQL that is sent to each shard, and how the results are combined.

A plan depends only on the text, the declared parameter types and the schema, so it is cached. What
depends on bound values (which shards, how many rows) is computed at execution by `Plan.shards` and
`Gather.limits`.
"""

import re
from collections import OrderedDict
from dataclasses import dataclass, field
from decimal import Decimal

import sqlglot
from sqlglot import exp

from mothnotch.pgwire import types as t
from mothnotch.sql import local
from mothnotch.sql.dialect import Dialect
from mothnotch.sql.errors import SqlError, unsupported
from mothnotch.sql.evaluate import cast_value
from mothnotch.sql.lift import parameterize
from mothnotch.sql.typer import (
    AGGREGATES,
    Scope,
    Typer,
    cast_type,
    check_properties,
    construct_name,
    folded_name,
    parameter_number,
)

LITERAL = re.compile(r"'(?:[^']|'')*'|(?<![\w$])\d+(?:\.\d+)?")
MAX_TEXT_CHARS = 1 << 16  # a longer statement is rejected
CHEAP_TEXT_CHARS = 512  # a text up to this length is parsed without noticeably blocking others
MAX_JOINED_TABLES = 8


@dataclass(slots=True, frozen=True)
class Operand:
    """A value known once parameters are bound: a literal, or the parameter of a number from 1.

    `cast` is the OID of the type to cast the value to, or None.
    """

    value: object = None
    number: int | None = None
    cast: int | None = None

    def bound_value(self, parameters):
        """Return the operand's value with the given parameters."""
        value = self.value if self.number is None else parameters[self.number - 1]
        return value if self.cast is None or value is None else cast_value(value, self.cast)


@dataclass(slots=True, frozen=True)
class SortKey:
    """One sort key: its column in the leaf's rows or in the groups' output, its type and order."""

    column: int
    oid: int
    desc: bool
    nulls_first: bool


@dataclass(slots=True)
class Gather:
    """How the parts' rows are combined into the result; see mothnotch/sql/gather.py."""

    width: int  # number of output columns
    oids: tuple  # types of the leaf's columns, in order
    keys: tuple = ()
    distinct: bool = False
    limit: Operand | None = None
    offset: Operand | None = None
    grouped: bool = False
    group_columns: int = 0  # number of leading columns that are the group key
    aggregate_columns: tuple = ()  # for each aggregate: (kind, first column of its partial values)
    outputs: tuple = ()  # expressions over slots: output columns, then sort keys
    having: object = None

    def limits(self, parameters):
        """Return (rows to skip, rows to return or None for all) with bound values.

        Raise PostgreSQL's errors for negative values.
        """
        limits = []
        for operand, what, code in (
            (self.offset, "OFFSET", "2201X"),
            (self.limit, "LIMIT", "2201W"),
        ):
            value = None if operand is None else operand.bound_value(parameters)
            if value is not None and value < 0:
                raise SqlError(code, f"{what} must not be negative")
            limits.append(value)
        return limits[0] or 0, limits[1]


@dataclass(slots=True)
class Plan:
    """The plan of one statement.

    `kind` is "select", "write" or "local". `conditions` are (operator, operands) pairs that the
    shard column has to satisfy; the operators are "in", "lt", "le", "gt" and "ge".
    """

    kind: str
    tag: str
    # Output columns as (name, type OID); empty if the statement returns no rows.
    columns: list = field(default_factory=list)
    oids: tuple = ()  # types of the parameters
    tables: tuple = ()
    conditions: tuple = ()
    shard_oid: int = t.INT4
    sql: str = ""  # sent to the leaf
    limited: bool = False  # the leaf's SQL has a LIMIT parameter
    gather: Gather | None = None
    table: str = ""  # the table that is written
    inserted_shard_values: tuple = ()  # INSERT: the operand of the shard column in each row
    count_sql: str | None = None  # UPDATE, DELETE: counts the rows that it would change
    returning: bool = False
    row_count_known: bool = True  # the number of rows changed is known before execution
    statement: object = None  # kind "local": the statement to execute
    shape: str = ""  # the leaf's SQL without literals; statements of one shape have similar costs

    def __post_init__(self):
        self.shape = LITERAL.sub("?", self.sql)

    def values(self, parameters):
        """Return the parameters in text format, as they are sent to the leaf."""
        return tuple(
            None if p is None else t.to_text(oid, p)
            for oid, p in zip(self.oids, parameters, strict=True)
        )

    def shards(self, schema, parameters):
        """Return the shards that can hold matching rows.

        For a read there is at least one, so that the result has its columns and, without GROUP BY,
        its aggregates.
        """
        if self.inserted_shard_values:
            return [self._insert_shard(schema, parameters)]
        shards = set(range(schema.shard_count))
        for op, operands in self.conditions:
            values = [operand.bound_value(parameters) for operand in operands]
            if op == "in":
                shards &= {schema.shard_of(v) for v in values if v is not None}
            elif values[0] is None:
                shards = set()
            elif op in ("ge", "gt"):
                shards &= set(schema.shards_between(values[0], None, op == "gt", False))
            else:
                shards &= set(schema.shards_between(None, values[0], False, op == "lt"))
        shards.discard(None)
        return sorted(shards) or ([] if self.kind == "write" else [0])

    def _insert_shard(self, schema, parameters):
        shards = set()
        for operand in self.inserted_shard_values:
            value = operand.bound_value(parameters)
            shard = None if value is None else schema.shard_of(value)
            if shard is None:
                raise SqlError(
                    "23514",
                    f'no bin range holds {value!r}: new row for relation "{self.table}" '
                    "belongs nowhere",
                )
            shards.add(shard)
        if len(shards) > 1:
            raise unsupported(
                "an INSERT into several bin ranges",
                "no one leaf could commit them together; " "use one statement for each range",
            )
        return shards.pop()

    def shard_value(self, parameters):
        """Return the only value that the shard column can have, or None.

        Queries with the same value prefer the same leaves.
        """
        for op, operands in self.conditions:
            if op == "in" and len(operands) == 1:
                return operands[0].bound_value(parameters)
        return (
            self.inserted_shard_values[0].bound_value(parameters)
            if self.inserted_shard_values
            else None
        )


class Planner:
    """Plans statements and caches the plans of the `size` most recently used texts."""

    def __init__(self, schema, size=512):
        self.schema, self.size, self.cache = schema, size, OrderedDict()
        self.hits = self.misses = 0
        self.unplannable = set()  # (text, types) of parameterized statements that failed to plan

    def split(self, text):
        """Split a simple query into the texts of its statements.

        Raise SqlError if the query cannot be tokenized.
        """
        if ";" not in text.rstrip().rstrip(";"):
            stripped = text.strip().rstrip(";").strip()
            return [stripped] if stripped and not comment_only(stripped) else []
        try:
            tokens = sqlglot.tokenize(text, read=Dialect)
        except sqlglot.errors.SqlglotError as error:
            raise syntax_error(error) from None
        pieces, start = [], 0
        for token in tokens:
            if token.token_type is sqlglot.TokenType.SEMICOLON:
                pieces.append(text[start : token.start])
                start = token.end + 1
        pieces.append(text[start:])
        return [piece.strip() for piece in pieces if piece.strip() and not comment_only(piece)]

    def plan(self, text, declared=()):
        """Return the plan of one statement, or raise SqlError.

        `declared` holds the type OIDs of the parameters, 0 for unknown.
        """
        key = (text, declared)
        cached = self.cache.get(key)
        if cached is not None:
            self.cache.move_to_end(key)
            self.hits += 1
            return cached
        self.misses += 1
        plan = self.make_plan(text, declared)
        if len(text) < 16384:  # bounds the memory of the cache together with its size
            self.cache[key] = plan
            if len(self.cache) > self.size:
                self.cache.popitem(last=False)
        return plan

    def plan_text(self, text):
        """Return (plan, parameter values) of a statement with its values in the text.

        Statements that differ only in their literals share one plan where possible.
        """
        parameterized = parameterize(text) if (text, ()) not in self.cache else None
        if parameterized is None:
            return self.plan(text), ()
        shape, oids, values = parameterized
        if (shape, oids) in self.unplannable:
            return self.plan(text), ()
        try:
            plan = self.plan(shape, oids)
            return plan, tuple(
                value if oid else t.from_text(inferred_oid, value)
                for oid, inferred_oid, value in zip(oids, plan.oids, values, strict=True)
            )
        except SqlError:
            # The original text may be valid; otherwise its error quotes what the client wrote.
            if len(self.unplannable) >= self.size:
                self.unplannable.clear()
            self.unplannable.add((shape, oids))
        except (t.InvalidValueError, ValueError):
            pass
        return self.plan(text), ()

    def is_cheap_to_plan(self, text, declared=()):
        """Return whether planning takes little time: the text is short or its plan is cached."""
        return len(text) <= CHEAP_TEXT_CHARS or (text, declared) in self.cache

    def make_plan(self, text, declared):
        """Plan one statement without the cache."""
        if len(text) > MAX_TEXT_CHARS:
            raise SqlError(
                "54000", f"statement of {len(text)} characters; {MAX_TEXT_CHARS} at most are read"
            )
        statement = local.parse_session_statement(text)
        if statement is not None:
            if type(statement) is local.Explain:
                inner = self.plan(statement.text, declared)
                return Plan(
                    "local",
                    "EXPLAIN",
                    [("QUERY PLAN", t.TEXT)],
                    inner.oids,
                    inner.tables,
                    statement=local.Explain(statement.text, inner),
                )
            columns = [(statement.name, t.TEXT)] if type(statement) is local.Show else []
            return Plan("local", statement.tag, columns, statement=statement)
        try:
            trees = sqlglot.parse(text, read=Dialect)
        except sqlglot.errors.SqlglotError as error:
            raise syntax_error(error) from None
        except RecursionError:
            raise SqlError("54001", "statement is nested too deeply") from None
        if len(trees) != 1 or trees[0] is None:
            raise SqlError("42601", "cannot insert multiple commands into a prepared statement")
        tree = trees[0]
        try:
            if isinstance(tree, exp.Select):
                return self.plan_select(tree, declared)
            if isinstance(tree, exp.Insert):
                return WritePlanner(self.schema, declared).insert(tree)
            if isinstance(tree, exp.Update):
                return WritePlanner(self.schema, declared).update(tree)
            if isinstance(tree, exp.Delete):
                return WritePlanner(self.schema, declared).delete(tree)
        except RecursionError:
            raise SqlError("54001", "statement is nested too deeply") from None
        if isinstance(tree, exp.Condition):
            raise SqlError("42601", f'syntax error at or near "{text.split()[0][:40]}"')
        raise unsupported(
            construct_name(tree) if not isinstance(tree, exp.Command) else f"{tree.name.upper()}",
            "the root takes SELECT, INSERT, UPDATE, DELETE and session statements",
        )

    def plan_select(self, tree, declared):
        source = tree.args.get("from_")
        if source is None:
            return local.plan_tableless_select(tree, declared)
        if local.reads_coverage(tree):
            return local.plan_coverage_select(tree)
        if local.reads_type_catalog(tree):
            return local.plan_type_lookup(tree, declared)
        return SelectPlanner(self.schema, declared).plan(tree)


def comment_only(text):
    """Return whether a text consists of comments only."""
    if "--" not in text and "/*" not in text:
        return False
    try:
        return not sqlglot.tokenize(text, read=Dialect)
    except sqlglot.errors.SqlglotError:
        return False


def syntax_error(error):
    """Convert an error of the parser library to an SqlError."""
    errors = getattr(error, "errors", None)
    if errors:
        near = (errors[0].get("highlight") or "")[:60]
        return SqlError(
            "42601",
            f'syntax error at or near "{near}" (line {errors[0].get("line")}): '
            f'{errors[0].get("description", "")[:120]}',
        )
    return SqlError("42601", f"syntax error: {str(error)[:160]}")


def conjuncts(node):
    """Yield the terms of nested ANDs, without the parentheses around them."""
    if node is None:
        return
    if isinstance(node, exp.And):
        yield from conjuncts(node.this)
        yield from conjuncts(node.expression)
    elif isinstance(node, exp.Paren):
        yield from conjuncts(node.this)
    else:
        yield node


def operand(node):
    """Return the Operand of a literal, a parameter or a cast of one to an integer type, or None."""
    bound_number = parameter_number(node)
    if bound_number is not None:
        return Operand(number=bound_number)
    if isinstance(node, exp.Paren):
        return operand(node.this)
    if isinstance(node, exp.Cast) and not isinstance(node.this, exp.Cast):
        inner, oid = operand(node.this), cast_type(node)
        return (
            Operand(inner.value, inner.number, oid) if inner is not None and oid in t.INTS else None
        )
    if isinstance(node, exp.Neg) and isinstance(node.this, exp.Literal) and not node.this.is_string:
        return Operand(-parse_number(node.this.this))
    if isinstance(node, exp.Literal):
        try:
            return Operand(parse_number(node.this))
        except (ValueError, ArithmeticError):
            return None
    return Operand(None) if isinstance(node, exp.Null) else None


def parse_number(text):
    """Return a number as an int if it has only digits, otherwise as a Decimal."""
    text = text.strip()
    return int(text) if text.lstrip("-").isdigit() else Decimal(text)


class StatementPlanner:
    """Common base of SelectPlanner and WritePlanner: scope, types, qualified column names and
    conditions on the shard column.
    """

    def __init__(self, schema, declared):
        self.schema, self.scope = schema, Scope(declared)
        self.typer = Typer(self.scope)

    def add_table(self, node):
        """Add a table to the scope and return its alias."""
        if not isinstance(node, exp.Table):
            raise unsupported(
                construct_name(node) if not isinstance(node, exp.Values) else "VALUES in FROM"
            )
        check_properties(node, "this", "alias", "db")
        if not isinstance(node.this, exp.Identifier):
            raise unsupported(construct_name(node.this))
        if node.args.get("db") is not None and folded_name(node.args["db"]) != "public":
            raise SqlError(
                "42P01",
                f'relation "{folded_name(node.args["db"])}.{folded_name(node.this)}" '
                "does not exist",
            )
        node.set("db", None)
        table, alias = self.schema.table(folded_name(node.this)), node.args.get("alias")
        if alias is not None:
            check_properties(alias, "this")
        name = folded_name(alias.this) if alias is not None else table.name
        if name in self.scope.tables:
            raise SqlError("42712", f'table name "{name}" specified more than once')
        if len(self.scope.tables) >= MAX_JOINED_TABLES:
            raise SqlError("54000", f"a statement joins {MAX_JOINED_TABLES} tables at most")
        self.scope.tables[name] = table
        return name

    def qualify(self, node):
        """Return an expression with table names on all columns, so that equal expressions have
        equal text.
        """

        def qualify_column(child):
            if isinstance(child, exp.Column) and not isinstance(child.this, exp.Star):
                alias, _, name = self.scope.column(child)
                return exp.column(
                    exp.to_identifier(name, quoted=False), exp.to_identifier(alias, quoted=False)
                )
            return child

        return node.transform(qualify_column)

    def is_shard_column(self, node, aliases):
        """Return whether a node is the shard column of one of the tables."""
        if not isinstance(node, exp.Column) or isinstance(node.this, exp.Star):
            return False
        alias, table, name = self.scope.column(node)
        return alias in aliases and name == table.shard_column

    def shard_conditions(self, where, aliases):
        """Return the conditions on the shard column that are top-level terms of a WHERE."""
        conditions = []
        names = {exp.LT: "lt", exp.LTE: "le", exp.GT: "gt", exp.GTE: "ge"}
        mirrored = {"lt": "gt", "le": "ge", "gt": "lt", "ge": "le"}
        for term in conjuncts(where):
            if isinstance(term, exp.EQ) or type(term) in names:
                for left, right, is_swapped in (
                    (term.this, term.expression, False),
                    (term.expression, term.this, True),
                ):
                    value = operand(right)
                    if self.is_shard_column(left, aliases) and value is not None:
                        op = "in" if isinstance(term, exp.EQ) else names[type(term)]
                        conditions.append((mirrored.get(op, op) if is_swapped else op, (value,)))
                        break
            elif isinstance(term, exp.Between) and self.is_shard_column(term.this, aliases):
                low, high = operand(term.args["low"]), operand(term.args["high"])
                conditions += [("ge", (low,))] if low is not None else []
                conditions += [("le", (high,))] if high is not None else []
            elif isinstance(term, exp.In) and self.is_shard_column(term.this, aliases):
                values = tuple(operand(item) for item in term.expressions)
                if None not in values:
                    conditions.append(("in", values))
        return tuple(conditions)

    def shard_oid(self, alias):
        """Return the type OID of a table's shard column."""
        table = self.scope.tables[alias]
        return table.columns[table.shard_column]

    def where_in_range(self, where, alias, first):
        """Return the WHERE clause restricted to the part's range.

        The range's bounds are the parameters `first` and `first + 1`.
        """
        column = exp.column(self.scope.tables[alias].shard_column, alias)
        low, high = (exp.Parameter(this=exp.Literal.number(n)) for n in (first, first + 1))
        range_condition = exp.and_(
            exp.GTE(this=column.copy(), expression=low), exp.LT(this=column.copy(), expression=high)
        )
        return exp.Where(
            this=range_condition
            if where is None
            else exp.and_(exp.paren(where, copy=False), range_condition, copy=False)
        )

    def all_columns(self):
        return [
            exp.column(name, alias)
            for alias, table in self.scope.tables.items()
            for name in table.columns
        ]

    def expand(self, expressions):
        """Return (expression, name) of each item in a SELECT or RETURNING list; expand stars."""
        out = []
        for node in expressions:
            if isinstance(node, exp.Star):
                check_properties(node)
                out += [(column, column.name) for column in self.all_columns()]
            elif isinstance(node, exp.Column) and isinstance(node.this, exp.Star):
                alias = folded_name(node.args["table"])
                if alias not in self.scope.tables:
                    raise SqlError("42P01", f'missing FROM-clause entry for table "{alias}"')
                out += [
                    (exp.column(name, alias), name) for name in self.scope.tables[alias].columns
                ]
            elif isinstance(node, exp.Alias):
                check_properties(node, "this", "alias")
                out.append((node.this, folded_name(node.args["alias"])))
            else:
                out.append((node, output_name(node)))
        if len(out) > 1600:
            raise SqlError("54011", "a row can have at most 1600 entries")
        return out


def output_name(node):
    """Return the name that PostgreSQL gives to an output column without an alias."""
    if isinstance(node, exp.Column):
        return folded_name(node.this)
    if isinstance(node, (exp.Paren, exp.Collate, exp.Filter)):
        return output_name(node.this)
    if isinstance(node, exp.Cast):
        inner = output_name(node.this)
        return inner if inner != "?column?" else node.args["to"].sql("postgres").lower()
    if isinstance(node, exp.Case):
        return "case"
    if isinstance(node, exp.Boolean):
        return "bool"
    if isinstance(node, exp.Anonymous):
        return node.name.lower()
    if isinstance(node, exp.Func) and not isinstance(node, exp.Connector):
        return node.sql_name().lower()
    return "?column?"


def has_aggregate(node):
    return node is not None and any(True for _ in node.find_all(*AGGREGATES))


def with_c_collation(node, oid):
    """Return a text expression with collation "C", so that leaves and root sort text alike."""
    if oid in t.TEXTS and not isinstance(node, exp.Collate):
        return exp.Collate(
            this=exp.paren(node) if not isinstance(node, (exp.Column, exp.Func)) else node,
            expression=exp.to_identifier("C", quoted=True),
        )
    return node


class SelectPlanner(StatementPlanner):
    """Plans a SELECT."""

    def plan(self, tree):
        check_properties(
            tree,
            "expressions",
            "from_",
            "joins",
            "where",
            "group",
            "having",
            "order",
            "limit",
            "offset",
            "distinct",
        )
        check_properties(tree.args["from_"], "this")
        base = self.add_table(tree.args["from_"].this)
        equalities = self.add_joins(tree)
        where = tree.args.get("where")
        where = self.qualify(where.this) if where is not None else None
        if where is not None:
            self.typer.require_boolean(where, False, "WHERE")
        self.check_joins(base, equalities, where)
        outputs = [(self.qualify(node), name) for node, name in self.expand(tree.expressions)]
        if not outputs:
            raise unsupported("an empty select list", "name a column")
        distinct = tree.args.get("distinct")
        if distinct is not None:
            check_properties(distinct)
        order = self.sort_items(tree.args.get("order"), outputs)
        group = tree.args.get("group")
        having = tree.args.get("having")
        if (
            group is not None
            or having is not None
            or any(has_aggregate(node) for node, _ in outputs + order)
        ):
            columns, leaf, gather = self.plan_grouped(
                outputs, order, group, having, distinct is not None
            )
        else:
            columns, leaf, gather = self.plan_ungrouped(outputs, order, distinct is not None)
        gather.limit, gather.offset = (
            self.limit_operand(tree, "limit"),
            self.limit_operand(tree, "offset"),
        )
        count = self.scope.parameter_count
        leaf.set("from_", tree.args["from_"])
        leaf.set("joins", tree.args.get("joins"))
        leaf.set("where", self.where_in_range(where, base, count + 1))
        limited = gather.limit is not None and not gather.grouped
        if limited:
            leaf.set(
                "limit", exp.Limit(expression=exp.Parameter(this=exp.Literal.number(count + 3)))
            )
        return Plan(
            "select",
            "SELECT",
            columns,
            self.scope.oids(),
            tuple(sorted({table.name for table in self.scope.tables.values()})),
            self.shard_conditions(where, self.colocated_tables),
            self.shard_oid(base),
            leaf.sql("postgres"),
            limited,
            gather,
        )

    # ---- joins ----

    def add_joins(self, tree):
        """Add joined tables to the scope and return the equalities between columns in their joins.

        An equality is (alias of the joined table, (alias, column), (alias, column)).
        """
        equalities, self.inner_tables, self.scope.using_columns = (
            [],
            {next(iter(self.scope.tables))},
            set(),
        )
        for join in tree.args.get("joins") or ():
            side, kind = (
                (join.args.get("side") or "").upper(),
                (join.args.get("kind") or "").upper(),
            )
            if join.args.get("method"):
                raise unsupported(f"{join.args['method']} JOIN")
            if (
                side not in ("", "LEFT")
                or kind not in ("", "INNER", "OUTER")
                or kind == "OUTER"
                and side != "LEFT"
            ):
                raise unsupported(" ".join(word for word in (side, kind, "JOIN") if word))
            check_properties(join, "this", "side", "kind", "on", "using")
            earlier_tables = list(self.scope.tables)
            alias = self.add_table(join.this)
            if side == "":
                self.inner_tables.add(alias)
            for column in join.args.get("using") or ():
                name = folded_name(column)
                left = next(
                    (a for a in earlier_tables if name in self.scope.tables[a].columns), None
                )
                if left is None or name not in self.scope.tables[alias].columns:
                    raise SqlError(
                        "42703",
                        f'column "{name}" specified in USING clause does not exist in both tables',
                    )
                self.scope.using_columns.add(name)
                equalities.append((alias, (left, name), (alias, name)))
            on = join.args.get("on")
            if on is not None:
                join.set("on", self.qualify(on))
                self.typer.require_boolean(join.args["on"], False, "JOIN/ON")
                equalities += [(alias, a, b) for a, b in self.column_equalities(join.args["on"])]
            elif not join.args.get("using") and side:
                raise SqlError("42601", "a LEFT JOIN needs ON or USING")
        if self.scope.using_columns and any(isinstance(e, exp.Star) for e in tree.expressions):
            raise unsupported("* over a join with USING", "name the columns")
        return equalities

    def column_equalities(self, condition):
        """Yield pairs of (alias, column) that a condition equates."""
        for term in conjuncts(condition):
            if (
                isinstance(term, exp.EQ)
                and isinstance(term.this, exp.Column)
                and isinstance(term.expression, exp.Column)
            ):
                yield tuple(
                    (self.scope.column(side)[0], self.scope.column(side)[2])
                    for side in (term.this, term.expression)
                )

    def check_joins(self, base, equalities, where):
        """Raise 0A000 unless every joined table is tied to the base table by the shard columns.

        Otherwise a part would miss matching rows in other ranges. Set `colocated_tables` to the
        tables whose shard column equals that of the base table in every row of the result.
        """
        candidates = [(None, a, b) for a, b in self.column_equalities(where)] + equalities

        def is_shard_column(side):
            return side[1] == self.scope.tables[side[0]].shard_column

        tied, changed = {base}, True
        while changed:
            changed = False
            for alias, a, b in candidates:
                if not (is_shard_column(a) and is_shard_column(b)):
                    continue
                for one, other in ((a[0], b[0]), (b[0], a[0])):
                    # A condition in WHERE ties only inner-joined tables; one in ON ties the table
                    # of that join.
                    if (
                        one in tied
                        and other not in tied
                        and (other in self.inner_tables if alias is None else other == alias)
                    ):
                        tied.add(other)
                        changed = True
        for alias in self.scope.tables:
            if alias not in tied:
                table = self.scope.tables[alias]
                raise unsupported(
                    f'a join with "{alias}" that does not equate {alias}.{table.shard_column} '
                    "with the other table's shard column",
                    "its rows may lie in other bin ranges",
                )
        self.colocated_tables = tied & self.inner_tables

    # ---- ORDER BY, LIMIT ----

    def sort_items(self, order, outputs):
        """Return [(expression, Ordered)] with names and positions of output columns resolved."""
        items = []
        for item in order.expressions if order is not None else ():
            check_properties(item, "this", "desc", "nulls_first")
            node = item.this
            if isinstance(node, exp.Literal) and not node.is_string:
                if not node.this.isdigit() or not 1 <= int(node.this) <= len(outputs):
                    raise SqlError("42P10", f"ORDER BY position {node.this} is not in select list")
                node = outputs[int(node.this) - 1][0]
            else:
                node = self.output_named(node, outputs) or self.qualify(node)
            items.append((node, item))
        return items

    def output_named(self, node, outputs):
        """Return the output column that an unqualified name refers to, or None."""
        if (
            isinstance(node, exp.Column)
            and node.args.get("table") is None
            and not isinstance(node.this, exp.Star)
        ):
            found = {
                out.sql("postgres"): out for out, name in outputs if name == folded_name(node.this)
            }
            if len(found) > 1:
                raise SqlError("42702", f'ORDER BY "{folded_name(node.this)}" is ambiguous')
            return next(iter(found.values()), None)
        return None

    def limit_operand(self, tree, key):
        """Return the operand of LIMIT or OFFSET, or None."""
        node = tree.args.get(key)
        if node is None:
            return None
        if isinstance(node, exp.Fetch):
            check_properties(node, "direction", "count", "limit_options")
            if node.args["limit_options"].args.get("with_ties") or node.args[
                "limit_options"
            ].args.get("percent"):
                raise unsupported("FETCH ... WITH TIES or PERCENT")
            value = node.args.get("count") or exp.Literal.number(1)
        else:
            check_properties(node, "expression")
            value = node.expression
        if isinstance(value, (exp.Null, exp.Var)) and value.sql().upper() in ("NULL", "ALL"):
            return None
        found = operand(value)
        if found is None or found.number is None and not isinstance(found.value, int):
            raise unsupported(f"{key.upper()} with an expression", "give a number or a parameter")
        if found.number is not None:
            self.typer.type(value, t.INT8)
        return found

    # ---- without groups ----

    def plan_ungrouped(self, outputs, order, distinct):
        """Return (output columns, SELECT for the leaf, Gather) of a query without groups."""
        columns = [(name, resolved_type(self.typer.type(node))) for node, name in outputs]
        leaf = exp.Select()
        output_positions = {
            node.sql("postgres"): n for n, (node, _) in reversed(list(enumerate(outputs)))
        }
        selected = [exp.alias_(node, f"c{n}", quoted=False) for n, (node, _) in enumerate(outputs)]
        oids, keys, ordered = [oid for _, oid in columns], [], []
        for node, item in order:
            oid = resolved_type(self.typer.type(node))
            at = output_positions.get(node.sql("postgres"))
            if at is None:
                if distinct:
                    raise SqlError(
                        "42P10",
                        "for SELECT DISTINCT, ORDER BY expressions must appear in select list",
                    )
                at = len(oids)
                oids.append(oid)
                selected.append(exp.alias_(node.copy(), f"s{at}", quoted=False))
            keys.append(
                SortKey(at, oid, bool(item.args.get("desc")), bool(item.args.get("nulls_first")))
            )
            ordered.append(
                exp.Ordered(
                    this=with_c_collation(node.copy(), oid),
                    desc=item.args.get("desc"),
                    nulls_first=item.args.get("nulls_first"),
                )
            )
        leaf.set("expressions", selected)
        if distinct:
            # GROUP BY all columns instead of DISTINCT lets ORDER BY use a collation, and therefore
            # allows a LIMIT.
            leaf.set(
                "group",
                exp.Group(expressions=[exp.Literal.number(n + 1) for n in range(len(selected))]),
            )
        if ordered:
            leaf.set("order", exp.Order(expressions=ordered))
        gather = Gather(len(columns), tuple(oids), tuple(keys), distinct)
        return columns, leaf, gather

    # ---- with groups ----

    def plan_grouped(self, outputs, order, group, having, distinct):
        """Return (output columns, SELECT for the leaf, Gather) of a query with groups.

        Leaves compute group keys and partial aggregates; the root evaluates everything else over
        slots, which refer to them.
        """
        keys = []
        if group is not None:
            check_properties(group, "expressions")
            keys = [self.group_key(node, outputs) for node in group.expressions]
        key_types = [resolved_type(self.typer.type(node)) for node in keys]
        key_slots = {node.sql("postgres"): ("g", n) for n, node in enumerate(keys)}
        partials, partial_oids, aggregate_columns, aggregate_slots = [], [], [], {}

        def slot(node):
            """Return the slot of a group key or an aggregate, or None for any other node."""
            text = node.sql("postgres")
            if text in key_slots:
                return key_slots[text]
            inner = node.this if isinstance(node, exp.Filter) else node
            if isinstance(inner, AGGREGATES):
                if text not in aggregate_slots:
                    aggregate_slots[text] = ("a", len(aggregate_columns))
                    aggregate_columns.append(
                        (type(inner).__name__.lower(), len(keys) + len(partials))
                    )
                    for partial, oid in self.partial_aggregates(node, inner):
                        partials.append(partial)
                        partial_oids.append(oid)
                return aggregate_slots[text]
            return None

        def set_slots(node):
            found = slot(node)
            if found is not None:
                node.set("slot", found)
                return
            if isinstance(node, exp.Column):
                raise SqlError(
                    "42803",
                    f'column "{node.sql("postgres")}" must appear in the GROUP BY clause or be '
                    "used in an aggregate function",
                )
            for child in node.iter_expressions():
                if not isinstance(child, (exp.DataType, exp.Identifier)):
                    set_slots(child)

        columns, expressions = [], []
        for node, name in outputs:
            columns.append((name, resolved_type(self.typer.type(node, aggregates=True))))
            expressions.append(node.copy())
        sort_keys = []
        output_positions = {
            node.sql("postgres"): n for n, (node, _) in reversed(list(enumerate(outputs)))
        }
        for node, item in order:
            oid = resolved_type(self.typer.type(node, aggregates=True))
            at = output_positions.get(node.sql("postgres"))
            if at is None:
                if distinct:
                    raise SqlError(
                        "42P10",
                        "for SELECT DISTINCT, ORDER BY expressions must appear in select list",
                    )
                at = len(expressions)
                expressions.append(node.copy())
            sort_keys.append(
                SortKey(at, oid, bool(item.args.get("desc")), bool(item.args.get("nulls_first")))
            )
        condition = None
        if having is not None:
            condition = self.qualify(having.this)
            self.typer.require_boolean(condition, True, "HAVING")
        for node in expressions + ([condition] if condition is not None else []):
            set_slots(node)
        leaf = exp.Select(
            expressions=[exp.alias_(node.copy(), f"c{n}") for n, node in enumerate(keys + partials)]
        )
        if not keys and not partials:
            leaf.set("expressions", [exp.alias_(exp.Count(this=exp.Star()), "c0")])
            partial_oids.append(t.INT8)
        if keys:
            leaf.set(
                "group",
                exp.Group(expressions=[exp.Literal.number(n + 1) for n in range(len(keys))]),
            )
        gather = Gather(
            len(columns),
            tuple(key_types + partial_oids),
            tuple(sort_keys),
            distinct,
            grouped=True,
            group_columns=len(keys),
            aggregate_columns=tuple(aggregate_columns),
            outputs=tuple(expressions),
            having=condition,
        )
        return columns, leaf, gather

    def group_key(self, node, outputs):
        """Return the expression of a GROUP BY item: a position, a column name or an expression."""
        if isinstance(node, exp.Literal) and not node.is_string:
            if not node.this.isdigit() or not 1 <= int(node.this) <= len(outputs):
                raise SqlError("42P10", f"GROUP BY position {node.this} is not in select list")
            found = outputs[int(node.this) - 1][0]
        else:
            try:
                found = self.qualify(node)
            except SqlError as error:
                found = self.output_named(node, outputs) if error.sqlstate == "42703" else None
                if found is None:
                    raise
        if has_aggregate(found):
            raise SqlError("42803", "aggregate functions are not allowed in GROUP BY")
        return found

    def partial_aggregates(self, node, inner):
        """Return [(expression, type OID)] that a leaf computes for an aggregate.

        `node` is the aggregate `inner` or the FILTER around it.
        """

        def with_filter(aggregate):
            if isinstance(node, exp.Filter):
                return exp.Filter(this=aggregate, expression=node.expression.copy())
            return aggregate

        if isinstance(inner, exp.Count):
            return [(with_filter(inner.copy()), t.INT8)]
        oid = resolved_type(self.typer.type(inner.this))
        if isinstance(inner, (exp.Min, exp.Max)):
            return [(with_filter(type(inner)(this=with_c_collation(inner.this.copy(), oid))), oid)]
        total = resolved_type(self.typer.type(exp.Sum(this=inner.this.copy()), aggregates=True))
        if total == t.FLOAT4:
            total = t.FLOAT8
        partials = [(with_filter(exp.Sum(this=inner.this.copy())), total)]
        if isinstance(inner, exp.Avg):
            partials.append((with_filter(exp.Count(this=inner.this.copy())), t.INT8))
        return partials


def resolved_type(oid):
    """Return a type OID, or that of text for an unknown type."""
    return t.TEXT if oid == t.UNKNOWN else oid


class WritePlanner(StatementPlanner):
    """Plans INSERT, UPDATE and DELETE; each has to be confined to one bin range."""

    def add_target(self, node):
        """Add the table that is written to the scope and return (alias, table)."""
        alias = self.add_table(node)
        return alias, self.scope.tables[alias]

    def returning_clause(self, tree):
        """Return (output columns, RETURNING clause or None)."""
        returning = tree.args.get("returning")
        if returning is None:
            return [], None
        check_properties(returning, "expressions")
        nodes = [(self.qualify(node), name) for node, name in self.expand(returning.expressions)]
        columns = [(name, resolved_type(self.typer.type(node))) for node, name in nodes]
        # As in the rest of UPDATE and DELETE, RETURNING may name the table only by its alias.
        return columns, exp.Returning(
            expressions=[exp.alias_(n, f"c{k}") for k, (n, _) in enumerate(nodes)]
        )

    def write_plan(self, verb, alias, table, columns, sql, **more):
        return Plan(
            "write",
            verb,
            columns,
            self.scope.oids(),
            (table.name,),
            shard_oid=self.shard_oid(alias),
            sql=sql,
            table=table.name,
            returning=bool(columns),
            **more,
        )

    def insert(self, tree):
        check_properties(tree, "this", "expression", "conflict", "returning")
        target = tree.this
        if not isinstance(target, exp.Schema):
            if isinstance(target, exp.Table):
                target = exp.Schema(this=target, expressions=[])
            else:
                raise unsupported(construct_name(tree))
        check_properties(target, "this", "expressions")
        alias, table = self.add_target(target.this)
        names = [folded_name(column) for column in target.expressions] or list(table.columns)
        for name in names:
            if name not in table.columns:
                raise SqlError(
                    "42703", f'column "{name}" of relation "{table.name}" does not exist'
                )
        if len(set(names)) < len(names):
            raise SqlError("42701", "a column is named twice in the INSERT")
        if table.shard_column not in names:
            raise unsupported(
                f"an INSERT that does not name {table.shard_column}",
                "its bin range would not be known",
            )
        if not isinstance(tree.expression, exp.Values):
            raise unsupported(
                "INSERT ... SELECT" if tree.expression is not None else "INSERT ... DEFAULT VALUES"
            )
        check_properties(tree.expression, "expressions")
        at, shard_values = names.index(table.shard_column), []
        for row in tree.expression.expressions:
            items = (
                row.expressions
                if isinstance(row, exp.Tuple)
                else [row.this if isinstance(row, exp.Paren) else row]
            )
            if len(items) > len(names):
                raise SqlError("42601", "INSERT has more expressions than target columns")
            if len(items) < len(names):
                raise SqlError("42601", "INSERT has more target columns than expressions")
            for name, item in zip(names, items, strict=True):
                want = table.columns[name]
                oid = self.typer.type(item, want)
                self.check_assignable(oid, want, name)
            shard_values.append(operand(items[at]))
            if (
                shard_values[-1] is None
                or shard_values[-1].number is None
                and not isinstance(shard_values[-1].value, int)
            ):
                raise unsupported(
                    f"{table.shard_column} given by an expression",
                    "its bin range would not be known",
                )
        conflict = tree.args.get("conflict")
        if conflict is not None:
            check_properties(conflict, "action", "conflict_keys")
            if "NOTHING" not in conflict.args["action"].name.upper():
                raise unsupported("ON CONFLICT DO UPDATE")
        columns, returning = self.returning_clause(tree)
        statement = exp.Insert(
            this=exp.Schema(
                this=table_node(table, alias), expressions=[exp.to_identifier(n) for n in names]
            ),
            expression=tree.expression,
            conflict=conflict,
            returning=returning,
        )
        return self.write_plan(
            "INSERT",
            alias,
            table,
            columns,
            statement.sql("postgres"),
            inserted_shard_values=tuple(shard_values),
            row_count_known=conflict is None,
        )

    def check_assignable(self, oid, want, name):
        """Raise 42804 unless a value of one type can be assigned to a column of another."""
        try:
            self.typer.common_type(oid, want, "=")
        except SqlError:
            raise SqlError(
                "42804",
                f'column "{name}" is of type {t.NAMES.get(want, want)} but expression is of type '
                f"{t.NAMES.get(oid, oid)}",
            ) from None

    def qualified_where(self, tree, alias):
        """Return (condition of the WHERE or None, conditions on the shard column)."""
        where = tree.args.get("where")
        where = self.qualify(where.this) if where is not None else None
        if where is not None:
            self.typer.require_boolean(where, False, "WHERE")
        return where, self.shard_conditions(where, {alias})

    def count_query(self, table, alias, where):
        """Return the SQL that counts the rows that an UPDATE or DELETE would change."""
        count = exp.Select(expressions=[exp.alias_(exp.Count(this=exp.Star()), "c0")])
        count.set("from_", exp.From(this=table_node(table, alias)))
        count.set("where", where.copy())
        return count.sql("postgres")

    def update(self, tree):
        check_properties(tree, "this", "expressions", "where", "returning")
        alias, table = self.add_target(tree.this)
        assignments = []
        for assignment in tree.expressions:
            if not isinstance(assignment, exp.EQ) or not isinstance(assignment.this, exp.Column):
                raise unsupported(f"SET {assignment.sql('postgres')[:60]}")
            name = folded_name(assignment.this.this)
            if name not in table.columns:
                raise SqlError(
                    "42703", f'column "{name}" of relation "{table.name}" does not exist'
                )
            if name == table.shard_column:
                raise unsupported(
                    f"setting {name}", "the row might have to move to another bin range"
                )
            value = self.qualify(assignment.expression)
            self.check_assignable(
                self.typer.type(value, table.columns[name]), table.columns[name], name
            )
            assignments.append(exp.EQ(this=exp.column(name), expression=value))
        where, conditions = self.qualified_where(tree, alias)
        columns, returning = self.returning_clause(tree)
        where_in_range = self.where_in_range(where, alias, self.scope.parameter_count + 1)
        statement = exp.Update(
            this=table_node(table, alias),
            expressions=assignments,
            where=where_in_range,
            returning=returning,
        )
        return self.write_plan(
            "UPDATE",
            alias,
            table,
            columns,
            statement.sql("postgres"),
            conditions=conditions,
            count_sql=self.count_query(table, alias, where_in_range),
        )

    def delete(self, tree):
        check_properties(tree, "this", "where", "returning")
        alias, table = self.add_target(tree.this)
        where, conditions = self.qualified_where(tree, alias)
        columns, returning = self.returning_clause(tree)
        where_in_range = self.where_in_range(where, alias, self.scope.parameter_count + 1)
        statement = exp.Delete(
            this=table_node(table, alias), where=where_in_range, returning=returning
        )
        return self.write_plan(
            "DELETE",
            alias,
            table,
            columns,
            statement.sql("postgres"),
            conditions=conditions,
            count_sql=self.count_query(table, alias, where_in_range),
        )


def table_node(table, alias):
    node = exp.Table(this=exp.to_identifier(table.name))
    if alias != table.name:
        node.set("alias", exp.TableAlias(this=exp.to_identifier(alias)))
    return node
