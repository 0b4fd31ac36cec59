"""Replace literals in a statement's text by parameters.

Statements that differ only in their values then share one cached plan.

Drivers that put values into the text (psycopg2, psql) would otherwise have every statement parsed.
A literal is replaced only where a parameter has the same meaning; in doubt it stays. A statement
whose parameterized form cannot be planned is planned from its original text.
"""

import re
from decimal import Decimal

from mothnotch.pgwire import types as t

TOKEN = re.compile(
    r"""
    (?P<space>\s+) | (?P<comment>--[^\n]*|/\*) | (?P<string>'(?:[^']|'')*') | (?P<quoted>"(?:[^"]|"")*")
  | (?P<number>\d+(?:\.\d+)?(?![\w.])) | (?P<word>[A-Za-z_][\w$]*) | (?P<dollar>\$) | (?P<sign>::|[^\s])
""",
    re.VERBOSE,
)
FIRST_WORDS = frozenset(("select", "insert", "update", "delete"))
# A literal after one of these words is a value by itself, unlike those in DATE '...', E'...' and
# FETCH FIRST 3.
WORDS_BEFORE_VALUE = frozenset(
    (
        "select",
        "where",
        "and",
        "or",
        "not",
        "in",
        "like",
        "between",
        "values",
        "then",
        "else",
        "when",
        "on",
        "set",
        "having",
        "distinct",
        "limit",
        "offset",
        "case",
        "is",
        "from",
        "returning",
    )
)
MAX_TEXT_CHARS = 8192  # a longer statement keeps its literals
MAX_PARAMETERS = 200  # a statement with more distinct literals keeps all of them


def parameterize(text):
    """Return (text with parameters, their type OIDs, their values), or None if nothing is replaced.

    The type OID 0, given to a quoted string, leaves the type to the planner. Equal literals become
    one parameter, because expressions that contain them may have to be textually equal, as in
    SELECT and GROUP BY.
    """
    if len(text) > MAX_TEXT_CHARS or "$" in text or "\\" in text:
        return None
    pieces, numbers, oids, values = [], {}, [], []
    before, after_by, first = "", False, True
    for token in TOKEN.finditer(text):
        kind, raw = token.lastgroup, token[0]
        if kind == "comment" or kind == "dollar":
            return None
        if kind == "space":
            pieces.append(" ")
            continue
        if first:
            if kind != "word" or raw.lower() not in FIRST_WORDS:
                return None
            first = False
        word = raw.lower() if kind == "word" else ""
        if word == "by":
            after_by = True  # the numbers in GROUP BY 1 and ORDER BY 2 are column positions
        replaceable = kind in ("string", "number") and (
            before in ("limit", "offset")
            if after_by
            else not before or before in WORDS_BEFORE_VALUE
        )
        if replaceable:
            if raw not in numbers:
                if len(values) == MAX_PARAMETERS:
                    return None
                oid, value = literal_value(kind, raw)
                oids.append(oid)
                values.append(value)
                numbers[raw] = len(values)
            pieces.append(f"${numbers[raw]}")
        else:
            pieces.append(raw)
        # A literal after an operator or a parenthesis is a value; after an unlisted word, a quoted
        # name or another literal it may not be.
        before = word or (
            "name" if kind in ("quoted", "string", "number") else "::" if raw == "::" else ""
        )
    return ("".join(pieces), tuple(oids), tuple(values)) if values else None


def literal_value(kind, raw):
    """Return (type OID, value) of a literal token."""
    if kind == "string":
        return 0, raw[1:-1].replace("''", "'")
    if "." in raw:
        return t.NUMERIC, Decimal(raw)
    value = int(raw)
    return (t.INT4 if value < 2**31 else t.INT8 if value < 2**63 else t.NUMERIC), (
        value if value < 2**63 else Decimal(value)
    )
