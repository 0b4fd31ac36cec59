"""Evaluate expressions at the root: output columns, HAVING and ORDER BY over merged groups.

Values are those of `pgwire.types.from_text`; None is NULL, with three-valued logic. Arithmetic
follows PostgreSQL: integer division truncates towards zero, numeric arithmetic is exact, and
numeric division gives at least 16 significant digits.
"""

import datetime as dt
import re
from decimal import ROUND_HALF_UP, Context, Decimal

from sqlglot import exp

from mothnotch.pgwire import types as t
from mothnotch.sql.errors import SqlError, unsupported
from mothnotch.sql.typer import cast_type, construct_name, parameter_number

EXACT_CONTEXT = Context(prec=2000, rounding=ROUND_HALF_UP)


def divide_numeric(a, b):
    """Divide numerics with PostgreSQL's scale of the result (numeric.c, select_div_scale)."""
    if b == 0:
        raise SqlError("22012", "division by zero")

    def leading_digit(x):
        """Return the base-10000 weight and the first base-10000 digit of a numeric."""
        if x == 0:
            return 0, 0
        weight = x.adjusted() // 4
        return weight, int(abs(x).scaleb(-4 * weight, EXACT_CONTEXT))

    (weight_a, digit_a), (weight_b, digit_b) = leading_digit(a), leading_digit(b)
    weight = weight_a - weight_b - (digit_a <= digit_b)
    scale = max(16 - weight * 4, -a.as_tuple().exponent, -b.as_tuple().exponent, 0)
    return EXACT_CONTEXT.quantize(EXACT_CONTEXT.divide(a, b), Decimal(1).scaleb(-min(scale, 1000)))


def common_numbers(a, b):
    """Convert two operands to a common type: int, Decimal or float."""
    if isinstance(a, float) or isinstance(b, float):
        return float(a), float(b)
    if isinstance(a, Decimal) or isinstance(b, Decimal):
        return Decimal(a), Decimal(b)
    return a, b


def check_bigint(value):
    """Return a value, or raise 22003 if it is an integer that a bigint cannot hold."""
    if isinstance(value, int) and not isinstance(value, bool) and not -(2**63) <= value < 2**63:
        raise SqlError("22003", "bigint out of range")
    return value


def arithmetic(kind, a, b):
    """Apply an arithmetic operator, given by its node class, to two values that are not NULL."""
    if isinstance(a, dt.date) and isinstance(b, int):
        return a + dt.timedelta(days=b if kind is exp.Add else -b)
    a, b = common_numbers(a, b)
    if kind in (exp.Div, exp.Mod) and b == 0:
        raise SqlError("22012", "division by zero")
    if isinstance(a, Decimal):
        if kind is exp.Div:
            return divide_numeric(a, b)
        return {
            exp.Add: EXACT_CONTEXT.add,
            exp.Sub: EXACT_CONTEXT.subtract,
            exp.Mul: EXACT_CONTEXT.multiply,
            exp.Mod: EXACT_CONTEXT.remainder,
        }[kind](a, b)
    if kind is exp.Add:
        return check_bigint(a + b)
    if kind is exp.Sub:
        return check_bigint(a - b)
    if kind is exp.Mul:
        return check_bigint(a * b)
    if isinstance(a, float):
        return a / b if kind is exp.Div else a - b * int(a / b)
    quotient = abs(a) // abs(b)
    quotient = quotient if (a < 0) == (b < 0) else -quotient
    return quotient if kind is exp.Div else a - b * quotient


COMPARISONS = {
    exp.EQ: lambda a, b: a == b,
    exp.NEQ: lambda a, b: a != b,
    exp.LT: lambda a, b: a < b,
    exp.LTE: lambda a, b: a <= b,
    exp.GT: lambda a, b: a > b,
    exp.GTE: lambda a, b: a >= b,
}


def compare(kind, a, b):
    """Compare two values that are not NULL; strings by code point, as collation "C" does."""
    if isinstance(a, (int, Decimal, float)) and isinstance(b, (int, Decimal, float)):
        a, b = common_numbers(a, b)
    elif type(a) is not type(b):
        # An untyped string literal takes the type of the other operand.
        if isinstance(a, str):
            a = type(b).fromisoformat(a) if isinstance(b, dt.date) else type(b)(a)
        elif isinstance(b, str):
            b = type(a).fromisoformat(b) if isinstance(a, dt.date) else type(a)(b)
    return COMPARISONS[kind](a, b)


def like(value, pattern):
    """Return whether a value matches a LIKE pattern, in which a backslash escapes."""
    regex, at = [], 0
    while at < len(pattern):
        character = pattern[at]
        if character == "\\" and at + 1 < len(pattern):
            at += 1
            regex.append(re.escape(pattern[at]))
        else:
            regex.append(
                ".*" if character == "%" else "." if character == "_" else re.escape(character)
            )
        at += 1
    return re.fullmatch("".join(regex), value, re.DOTALL) is not None


class Evaluator:
    """Evaluates expressions over one group.

    `slot_values` maps a slot to its value: `("g", n)` is the group's key column n, `("a", n)` is
    aggregate n.
    """

    def __init__(self, parameters):
        self.parameters, self.slot_values = parameters, {}

    def value(self, node):
        """Return the value of an expression; None is NULL."""
        slot = node.args.get("slot")
        if slot is not None:
            return self.slot_values[slot]
        number = parameter_number(node)
        if number is not None:
            return self.parameters[number - 1]
        method = getattr(self, "on_" + type(node).__name__.lower(), None)
        if method is not None:
            return method(node)
        if type(node) in COMPARISONS:
            a, b = self.value(node.this), self.value(node.expression)
            return None if a is None or b is None else compare(type(node), a, b)
        if type(node) in (exp.Add, exp.Sub, exp.Mul, exp.Div, exp.Mod):
            a, b = self.value(node.this), self.value(node.expression)
            return None if a is None or b is None else arithmetic(type(node), a, b)
        if isinstance(node, exp.Column):
            raise SqlError(
                "42803",
                f'column "{node.sql("postgres")}" must appear in the GROUP BY clause or be used in '
                "an aggregate function",
            )
        raise unsupported(construct_name(node), "it is not evaluated over groups")

    def on_literal(self, node):
        if node.is_string:
            return node.this
        return int(node.this) if node.this.isdigit() else Decimal(node.this)

    def on_boolean(self, node):
        return node.this

    def on_null(self, node):
        return None

    def on_paren(self, node):
        return self.value(node.this)

    def on_collate(self, node):
        return self.value(node.this)

    def on_neg(self, node):
        value = self.value(node.this)
        return None if value is None else -value

    def on_not(self, node):
        value = self.value(node.this)
        return None if value is None else not value

    def on_and(self, node):
        a = self.value(node.this)
        if a is False:
            return False
        b = self.value(node.expression)
        return False if b is False else None if a is None or b is None else True

    def on_or(self, node):
        a = self.value(node.this)
        if a is True:
            return True
        b = self.value(node.expression)
        return True if b is True else None if a is None or b is None else False

    def on_is(self, node):
        value = self.value(node.this)
        return (
            value is None
            if isinstance(node.expression, exp.Null)
            else value is node.expression.this
        )

    def on_nullsafeeq(self, node):
        a, b = self.value(node.this), self.value(node.expression)
        return (a is None) == (b is None) and (a is None or compare(exp.EQ, a, b))

    def on_nullsafeneq(self, node):
        return not self.on_nullsafeeq(node)

    def on_between(self, node):
        value, low, high = (self.value(n) for n in (node.this, node.args["low"], node.args["high"]))
        if value is None:
            return None
        above = None if low is None else compare(exp.GTE, value, low)
        below = None if high is None else compare(exp.LTE, value, high)
        return (
            False
            if above is False or below is False
            else None
            if above is None or below is None
            else True
        )

    def on_in(self, node):
        value = self.value(node.this)
        if value is None:
            return None
        items = [self.value(n) for n in node.expressions]
        if any(item is not None and compare(exp.EQ, value, item) for item in items):
            return True
        return None if any(item is None for item in items) else False

    def on_like(self, node):
        value, pattern = self.value(node.this), self.value(node.expression)
        return None if value is None or pattern is None else like(value, pattern)

    def on_dpipe(self, node):
        a, b = self.value(node.this), self.value(node.expression)
        return None if a is None or b is None else text_of(a) + text_of(b)

    def on_case(self, node):
        subject = None if node.this is None else self.value(node.this)
        for branch in node.args["ifs"]:
            if node.this is None:
                matches = self.value(branch.this) is True
            else:
                other = self.value(branch.this)
                matches = (
                    subject is not None and other is not None and compare(exp.EQ, subject, other)
                )
            if matches:
                return self.value(branch.args["true"])
        default = node.args.get("default")
        return None if default is None else self.value(default)

    def on_coalesce(self, node):
        for item in (node.this, *node.expressions):
            value = self.value(item)
            if value is not None:
                return value
        return None

    def on_nullif(self, node):
        a, b = self.value(node.this), self.value(node.expression)
        return None if a is not None and b is not None and compare(exp.EQ, a, b) else a

    def on_abs(self, node):
        value = self.value(node.this)
        return None if value is None else abs(value)

    def on_lower(self, node):
        value = self.value(node.this)
        return None if value is None else value.lower()

    def on_upper(self, node):
        value = self.value(node.this)
        return None if value is None else value.upper()

    def on_length(self, node):
        value = self.value(node.this)
        return None if value is None else len(value)

    def on_cast(self, node):
        value, oid = self.value(node.this), cast_type(node)
        return None if value is None else cast_value(value, oid)


def text_of(value):
    """Return a value as a cast to text gives it."""
    return t.to_text(t.TEXT, value).decode()


def cast_value(value, oid):
    """Cast a value to another type.

    As in PostgreSQL, numerics and floats round to the nearest integer; halves round away from zero
    (numeric) or to even (float).
    """
    try:
        if oid in t.INTS:
            if isinstance(value, Decimal):
                value = int(value.to_integral_value(ROUND_HALF_UP))
            elif isinstance(value, float):
                value = round(value)
            return t.from_text(oid, str(int(value)))
        if oid in t.TEXTS:
            return text_of(value)
        if oid == t.NUMERIC and not isinstance(value, bool):
            return Decimal(str(value)) if isinstance(value, float) else Decimal(value)
        if oid == t.FLOAT8 and not isinstance(value, bool):
            return float(value)
        return t.from_text(oid, text_of(value))
    except t.InvalidValueError as error:
        raise SqlError(error.sqlstate, str(error)) from None
    except (ValueError, ArithmeticError, TypeError):
        raise SqlError(
            "22P02", f"invalid input syntax for type {t.NAMES.get(oid, oid)}: {value!r}"
        ) from None
