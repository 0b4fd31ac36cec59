"""Types of expressions, and the allowlist of supported syntax.

Every node of a statement is checked here. A node, or a property of a node, that is not on the
allowlist is rejected with an error that names it, so that nothing the parser accepts is ignored by
accident.
"""

from sqlglot import exp

from mothnotch.pgwire import types as t
from mothnotch.sql.errors import SqlError, unsupported
from mothnotch.sql.schema import TYPE_NAMES

# The common type of two numbers is the one that comes later.
NUMBERS = (t.INT2, t.INT4, t.INT8, t.NUMERIC, t.FLOAT4, t.FLOAT8)
INTS = (t.INT2, t.INT4, t.INT8)
COMPARISONS = (exp.EQ, exp.NEQ, exp.LT, exp.LTE, exp.GT, exp.GTE, exp.NullSafeEQ, exp.NullSafeNEQ)
ARITHMETIC = (exp.Add, exp.Sub, exp.Mul, exp.Div, exp.Mod)
AGGREGATES = (exp.Count, exp.Sum, exp.Avg, exp.Min, exp.Max)
TEXT_FUNCTIONS = {exp.Lower: t.TEXT, exp.Upper: t.TEXT, exp.Length: t.INT4, exp.Trim: t.TEXT}
# Properties that record how something was written and do not affect its meaning.
IGNORED_PROPERTIES = {"big_int", "safe", "typed", "quoted", "is_string", "_type", "is_function"}


def construct_name(node):
    """Return the name of a construct, as error messages give it."""
    names = {
        "Subquery": "a subquery",
        "Window": "a window function",
        "With": "WITH",
        "Union": "UNION",
        "Intersect": "INTERSECT",
        "Except": "EXCEPT",
        "Lateral": "LATERAL",
        "Placeholder": "a placeholder",
    }
    name = type(node).__name__
    if name in names:
        return names[name]
    if isinstance(node, exp.Anonymous):
        return f"function {node.name.lower()}()"
    if isinstance(node, exp.Func):
        return f"function {node.sql_name().lower()}()"
    return f"{name} ({node.sql('postgres')[:60]})"


def check_properties(node, *allowed):
    """Raise 0A000 if a node has a property other than the allowed ones."""
    for key, value in node.args.items():
        if (
            key in allowed
            or key in IGNORED_PROPERTIES
            or value is None
            or value is False
            or value == []
        ):
            continue
        name = key.strip("_").upper()
        raise unsupported(
            f"{name} of {construct_name(node)}"
            if not isinstance(node, exp.Select)
            else f"{name} in a SELECT"
        )


def parameter_number(node):
    """Return the number of a bound parameter, from 1, or None for any other node."""
    if (
        isinstance(node, exp.Parameter)
        and isinstance(node.this, exp.Literal)
        and not node.this.is_string
    ):
        return int(node.this.this)
    return None


class Scope:
    """The tables of a statement, by alias, and the types of its parameters as they are inferred."""

    def __init__(self, declared=()):
        self.tables = {}  # alias -> Table; the first is the base table of the joins
        self.parameters = {n + 1: oid for n, oid in enumerate(declared) if oid}
        self.parameter_count = len(declared)

    def column(self, node):
        """Return (alias, table, column name) of a column, with its name folded as in PostgreSQL."""
        name, alias = folded_name(node.this), node.args.get("table")
        if node.args.get("db") or node.args.get("catalog"):
            raise unsupported("a column named with its schema")
        if alias is not None:
            alias = folded_name(alias)
            if alias not in self.tables:
                raise SqlError("42P01", f'missing FROM-clause entry for table "{alias}"')
            found = [(alias, self.tables[alias])] if name in self.tables[alias].columns else []
        else:
            found = [(a, table) for a, table in self.tables.items() if name in table.columns]
        if not found:
            displayed = f"{alias}.{name}" if alias else f'"{name}"'
            raise SqlError("42703", f"column {displayed} does not exist")
        if len(found) > 1 and name not in getattr(self, "using_columns", ()):
            raise SqlError("42702", f'column reference "{name}" is ambiguous')
        return found[0][0], found[0][1], name

    def add_parameter(self, number, oid):
        """Record a use of a parameter; its first known type stays."""
        if not 1 <= number <= 65535:
            raise SqlError("42P02", f"there is no parameter ${number}")
        self.parameter_count = max(self.parameter_count, number)
        if oid and not self.parameters.get(number):
            self.parameters[number] = oid

    def oids(self):
        """Return the type OIDs of all parameters; text where no type is known."""
        return tuple(self.parameters.get(n, t.TEXT) for n in range(1, self.parameter_count + 1))


def folded_name(identifier):
    """Return an identifier's name, folded to lower case unless it is quoted."""
    if isinstance(identifier, str):
        return identifier.lower()
    return identifier.name if identifier.args.get("quoted") else identifier.name.lower()


class Typer:
    """Infers the type OIDs of expressions and rejects unsupported ones.

    A method `on_...` handles the node class that its name ends with. Where `aggregates` is true,
    the expression may contain aggregates.
    """

    def __init__(self, scope):
        self.scope = scope

    def type(self, node, want=None, aggregates=False):
        """Return the type OID of an expression.

        `want` is the type that the context expects; parameters and untyped string literals take it.
        """
        if node is None:
            raise SqlError("42601", "an expression is missing")
        number = parameter_number(node)
        if number is not None:
            self.scope.add_parameter(number, want)
            return self.scope.parameters.get(number, t.UNKNOWN)
        method = getattr(self, "on_" + type(node).__name__.lower(), None)
        if method is None:
            method = next(
                (
                    handler
                    for kinds, handler in (
                        (COMPARISONS, self.comparison),
                        (ARITHMETIC, self.arithmetic),
                        (TEXT_FUNCTIONS, self.text_function),
                        (AGGREGATES, self.aggregate),
                    )
                    if type(node) in kinds
                ),
                None,
            )
            if method is None:
                raise unsupported(construct_name(node))
        return method(node, want, aggregates)

    # ---- columns and constants ----

    def on_column(self, node, want, aggregates):
        if isinstance(node.this, exp.Star):
            raise unsupported("* here", "name the columns")
        _, table, name = self.scope.column(node)
        return table.columns[name]

    def on_literal(self, node, want, aggregates):
        if node.is_string:
            return want if want and want not in INTS else t.UNKNOWN
        text = node.this
        if text.isdigit():
            value = int(text)
            return t.INT4 if value < 2**31 else t.INT8 if value < 2**63 else t.NUMERIC
        return t.NUMERIC

    def on_boolean(self, node, want, aggregates):
        return t.BOOL

    def on_null(self, node, want, aggregates):
        return want or t.UNKNOWN

    # ---- operators ----

    def on_paren(self, node, want, aggregates):
        check_properties(node, "this")
        return self.type(node.this, want, aggregates)

    def on_neg(self, node, want, aggregates):
        check_properties(node, "this")
        oid = self.type(node.this, want, aggregates)
        if oid not in NUMBERS:
            raise SqlError("42883", f"operator does not exist: - {t.NAMES.get(oid, oid)}")
        return oid

    def on_not(self, node, want, aggregates):
        check_properties(node, "this")
        self.require_boolean(node.this, aggregates, "NOT")
        return t.BOOL

    def on_and(self, node, want, aggregates):
        check_properties(node, "this", "expression")
        for side in (node.this, node.expression):
            self.require_boolean(side, aggregates, type(node).__name__.upper())
        return t.BOOL

    on_or = on_and

    def require_boolean(self, node, aggregates, what):
        """Raise 42804 unless an expression is boolean; `what` names its context."""
        oid = self.type(node, t.BOOL, aggregates)
        if oid not in (t.BOOL, t.UNKNOWN):
            raise SqlError(
                "42804",
                f"argument of {what} must be type boolean, not type {t.NAMES.get(oid, oid)}",
            )

    def operand_types(self, left, right, aggregates, what):
        """Return the types of two operands and their common type.

        An untyped parameter or string literal takes the type of the other operand.
        """
        if parameter_number(left) is not None and not self.scope.parameters.get(
            parameter_number(left)
        ):
            b = self.type(right, None, aggregates)
            a = self.type(left, b if b != t.UNKNOWN else t.TEXT, aggregates)
        else:
            a = self.type(left, None, aggregates)
            b = self.type(right, a if a != t.UNKNOWN else t.TEXT, aggregates)
            if a == t.UNKNOWN and b != t.UNKNOWN:
                a = self.type(left, b, aggregates)
        return a, b, self.common_type(a, b, what)

    def common_type(self, a, b, what):
        """Return the type that two types convert to; `what` names the operator for errors."""
        if a == t.UNKNOWN or b == t.UNKNOWN or a == b:
            return b if a == t.UNKNOWN else a
        if a in NUMBERS and b in NUMBERS:
            return max(a, b, key=NUMBERS.index)
        if a in t.TEXTS and b in t.TEXTS:
            return t.TEXT
        if {a, b} == {t.DATE, t.TIMESTAMP}:
            return t.TIMESTAMP
        raise SqlError(
            "42883", f"operator does not exist: {t.NAMES.get(a, a)} {what} {t.NAMES.get(b, b)}"
        )

    OPERATOR_NAMES = {
        exp.EQ: "=",
        exp.NEQ: "<>",
        exp.LT: "<",
        exp.LTE: "<=",
        exp.GT: ">",
        exp.GTE: ">=",
        exp.Add: "+",
        exp.Sub: "-",
        exp.Mul: "*",
        exp.Div: "/",
        exp.Mod: "%",
    }

    def comparison(self, node, want, aggregates):
        check_properties(node, "this", "expression")
        self.operand_types(
            node.this,
            node.expression,
            aggregates,
            self.OPERATOR_NAMES.get(type(node), "IS DISTINCT FROM"),
        )
        return t.BOOL

    def arithmetic(self, node, want, aggregates):
        check_properties(node, "this", "expression")
        operator = self.OPERATOR_NAMES[type(node)]
        a, b, oid = self.operand_types(node.this, node.expression, aggregates, operator)
        if isinstance(node, (exp.Add, exp.Sub)) and a == t.DATE and b in INTS:
            return t.DATE
        if oid not in NUMBERS:
            raise SqlError(
                "42883",
                f"operator does not exist: {t.NAMES.get(a, a)} {operator} {t.NAMES.get(b, b)}",
            )
        return oid

    def on_dpipe(self, node, want, aggregates):
        check_properties(node, "this", "expression")
        for side in (node.this, node.expression):
            self.type(side, t.TEXT, aggregates)
        return t.TEXT

    def on_between(self, node, want, aggregates):
        check_properties(node, "this", "low", "high")
        for bound in (node.args["low"], node.args["high"]):
            self.operand_types(node.this, bound, aggregates, "BETWEEN")
        return t.BOOL

    def on_in(self, node, want, aggregates):
        if node.args.get("query") is not None:
            raise unsupported("a subquery")
        check_properties(node, "this", "expressions")
        for item in node.expressions:
            self.operand_types(node.this, item, aggregates, "=")
        return t.BOOL

    def on_is(self, node, want, aggregates):
        check_properties(node, "this", "expression")
        if not isinstance(node.expression, (exp.Null, exp.Boolean)):
            raise unsupported(construct_name(node))
        self.type(
            node.this, t.BOOL if isinstance(node.expression, exp.Boolean) else None, aggregates
        )
        return t.BOOL

    def on_like(self, node, want, aggregates):
        check_properties(node, "this", "expression")
        for side in (node.this, node.expression):
            oid = self.type(side, t.TEXT, aggregates)
            if oid not in t.TEXTS:
                raise SqlError(
                    "42883", f"operator does not exist: {t.NAMES.get(oid, oid)} ~~ unknown"
                )
        return t.BOOL

    # ---- functions ----

    def on_case(self, node, want, aggregates):
        check_properties(node, "this", "ifs", "default")
        values = [branch.args["true"] for branch in node.args["ifs"]] + [
            node.args.get("default") or exp.Null()
        ]
        for branch in node.args["ifs"]:
            check_properties(branch, "this", "true")
            if node.this is not None:
                self.operand_types(node.this, branch.this, aggregates, "=")
            else:
                self.require_boolean(branch.this, aggregates, "CASE/WHEN")
        return self.result_type(values, want, aggregates, "CASE")

    def result_type(self, values, want, aggregates, what):
        """Return the common type of the alternative values of CASE or COALESCE."""
        oid = t.UNKNOWN
        for value in values:
            oid = self.common_type(oid, self.type(value, want, aggregates), what)
        for value in values:
            if parameter_number(value) is not None:
                self.type(value, oid if oid != t.UNKNOWN else t.TEXT, aggregates)
        return t.TEXT if oid == t.UNKNOWN else oid

    def on_coalesce(self, node, want, aggregates):
        check_properties(node, "this", "expressions")
        return self.result_type([node.this, *node.expressions], want, aggregates, "COALESCE")

    def on_nullif(self, node, want, aggregates):
        check_properties(node, "this", "expression")
        a, _, _ = self.operand_types(node.this, node.expression, aggregates, "NULLIF")
        return t.TEXT if a == t.UNKNOWN else a

    def on_abs(self, node, want, aggregates):
        check_properties(node, "this")
        oid = self.type(node.this, want, aggregates)
        if oid not in NUMBERS:
            raise SqlError("42883", f"function abs({t.NAMES.get(oid, oid)}) does not exist")
        return oid

    def text_function(self, node, want, aggregates):
        check_properties(node, "this")
        oid = self.type(node.this, t.TEXT, aggregates)
        if oid not in t.TEXTS:
            raise SqlError(
                "42883",
                f"function {type(node).__name__.lower()}({t.NAMES.get(oid, oid)}) does not exist",
            )
        return TEXT_FUNCTIONS[type(node)]

    def on_cast(self, node, want, aggregates):
        check_properties(node, "this", "to")
        oid = cast_type(node)
        self.type(node.this, oid, aggregates)
        return oid

    def on_collate(self, node, want, aggregates):
        check_properties(node, "this", "expression")
        if node.expression.name not in ("C", "POSIX"):
            raise unsupported(
                f'collation "{node.expression.name}"', 'all text is ordered by collation "C" here'
            )
        return self.type(node.this, want, aggregates)

    # ---- aggregates ----

    def on_filter(self, node, want, aggregates):
        check_properties(node, "this", "expression")
        if not isinstance(node.this, AGGREGATES):
            raise unsupported(construct_name(node))
        self.require_boolean(node.expression.this, False, "FILTER")
        return self.aggregate(node.this, want, aggregates)

    def aggregate(self, node, want, aggregates):
        name = type(node).__name__.lower()
        if not aggregates:
            raise SqlError("42803", f"aggregate function {name}() is not allowed here")
        check_properties(node, "this")
        inner = node.this
        if isinstance(inner, exp.Distinct):
            raise unsupported(f"{name}(DISTINCT)", "the parts' answers do not add up to it")
        if isinstance(node, exp.Count):
            if not isinstance(inner, exp.Star):
                self.type(inner)
            return t.INT8
        oid = self.type(inner)
        if isinstance(node, (exp.Min, exp.Max)):
            if oid == t.BOOL:
                raise SqlError("42883", f"function {name}(boolean) does not exist")
            return t.TEXT if oid == t.UNKNOWN else oid
        if oid not in NUMBERS:
            raise SqlError("42883", f"function {name}({t.NAMES.get(oid, oid)}) does not exist")
        if oid in (t.FLOAT4, t.FLOAT8):
            return t.FLOAT8 if isinstance(node, exp.Avg) or oid == t.FLOAT8 else t.FLOAT4
        if isinstance(node, exp.Avg):
            return t.NUMERIC
        return t.INT8 if oid in (t.INT2, t.INT4) else t.NUMERIC


def cast_type(node):
    """Return the type OID of a CAST.

    A type with a length or precision is rejected, because it alters values.
    """
    target = node.args["to"]
    name = target.sql("postgres").lower()
    if name not in TYPE_NAMES and name != "double precision":
        raise unsupported(f"a cast to {name}")
    return TYPE_NAMES.get(name, t.FLOAT8)
