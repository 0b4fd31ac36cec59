"""Merge sorted streams and sort unsorted ones within a QueryStorage.

The merge is heapq.merge over blocks whose order is checked. A loser tree and a block-wise merge
with Python's sort were not faster (benchmarks/merge.py, docs/merging.md).
"""

import heapq
from itertools import islice

from mothnotch.merge.runs import BLOCK_ITEMS, blocks
from mothnotch.merge.spool import memory_size

# Number of runs merged at once; more are merged in several passes.
MERGE_FAN_IN = 64


class OutOfOrderError(Exception):
    """An input stream of a merge is not sorted."""


def merge(streams, key):
    """Yield blocks of the items of sorted streams of blocks, in order.

    The merge is stable: items with equal keys are in the order of the streams. `key(item)` returns
    a comparable value. One block of each stream is kept in memory. Raise OutOfOrderError if a
    stream is not sorted.
    """
    merged = heapq.merge(*(keyed_items(stream, key) for stream in streams), key=pair_key)
    while block := [item for _, item in islice(merged, BLOCK_ITEMS)]:
        yield block


def keyed_items(stream, key):
    """Yield (key, item) for a stream of blocks; raise OutOfOrderError if it is not sorted."""
    last = ()
    for block in stream:
        keys = [key(item) for item in block]
        if keys != sorted(keys) or last and keys and keys[0] < last[0]:
            raise OutOfOrderError
        last = keys[-1:] or last
        yield from zip(keys, block, strict=True)


def pair_key(pair):
    """Return the key of a (key, item) pair."""
    return pair[0]


class LoserTree:
    """Iterate over the merged items of sorted iterators with a loser tree.

    D. E. Knuth, The Art of Computer Programming 3, section 5.4.1. Used only in a benchmark, for
    comparison with `merge`.
    """

    def __init__(self, streams, key):
        """Read the first item of each stream and build the tree."""
        self.streams, self.key = [iter(s) for s in streams], key
        self.n = n = max(1, len(self.streams))
        self.heads = [self.next(k) for k in range(len(self.streams))] or [None]
        self.tree = [0] * n
        winners = [0] * n + list(range(n))
        for node in range(n - 1, 0, -1):
            a, b = winners[2 * node], winners[2 * node + 1]
            winners[node], self.tree[node] = (a, b) if self.before(a, b) else (b, a)
        self.winner = winners[1] if n > 1 else 0

    def next(self, k):
        """Return (key, item) of the next item of stream `k`, or None at its end."""
        for item in self.streams[k]:
            return self.key(item), item
        return None

    def before(self, a, b):
        """Return whether the head of stream `a` precedes that of stream `b`."""
        x, y = self.heads[a], self.heads[b]
        return y is None or x is not None and (x[0] < y[0] or x[0] == y[0] and a < b)

    def __iter__(self):
        while self.heads[self.winner] is not None:
            k = self.winner
            yield self.heads[k][1]
            self.heads[k] = self.next(k)
            node = (k + self.n) // 2
            while node:
                if self.before(self.tree[node], k):
                    self.tree[node], k = k, self.tree[node]
                node //= 2
            self.winner = k


class Sorter:
    """Stable external sort: rows that do not fit in memory are written to disk in sorted runs."""

    def __init__(
        self, storage, key, size=lambda row: sum(len(v) for v in row if isinstance(v, bytes))
    ):
        """Start without rows; `size(row)` returns the bytes of a row's contents."""
        self.storage, self.key, self.size, self.rows, self.bytes, self.runs = (
            storage,
            key,
            size,
            [],
            0,
            [],
        )

    def add(self, row):
        """Add a row; raise SpillError if neither memory nor disk has space."""
        row_bytes = memory_size(row, self.size(row))
        if not self.storage.reserve_memory(row_bytes):
            self.spill()
            if not self.storage.reserve_memory(row_bytes):
                # Not even one row fits within the budget: it is written to disk alone.
                self.write_run([row])
                return
        self.rows.append(row)
        self.bytes += row_bytes

    def spill(self):
        """Write the rows in memory to disk as a sorted run and release their memory."""
        if self.rows:
            self.rows.sort(key=self.key)
            self.write_run(self.rows)
            self.storage.release_memory(self.bytes)
            self.rows, self.bytes = [], 0

    def write_run(self, rows):
        """Write sorted rows to a new run; merge the oldest runs if there are too many."""
        run = self.storage.new_run()
        for start in range(0, len(rows), BLOCK_ITEMS):
            run.write_block(rows[start : start + BLOCK_ITEMS])
        self.runs.append(run)
        if len(self.runs) >= 2 * MERGE_FAN_IN:
            self.join()

    def join(self):
        """Merge the oldest runs into one, which bounds the number of open files."""
        old, self.runs = self.runs[:MERGE_FAN_IN], self.runs[MERGE_FAN_IN:]
        run = self.storage.new_run()
        for block in merge([r.read_blocks() for r in old], self.key):
            for piece in blocks(block):
                run.write_block(piece)
        for r in old:
            self.storage.remove_run(r)
        self.runs.insert(0, run)

    def blocks(self):
        """Yield the rows in order, in lists."""
        self.rows.sort(key=self.key)
        while len(self.runs) > MERGE_FAN_IN:
            self.join()
        in_memory = (
            self.rows[start : start + BLOCK_ITEMS]
            for start in range(0, len(self.rows), BLOCK_ITEMS)
        )
        yield from merge([*(run.read_blocks() for run in self.runs), in_memory], self.key)
