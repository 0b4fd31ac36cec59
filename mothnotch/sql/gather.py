"""Puts the parts' rows together: merged order, DISTINCT, groups, HAVING, LIMIT and OFFSET.

It holds what the parts brought, within the cap that the request states; `gather(plan, parts, parameters)` is
all that is known of it outside, so that a merge within bounded memory can take its place.
"""
from decimal import Decimal

from mothnotch.pgwire import types as t
from mothnotch.sql.errors import SqlError
from mothnotch.sql.evaluate import EXACT, Evaluator, bounded, compare, divide_numeric, exp


def gather(plan, parts, parameters):
    """The answer's rows, values in text format. `parts`: the rows of each part, in the order of their ranges."""
    g = plan.gather
    skip, show = g.limits(parameters)
    if g.grouped:
        rows = over_groups(plan, parts, parameters)
    elif g.distinct:
        rows = distinct((row for part in parts for row in part), g.oids)
    else:
        rows = [row for part in parts for row in part]
    if g.keys:
        in_order(rows, g.keys, decoded=g.grouped)
    rows = rows[skip:None if show is None else skip + show]
    if g.grouped:
        oids = [oid for _, oid in plan.columns]
        return [[None if v is None else t.to_text(oid, v) for v, oid in zip(row, oids, strict=False)] for row in rows]
    return rows if len(g.oids) == g.width else [row[:g.width] for row in rows]


def in_order(rows, keys, decoded):
    """Sorts in place, the last key first: each pass keeps the order of the passes before it."""
    for key in reversed(keys):
        at, oid = key.column, key.oid
        # The flag puts NULLs where they belong whichever way the pass runs.
        null, other = (0, 1) if key.nulls_first != key.desc else (1, 0)
        if decoded:
            def place(row, at=at, null=null, other=other):
                return (null, 0) if row[at] is None else (other, row[at])
        elif oid in t.TEXTS:
            def place(row, at=at, null=null, other=other):
                return (null, b"") if row[at] is None else (other, row[at])
        else:
            def place(row, at=at, null=null, other=other, oid=oid):
                return (null, 0) if row[at] is None else (other, t.from_text(oid, row[at]))
        rows.sort(key=place, reverse=key.desc)


def distinct(rows, oids):
    """The first row of each set of equal ones."""
    seen, out = set(), []
    exact = all(oid in t.TEXTS or oid in t.INTS or oid in (t.DATE, t.BOOL) for oid in oids)
    for row in rows:
        key = tuple(row) if exact else tuple(None if v is None else t.from_text(oid, v)
                                             for v, oid in zip(row, oids, strict=True))
        if key not in seen:
            seen.add(key)
            out.append(row)
    return out


# ---- aggregates ----

def add(kind, state, values):
    """Takes one part's partial values into a group's state of one aggregate."""
    value = values[0]
    if kind == "count":
        return (state or 0) + value
    if kind == "avg":
        total, count = state or (None, 0)
        return (plus(total, value), count + values[1])
    if kind == "sum":
        return plus(state, value)
    if value is None or state is None:
        return state if value is None else value
    return value if compare(exp.LT if kind == "min" else exp.GT, value, state) else state


def plus(a, b):
    if a is None or b is None:
        return b if a is None else a
    return EXACT.add(a, b) if isinstance(a, Decimal) else a + b


def final(kind, state, oid):
    """The value of an aggregate once all parts are in."""
    if kind == "count":
        return state or 0
    if kind == "avg":
        if not state or not state[1]:
            return None
        total, count = state
        return total / count if isinstance(total, float) else divide_numeric(Decimal(total), Decimal(count))
    if kind == "sum" and oid in t.INTS and state is not None:
        return bounded(state)
    return state


def over_groups(plan, parts, parameters):
    """The groups' output rows, decoded, with sort keys behind the shown columns."""
    g, groups = plan.gather, {}
    widths = [2 if kind == "avg" else 1 for kind, _ in g.finals]
    for part in parts:
        for row in part:
            try:
                values = [None if v is None else t.from_text(oid, v) for v, oid in zip(row, g.oids, strict=True)]
            except ValueError:
                raise SqlError("XX000", f"a leaf sent {len(row)} columns where {len(g.oids)} were asked for") from None
            key = tuple(values[:g.groups])
            states = groups.get(key)
            if states is None:
                states = groups[key] = [None] * len(g.finals)
            for n, (kind, at) in enumerate(g.finals):
                states[n] = add(kind, states[n], values[at:at + widths[n]])
    if not groups and not g.groups:
        groups[()] = [None] * len(g.finals)
    evaluator, rows = Evaluator(parameters), []
    for key, states in groups.items():
        evaluator.known = {("g", n): value for n, value in enumerate(key)}
        for n, (kind, at) in enumerate(g.finals):
            evaluator.known["a", n] = final(kind, states[n], g.oids[at])
        if g.having is not None and evaluator.value(g.having) is not True:
            continue
        rows.append([evaluator.value(node) for node in g.outputs])
    if g.distinct:
        seen = {}
        for row in rows:
            seen.setdefault(tuple(row[:g.width]), row)
        rows = list(seen.values())
    return rows
