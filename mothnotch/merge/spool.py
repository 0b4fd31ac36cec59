"""Store one part's rows: in memory while the budget allows, then on disk.

The rows can be read back in order of arrival, any number of times.
"""

from mothnotch.merge.runs import BLOCK_BYTES, BLOCK_ITEMS

# Memory overhead of a list and of a bytes object, without their contents.
ROW_BYTES, VALUE_BYTES = (
    72,
    41,
)


def memory_size(row, size):
    """Return the bytes that a row takes in memory; `size`: bytes of its values' contents."""
    return ROW_BYTES + (VALUE_BYTES + 8) * len(row) + size


class Spool:
    """Rows in order of arrival."""

    def __init__(self, storage):
        """Start without rows; memory and disk space are reserved from `storage`."""
        self.storage, self.rows, self.bytes, self.run, self.pending = storage, [], 0, None, 0

    def __len__(self):
        return len(self.rows) + (self.run.count if self.run else 0)

    def add(self, row, size):
        """Append a row with `size` bytes of contents.

        Raise SpillError if neither memory nor disk has space.
        """
        row_bytes = memory_size(row, size)
        if self.run is None and self.storage.reserve_memory(row_bytes):
            self.rows.append(row)
            self.bytes += row_bytes
            return
        if self.run is None:
            self.spill()
        # After the spill, the rows of one unfinished block are kept in memory without a
        # reservation.
        self.rows.append(row)
        self.pending += row_bytes
        if self.pending >= BLOCK_BYTES or len(self.rows) >= BLOCK_ITEMS:
            self.flush()

    def spill(self):
        """Write all rows in memory to a run; later rows go to the same run."""
        self.run = self.run or self.storage.new_run()
        block, block_bytes = [], 0
        for row in self.rows:
            block.append(row)
            block_bytes += memory_size(row, sum(len(v) for v in row if v is not None))
            if block_bytes >= BLOCK_BYTES or len(block) >= BLOCK_ITEMS:
                self.run.write_block(block)
                block, block_bytes = [], 0
        if block:
            self.run.write_block(block)
        self.rows = []
        self.storage.release_memory(self.bytes)
        self.bytes = 0

    def flush(self):
        """Write the unfinished block to the run."""
        if self.rows:
            self.run.write_block(self.rows)
        self.rows, self.pending = [], 0

    def blocks(self):
        """Yield the rows in lists."""
        if self.run is not None:
            yield from self.run.read_blocks()
        for start in range(0, len(self.rows), BLOCK_ITEMS):
            yield self.rows[start : start + BLOCK_ITEMS]

    def __iter__(self):
        for block in self.blocks():
            yield from block

    def close(self):
        """Discard all rows and release their memory and disk space."""
        if self.run is not None:
            self.storage.remove_run(self.run)
            self.run = None
        self.storage.release_memory(self.bytes)
        self.rows, self.bytes, self.pending = [], 0, 0
