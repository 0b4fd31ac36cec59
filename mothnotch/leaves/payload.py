"""Payload of a part that is sent to a SQL leaf, and its result."""

from dataclasses import dataclass, field


@dataclass(slots=True)
class Statement:
    """One statement and the values bound to its parameters.

    `values` are in text format (bytes, or None for NULL), `oids` their types.
    """

    sql: str
    oids: tuple = ()
    values: tuple = ()


@dataclass(slots=True)
class Read:
    """A statement without side effects; several reads may share a call.

    `tag`: a comment that precedes the statement and names the range to read.
    """

    statement: Statement
    tag: str = ""


@dataclass(slots=True, frozen=True)
class Write:
    """Statements that a leaf commits atomically, under an idempotency key that detects retries.

    `expected_counts`: the number of rows that each statement must affect, None where the client
    stated none; the leaf's own counts must match before COMMIT is sent. `tag`: as in `Read`.
    """

    key: str
    statements: tuple
    expected_counts: tuple
    tag: str = ""


@dataclass(slots=True)
class Rows:
    """The result of one part.

    `rows`: a list or a Spool, with values in text format as received; `tags`: the command tags.
    """

    rows: list = field(default_factory=list)
    tags: list = field(default_factory=list)


def affected_rows(tag: str) -> int:
    """Return the row count of a command tag such as `UPDATE 3`; 0 if it has none."""
    last = tag.rpartition(" ")[2]
    return int(last) if last.isdigit() else 0
