"""Tables, their shard columns, and the value ranges that the shards hold."""

from bisect import bisect_right
from dataclasses import dataclass

from mothnotch.pgwire import types as t
from mothnotch.sql.errors import SqlError

TYPE_NAMES = {
    "int2": t.INT2,
    "smallint": t.INT2,
    "int4": t.INT4,
    "int": t.INT4,
    "integer": t.INT4,
    "int8": t.INT8,
    "bigint": t.INT8,
    "text": t.TEXT,
    "varchar": t.TEXT,
    "date": t.DATE,
    "numeric": t.NUMERIC,
    "float8": t.FLOAT8,
    "boolean": t.BOOL,
    "bool": t.BOOL,
    "timestamp": t.TIMESTAMP,
}


@dataclass(slots=True, frozen=True)
class Table:
    name: str
    columns: dict  # name -> type OID, in order
    shard_column: str


@dataclass(slots=True, frozen=True)
class Schema:
    """Tables and range bounds.

    Range n holds the values of the shard column from `bounds[n]`, inclusive, to `bounds[n + 1]`,
    exclusive.
    """

    tables: dict
    bounds: tuple

    @property
    def shard_count(self):
        return len(self.bounds) - 1

    def range(self, shard):
        """Return the inclusive lower and the exclusive upper bound of a shard's range."""
        return self.bounds[shard], self.bounds[shard + 1]

    def shard_of(self, value):
        """Return the shard whose range contains a value, or None if no range does."""
        shard = bisect_right(self.bounds, value) - 1
        return shard if 0 <= shard < self.shard_count else None

    def table(self, name):
        if name not in self.tables:
            raise SqlError("42P01", f'relation "{name}" does not exist')
        return self.tables[name]

    def shards_between(self, low, high, low_exclusive, high_exclusive):
        """Return the shards that can hold values between two bounds; None means no bound."""
        first, last = 0, self.shard_count - 1
        if low is not None:
            first = max(0, bisect_right(self.bounds, low) - 1)
            if (
                low_exclusive
                and isinstance(low, int)
                and first < self.shard_count
                and low + 1 >= self.bounds[first + 1]
            ):
                first += 1
        if high is not None:
            last = min(last, bisect_right(self.bounds, high) - 1)
            if high_exclusive and last >= 0 and high <= self.bounds[last]:
                last -= 1
        return range(first, last + 1)
