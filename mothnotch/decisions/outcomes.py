"""Classify leaf errors and build the errors that clients get.

Pure. A leaf's SQLSTATE tells whether the statement never ran (REJECTED), the server failed (ERROR),
or the query is at fault. In the last case the error is the query's answer and does not count
against the server.
"""

from dataclasses import dataclass
from enum import Enum

from mothnotch.decisions.interface import NEVER_RAN, Result

# Codes with which PostgreSQL rejects a statement before it runs: insufficient resources (53, except
# for a full disk, 53100, which a running statement may meet), not accepting connections (57P03),
# and a read-only replica (25006).
REJECTED_SQLSTATES = ("53000", "53300", "53400", "57P03", "25006")
# The leaf does not hold the range; the statement never ran.
NOT_HELD_SQLSTATE = "MN001"
# Classes of errors that the server causes, not the query: connection, operator intervention, system
# and internal errors, a failed or full disk, and lock conflicts.
SERVER_SQLSTATE_CLASSES = ("08", "57", "58", "XX", "53", "40", "55", "F0")


class Fault(Enum):
    """Whether the query or the server caused an error."""

    # The error is the answer of the query.
    QUERY = "query"
    # The error ends one attempt; another replica may succeed.
    SERVER = "server"


@dataclass(slots=True, frozen=True)
class LeafError:
    """The cause of a leaf's error, and the attempt's result for the balancer."""

    fault: Fault
    result: Result


def classify_error(sqlstate: str) -> LeafError:
    """Classify an error that a leaf answered with."""
    if sqlstate in REJECTED_SQLSTATES or sqlstate == NOT_HELD_SQLSTATE:
        return LeafError(Fault.SERVER, Result.REJECTED)
    if sqlstate[:2] in SERVER_SQLSTATE_CLASSES:
        return LeafError(Fault.SERVER, Result.ERROR)
    return LeafError(Fault.QUERY, Result.OK)


def result_before_commit(result: Result) -> Result:
    """Return the result of an attempt whose COMMIT was never sent, so that it cannot have run.

    Results that would mean it may have run become UNREACHABLE; the others are kept.
    """
    return result if result in NEVER_RAN else Result.UNREACHABLE


class FinalStatus(Enum):
    """How a query ended for its client."""

    ANSWERED = "answered"
    REJECTED = "refused"
    FAILED = "failed"


@dataclass(slots=True, frozen=True)
class ClientError:
    """An error or warning sent to a client, or a template for one."""

    sqlstate: str
    text: str
    hint: str = ""
    detail: str = ""


# All final answers other than rows; documented in docs/operators.md.
REJECTED = ClientError(
    "53000",
    "the query was refused; nothing of it has run that asking again would repeat",
    "Ask again after {ms} ms.",
)
FAILED_STATEMENT = ClientError(
    "40003",
    "the statement's fate is not known: it may have run",
    "Look whether it took effect before you ask again.",
)
FAILED_COMMIT = ClientError(
    "08007",
    "the transaction's fate is not known: it may have been committed",
    "Look whether it took effect before you ask again.",
)
FAILED_READ = ClientError(
    "57014",
    "no answer came in time; nothing was changed",
    "Asking again is harmless.",
)
MERGE_FULL = ClientError(
    "53200",
    "the rows of this query have no room: this root holds {memory} bytes in memory and {disk} on "
    "disk for all queries",
    "Ask for fewer rows, or aggregate them; or ask again when less is held.",
)
PARTIAL = ClientError(
    "01MN1",
    "answered from {percent}% of the worth asked for; bin ranges missing: {missing}",
)
COUNT_CHANGED = ClientError(
    "40001",
    "could not serialize: a statement of the transaction would touch {now} rows at COMMIT, "
    "and {told} were told; nothing was changed",
    "Run the transaction again.",
)


def rejection(retry_after_us: int) -> ClientError:
    """Return the error for a rejected query; the delay is rounded up to whole milliseconds."""
    retry_after_ms = -(-retry_after_us // 1000)
    hint = REJECTED.hint.format(ms=retry_after_ms) if retry_after_ms else ""
    return ClientError(
        REJECTED.sqlstate, REJECTED.text, hint, detail=f"retry_after_ms={retry_after_ms}"
    )


def failure(writes: bool, commits: bool, may_have_run: bool = True) -> ClientError:
    """Return the error for a failed query.

    The outcome of a write is unknown only if it may have run; without a COMMIT it cannot have.
    """
    if not writes or not may_have_run:
        return FAILED_READ
    return FAILED_COMMIT if commits else FAILED_STATEMENT
