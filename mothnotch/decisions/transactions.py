"""Rules for transactions over shards: buffered writes, savepoints and row counts at COMMIT.

Pure. A write inside BEGIN ... COMMIT is buffered until COMMIT, with the row count reported to the
client. All writes of a transaction must be to one bin range, so that a single leaf commits all of
them or none. At COMMIT the leaf runs them and rolls back if any row count differs from the one
reported. docs/sql.md discusses the alternatives.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

# Maximum number of writes, and of savepoints, in a transaction; bounds the memory of a session.
MAX_ENTRIES = 64


class RequestRejectedError(Exception):
    """A statement that cannot be executed correctly inside this transaction."""

    def __init__(self, sqlstate: str, text: str, hint: str = ""):
        """Set the SQLSTATE, text and hint for the client."""
        super().__init__(text)
        self.sqlstate = sqlstate
        self.hint = hint


class Status(Enum):
    """Transaction status of a session; the value is its code in ReadyForQuery."""

    IDLE = b"I"
    OPEN = b"T"
    FAILED = b"E"


@dataclass(slots=True, frozen=True)
class BufferedWrite:
    """A write that is buffered until COMMIT."""

    # The message for the leaf.
    payload: Any
    # The row count reported to the client.
    row_count: int
    plan: Any


@dataclass(slots=True, frozen=True)
class Savepoint:
    """State of a transaction when a savepoint was set."""

    name: str
    write_count: int
    shard: int | None
    tables: frozenset[str]


@dataclass(slots=True)
class Transaction:
    """State of a session's transaction block."""

    status: Status = Status.IDLE
    read_only: bool = False
    # The bin range of its writes; None: nothing written yet.
    shard: int | None = None
    writes: list[BufferedWrite] = field(default_factory=list)
    # Tables written so far.
    tables: set[str] = field(default_factory=set)
    savepoints: list[Savepoint] = field(default_factory=list)
    # Maximum length of `writes` and of `savepoints`.
    max_entries: int = MAX_ENTRIES

    def begin(self, read_only: bool = False) -> None:
        """Open a transaction block; keep one that is open or failed."""
        if self.status is Status.IDLE:
            self.status = Status.OPEN
            self.read_only = read_only

    def reset(self) -> None:
        """End the transaction block and discard its state."""
        self.status = Status.IDLE
        self.shard = None
        self.read_only = False
        self.writes = []
        self.tables = set()
        self.savepoints = []

    # Savepoints need no message to a leaf: writes after one are still buffered and can be dropped.

    def add_savepoint(self, name: str) -> None:
        """Set a savepoint; raise RequestRejectedError outside a block or if there are too many."""
        if self.status is Status.IDLE:
            raise RequestRejectedError("25P01", "SAVEPOINT can only be used in transaction blocks")
        self.check_not_failed()
        if len(self.savepoints) >= self.max_entries:
            raise RequestRejectedError(
                "54000", f"a transaction holds {self.max_entries} savepoints at most"
            )
        savepoint = Savepoint(name, len(self.writes), self.shard, frozenset(self.tables))
        self.savepoints.append(savepoint)

    def release_savepoint(self, name: str) -> None:
        """Remove a savepoint and all later ones; raise RequestRejectedError if there is none."""
        self.check_not_failed()
        del self.savepoints[self._savepoint_index(name) :]

    def rollback_to_savepoint(self, name: str) -> None:
        """Discard everything after a savepoint, including a failed status.

        Raise RequestRejectedError if there is no savepoint of that name.
        """
        index = self._savepoint_index(name)
        savepoint = self.savepoints[index]
        del self.writes[savepoint.write_count :]
        del self.savepoints[index + 1 :]
        self.shard = savepoint.shard
        self.tables = set(savepoint.tables)
        self.status = Status.OPEN

    def _savepoint_index(self, name):
        """Return the index of the last savepoint of that name."""
        for index in range(len(self.savepoints) - 1, -1, -1):
            if self.savepoints[index].name == name:
                return index
        if self.status is Status.IDLE:
            raise RequestRejectedError("25P01", "there is no transaction in progress")
        raise RequestRejectedError("3B001", f'savepoint "{name}" does not exist')

    def mark_failed(self) -> None:
        """Mark an open block as failed.

        Further statements are rejected until the end of the block, and COMMIT rolls back.
        """
        if self.status is Status.OPEN:
            self.status = Status.FAILED

    def check_not_failed(self) -> None:
        """Raise RequestRejectedError if a statement of the block has failed."""
        if self.status is Status.FAILED:
            raise RequestRejectedError(
                "25P02",
                "current transaction is aborted, commands ignored until end of transaction block",
            )

    def check_read(self, tables: Iterable[str]) -> None:
        """Raise RequestRejectedError if this transaction has written one of the tables."""
        written = self.tables & set(tables)
        if written:
            raise RequestRejectedError(
                "0A000",
                f"reading {', '.join(sorted(written))} after writing it in the same transaction is "
                "not supported: the write is held until COMMIT and would not be seen",
                "Read before the write, or COMMIT first.",
            )

    def check_write(self, shard: int | None, returning: bool) -> None:
        """Raise RequestRejectedError if a write to that range must not be buffered.

        `returning`: the statement has a RETURNING clause.
        """
        if self.read_only:
            raise RequestRejectedError("25006", "cannot execute a write in a read-only transaction")
        if returning:
            raise RequestRejectedError(
                "0A000",
                "RETURNING inside a transaction block is not supported: the write is held until "
                "COMMIT",
            )
        if self.shard is not None and shard != self.shard:
            raise RequestRejectedError(
                "0A000",
                f"a transaction that writes to two bin ranges ({self.shard} and {shard}) is not "
                "supported: no one leaf could commit both",
                "Use one transaction for each bin range.",
            )
        if len(self.writes) >= self.max_entries:
            raise RequestRejectedError(
                "54000", f"a transaction holds {self.max_entries} writes at most"
            )

    def buffer_write(self, write: BufferedWrite, shard: int, table: str) -> None:
        """Buffer a write that `check_write` has accepted."""
        self.writes.append(write)
        self.shard = shard
        self.tables.add(table)


def counts_agree(reported: Sequence[int | None], actual: Sequence[int]) -> bool:
    """Return whether the leaf's row counts equal those reported to the client.

    None in `reported`: no count has been reported for that statement. Raise ValueError if the
    lengths differ.
    """
    pairs = zip(reported, actual, strict=True)
    return all(expected is None or expected == count for expected, count in pairs)
