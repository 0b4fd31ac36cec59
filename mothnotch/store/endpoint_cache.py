"""The last valid list of leaves, cached on disk for a root that starts while no agent answers.

The lists are stored in one SQLite file; docs/consul.md gives the reasons for SQLite. Each list has
a checksum of its own, since SQLite does not detect all damage to a page. The two newest lists are
kept, so that the previous one is left if the newest one is torn. A file that cannot be used is
renamed to `.broken`, never deleted, and never prevents a start.
"""

import hashlib
import os
import sqlite3
from collections.abc import Iterable
from contextlib import closing

import msgspec

from mothnotch.decisions.leaf_membership.catalogue_answers import CachedLeaf

# The number of newest lists kept: a crash may tear one, and the other stays intact.
KEPT_LISTS = 2
# How long to wait for another process's lock on the file.
BUSY_TIMEOUT_S = 2.0
CHECKSUM_BYTES = 16
# The errors that a call raises on a damaged file.
DAMAGE_ERRORS = (sqlite3.DatabaseError, UnicodeDecodeError, OverflowError)
# The format version, part of the fingerprint: lists of another version are not read.
FORMAT_VERSION = 1

# The names of the table and its columns must not change: releases read each other's files.
_CREATE_TABLE = (
    "CREATE TABLE IF NOT EXISTS lists (n INTEGER PRIMARY KEY, saved REAL NOT NULL, "
    "of TEXT NOT NULL, at INTEGER NOT NULL, body BLOB NOT NULL, sum BLOB NOT NULL)"
)
_INSERT = "INSERT INTO lists (saved, of, at, body, sum) VALUES (?, ?, ?, ?, ?)"
# Ordered by number, which stays correct when the wall clock is set back.
_DELETE_OLD = "DELETE FROM lists WHERE n <= (SELECT max(n) FROM lists) - ?"
_SELECT = "SELECT saved, of, at, body, sum FROM lists ORDER BY n DESC"


class StoredLeaf(msgspec.Struct):
    """A leaf as stored in the file; the keys and their order are the same in all releases."""

    name: str
    address: str
    zone: str
    cell: int
    state: str
    weight: float
    started: float | None
    create: int = 0
    since: float | None = None


def encode_leaves(leaves: Iterable[CachedLeaf]) -> bytes:
    """Return a list of leaves encoded as the body of a row."""
    return msgspec.json.encode([_to_stored(leaf) for leaf in leaves])


def decode_leaves(body: bytes) -> list[CachedLeaf]:
    """Return the leaves in a body; raise msgspec.MsgspecError if it is invalid."""
    return [_from_stored(leaf) for leaf in msgspec.json.decode(body, type=list[StoredLeaf])]


class EndpointCache:
    """A file with the newest lists of one service; its methods block, so call them in a thread."""

    def __init__(self, path: str | os.PathLike, fingerprint: str):
        """Use the file at `path`, and ignore lists with another fingerprint."""
        self.path = str(path)
        self._fingerprint = f"{FORMAT_VERSION} {fingerprint}"

    def save(self, leaves: Iterable[CachedLeaf], index: int, saved_s: float) -> None:
        """Write a list saved at `saved_s` (wall clock, seconds); raise OSError if that fails."""
        body = encode_leaves(leaves)
        checksum = self._checksum(saved_s, index, body)
        try:
            with closing(self._connect()) as database, database:
                database.execute("BEGIN IMMEDIATE")
                database.execute(_INSERT, (saved_s, self._fingerprint, index, body, checksum))
                database.execute(_DELETE_OLD, (KEPT_LISTS,))
                database.execute("COMMIT")
        except DAMAGE_ERRORS as error:
            if not isinstance(error, sqlite3.OperationalError):
                # The file is damaged: the next save creates a new one.
                self._rename_broken_file()
            raise OSError(f"{self.path}: {error}") from None

    def load(self) -> tuple[list[CachedLeaf] | None, int, float, str]:
        """Return (leaves, index, saved_s, problem) of the newest intact list.

        `saved_s` is in seconds of the wall clock; `problem` says why the file or a newer list could
        not be used, or is empty. The leaves are None if there is no list.
        """
        if not os.path.exists(self.path):
            return None, 0, 0.0, ""
        try:
            with closing(self._connect()) as database:
                rows = database.execute(_SELECT).fetchall()
        except DAMAGE_ERRORS as error:
            self._rename_broken_file()
            return None, 0, 0.0, f"{error}; the file was renamed to {self.path}.broken"
        problem = ""
        for saved_s, fingerprint, index, body, checksum in rows:
            if fingerprint != self._fingerprint:
                problem = problem or (
                    f"a list of {fingerprint!r} instead of {self._fingerprint!r} is ignored"
                )
            elif not isinstance(body, bytes) or checksum != self._checksum(saved_s, index, body):
                problem = "a list has a wrong checksum; the previous one is tried"
            else:
                return decode_leaves(body), index, saved_s, problem
        return None, 0, 0.0, problem

    def _connect(self):
        database = sqlite3.connect(self.path, timeout=BUSY_TIMEOUT_S, isolation_level=None)
        try:
            database.execute("PRAGMA synchronous = FULL")
            database.execute(_CREATE_TABLE)
        except BaseException:
            database.close()
            raise
        return database

    def _checksum(self, saved_s, index, body):
        head = repr((self._fingerprint, saved_s, index)).encode()
        return hashlib.blake2b(head + body, digest_size=CHECKSUM_BYTES).digest()

    def _rename_broken_file(self):
        for suffix in ("-wal", "-shm", "-journal"):
            if os.path.exists(self.path + suffix):
                os.replace(self.path + suffix, f"{self.path}.broken{suffix}")
        if os.path.exists(self.path):
            os.replace(self.path, f"{self.path}.broken")


def _to_stored(leaf):
    return StoredLeaf(
        leaf.name,
        leaf.address,
        leaf.zone,
        leaf.cell,
        leaf.state,
        leaf.weight,
        started=leaf.stated_start_s,
        create=leaf.create_index,
        since=leaf.observed_start_s,
    )


def _from_stored(leaf):
    return CachedLeaf(
        leaf.name,
        leaf.address,
        leaf.zone,
        leaf.cell,
        leaf.state,
        leaf.weight,
        stated_start_s=leaf.started,
        create_index=leaf.create,
        observed_start_s=leaf.since,
    )
