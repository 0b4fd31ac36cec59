"""Combine the parts' rows: merge order, DISTINCT, groups, HAVING, LIMIT and OFFSET.

Small results are combined in lists. Where the parts returned more than IN_MEMORY_LIMIT_BYTES in
total, in memory and on disk, the result is a stream of blocks, within the query's QueryStorage
(mothnotch/merge). It has the same rows, in an order that differs at most where ORDER BY leaves the
order open.
"""

from decimal import Decimal

from mothnotch.merge.groups import Groups
from mothnotch.merge.runs import BLOCK_ITEMS, SpillError, blocks
from mothnotch.merge.sorting import OutOfOrderError, Sorter, merge
from mothnotch.pgwire import types as t
from mothnotch.sql.errors import SqlError
from mothnotch.sql.evaluate import (
    EXACT_CONTEXT,
    Evaluator,
    check_bigint,
    compare,
    divide_numeric,
    exp,
)

IN_MEMORY_LIMIT_BYTES = 1 << 20  # a larger result is streamed
COMPLEMENTED_BYTES = bytes(255 - n for n in range(256))


def gather(plan, parts, parameters):
    """Return the result's rows, with values in text format.

    `parts` holds the rows of each part, in the order of their ranges.
    """
    spec = plan.gather
    skip, show = spec.limits(parameters)
    if spec.grouped:
        groups, merge_states = {}, state_merger(spec)
        for part in parts:
            for key, states in partial_groups(spec, part):
                found = groups.setdefault(key, states)
                if found is not states:
                    merge_states(found, states)
        rows = list(group_rows(spec, groups.items(), parameters))
        if spec.distinct:
            seen = {}
            for row in rows:
                seen.setdefault(tuple(row[: spec.width]), row)
            rows = list(seen.values())
    elif spec.distinct:
        rows = distinct_rows((row for part in parts for row in part), spec.oids)
    else:
        rows = [row for part in parts for row in part]
    if spec.keys:
        sort_rows(rows, spec.keys, decoded=spec.grouped)
    return output_rows(plan, rows[skip : None if show is None else skip + show])


def output_rows(plan, rows):
    """Return rows as the client gets them: in text format and without sort-only columns."""
    spec = plan.gather
    if spec.grouped:
        oids = [oid for _, oid in plan.columns]
        return [
            [None if v is None else t.to_text(oid, v) for v, oid in zip(row, oids, strict=False)]
            for row in rows
        ]
    return rows if len(spec.oids) == spec.width else [row[: spec.width] for row in rows]


def gather_blocks(plan, parts, parameters, room):
    """Yield the result's rows in blocks, within the room.

    An empty block means that work is in progress and no rows are ready. Raise SqlError 53200 if
    neither memory nor disk has room, and XX000 if a leaf's rows are not in the requested order.
    """
    try:
        yield from limit_blocks(plan, ordered_blocks(plan, parts, parameters, room), parameters)
    except SpillError as error:
        raise SqlError(
            "53200", f"the merge has no room: {error}", "Ask for fewer rows, or aggregate them."
        ) from None
    except OutOfOrderError:
        raise SqlError("XX000", "a leaf sent rows that are not in the order asked for") from None


def limit_blocks(plan, row_blocks, parameters):
    """Apply OFFSET and LIMIT to blocks of rows and convert the rows for the client."""
    skip, show = plan.gather.limits(parameters)
    for block in row_blocks:
        if skip:
            dropped = min(skip, len(block))
            skip, block = skip - dropped, block[dropped:]
        if show is not None:
            block = block[:show]
            show -= len(block)
        yield output_rows(plan, block)
        if show == 0:
            return  # the parts' remaining rows are not read


def ordered_blocks(plan, parts, parameters, room):
    """Yield blocks of all rows, merged, grouped, distinct and sorted as the plan says."""
    spec = plan.gather
    if not spec.grouped and not spec.distinct:
        if spec.keys:
            yield from merge([part_blocks(part) for part in parts], sort_key(spec.keys, False))
        else:
            for part in parts:
                yield from part_blocks(part)
        return
    if spec.grouped:
        groups = Groups(room, state_merger(spec), lambda key: canonical_text(key).encode())
        yield from add_all(
            groups.put, (pair for part in parts for pair in partial_groups(spec, part))
        )
        rows = group_rows(spec, groups, parameters)
        keyed = ((tuple(row[: spec.width]), row) for row in rows)
    else:
        keyed = ((decode_row(row, spec.oids), row) for part in parts for row in part)
    if spec.distinct:
        # Of equal rows, the first one stays.
        unique_rows = Groups(
            room, lambda state, other: None, lambda key: canonical_text(key).encode()
        )
        yield from add_all(unique_rows.put, keyed)
        rows = (row for _, row in unique_rows)
    if not spec.keys:
        yield from blocks(rows)
        return
    sorter = Sorter(room, sort_key(spec.keys, spec.grouped))
    yield from add_all(sorter.add, ((row,) for row in rows))
    yield from sorter.blocks()


def add_all(put, items):
    """Add each item; yield an empty block at intervals, so that other tasks can run."""
    for n, item in enumerate(items):
        put(*item)
        if n % BLOCK_ITEMS == 0:
            yield []


def part_blocks(part):
    """Return a part's rows as blocks; `part` is a list or a Spool."""
    return part.blocks() if hasattr(part, "blocks") else blocks(part)


def decode_row(row, oids):
    """Return a row's values converted from text format."""
    return tuple(
        None if v is None else t.from_text(oid, v) for v, oid in zip(row, oids, strict=True)
    )


def canonical_text(key):
    """Return a text that is equal for equal keys, whatever the scale of their numerics."""
    return repr(
        tuple(
            v.normalize(EXACT_CONTEXT) + 0
            if isinstance(v, Decimal)
            else v + 0.0
            if isinstance(v, float)
            else v
            for v in key
        )
    )


def sort_key(keys, decoded):
    """Return a function that maps a row to a value that compares as ORDER BY says."""
    terms = [(key.column, key.oid, key.desc, (0, 1) if key.nulls_first else (1, 0)) for key in keys]

    def comparison_key(row):
        out = []
        for at, oid, desc, (null, other) in terms:
            value = row[at]
            if value is None:
                out.append((null,))
                continue
            if not decoded and oid not in t.TEXTS:
                value = t.from_text(oid, value)
            out.append((other, descending_key(value) if desc else value))
        return out

    return comparison_key


def descending_key(value):
    """Return a value that compares in the opposite order."""
    if isinstance(value, str):
        value = value.encode()
    if isinstance(value, bytes):
        # Text contains no zero byte, so no complemented byte is 255 and the terminator sorts last.
        return value.translate(COMPLEMENTED_BYTES) + b"\xff"
    if isinstance(value, Decimal):
        return value.copy_negate()
    return -value.toordinal() if hasattr(value, "toordinal") else -value


def sort_rows(rows, keys, decoded):
    """Sort rows in place with one stable pass for each key, the last key first."""
    for key in reversed(keys):
        at, oid = key.column, key.oid
        # The first element of the key places NULLs as requested, in either direction of the pass.
        null, other = (0, 1) if key.nulls_first != key.desc else (1, 0)
        if decoded:

            def comparison_key(row, at=at, null=null, other=other):
                return (null, 0) if row[at] is None else (other, row[at])
        elif oid in t.TEXTS:

            def comparison_key(row, at=at, null=null, other=other):
                return (null, b"") if row[at] is None else (other, row[at])
        else:

            def comparison_key(row, at=at, null=null, other=other, oid=oid):
                return (null, 0) if row[at] is None else (other, t.from_text(oid, row[at]))

        rows.sort(key=comparison_key, reverse=key.desc)


def distinct_rows(rows, oids):
    """Return the first row of each set of equal rows."""
    seen, out = set(), []
    # Equal values of these types have equal text.
    comparable_as_text = all(
        oid in t.TEXTS or oid in t.INTS or oid in (t.DATE, t.BOOL) for oid in oids
    )
    for row in rows:
        key = (
            tuple(row)
            if comparable_as_text
            else tuple(
                None if v is None else t.from_text(oid, v) for v, oid in zip(row, oids, strict=True)
            )
        )
        if key not in seen:
            seen.add(key)
            out.append(row)
    return out


# ---- aggregates ----


def add_partial(kind, state, values):
    """Return an aggregate's state after adding one part's partial values; None is no state."""
    value = values[0]
    if kind == "count":
        return (state or 0) + value
    if kind == "avg":
        total, count = state or (None, 0)
        return (add_nullable(total, value), count + values[1])
    if kind == "sum":
        return add_nullable(state, value)
    if value is None or state is None:
        return state if value is None else value
    return value if compare(exp.LT if kind == "min" else exp.GT, value, state) else state


def add_nullable(a, b):
    """Return the sum of two numbers, of which None counts as absent."""
    if a is None or b is None:
        return b if a is None else a
    return EXACT_CONTEXT.add(a, b) if isinstance(a, Decimal) else a + b


def final_value(kind, state, oid):
    """Return the value of an aggregate from its state after all parts were added."""
    if kind == "count":
        return state or 0
    if kind == "avg":
        if not state or not state[1]:
            return None
        total, count = state
        return (
            total / count
            if isinstance(total, float)
            else divide_numeric(Decimal(total), Decimal(count))
        )
    if kind == "sum" and oid in t.INTS and state is not None:
        return check_bigint(state)
    return state


def state_merger(spec):
    """Return a function that merges a list of aggregate states into another of the same group."""
    kinds = [kind for kind, _ in spec.aggregate_columns]

    def merge_states(into, other):
        for n, kind in enumerate(kinds):
            into[n] = merge_state(kind, into[n], other[n])

    return merge_states


def merge_state(kind, a, b):
    """Return two states of one aggregate merged into one."""
    if a is None or b is None:
        return b if a is None else a
    return add_partial(kind, a, b if kind == "avg" else (b,))


def partial_groups(spec, part):
    """Yield (group key, aggregate states) of each of a part's rows."""
    widths = [2 if kind == "avg" else 1 for kind, _ in spec.aggregate_columns]
    for row in part:
        try:
            values = decode_row(row, spec.oids)
        except ValueError:
            raise SqlError(
                "XX000", f"a leaf sent {len(row)} columns where {len(spec.oids)} were asked for"
            ) from None
        yield (
            values[: spec.group_columns],
            [
                add_partial(kind, None, values[at : at + width])
                for (kind, at), width in zip(spec.aggregate_columns, widths, strict=True)
            ],
        )


def group_rows(spec, groups, parameters):
    """Yield the groups' output rows, decoded, with the sort keys after the output columns.

    Without GROUP BY, an empty input gives one group.
    """
    evaluator, has_groups = Evaluator(parameters), False
    empty_input = [((), [None] * len(spec.aggregate_columns))]
    for candidates in (groups, empty_input):
        if candidates is empty_input and (has_groups or spec.group_columns):
            return
        for key, states in candidates:
            has_groups = True
            evaluator.slot_values = {("g", n): value for n, value in enumerate(key)}
            for n, (kind, at) in enumerate(spec.aggregate_columns):
                evaluator.slot_values["a", n] = final_value(kind, states[n], spec.oids[at])
            if spec.having is not None and evaluator.value(spec.having) is not True:
                continue
            yield [evaluator.value(node) for node in spec.outputs]
