"""Runs on disk: ordered items in compressed blocks, in unnamed temporary files.

A run's file is unlinked when it is created, so that a root that crashes leaves no files behind.
Blocks are pickled, which is safe because no other process can open the file by a name.
"""

import pickle
import tempfile

import zstandard

from mothnotch.decisions.memory_budget import Reservation

# Maximum number of items of a block.
BLOCK_ITEMS = 512
# Approximate maximum size of a block in bytes, as counted by the code that fills it.
BLOCK_BYTES = 1 << 16
# Shared by the whole process, which uses them from one thread only: each context takes a quarter of
# a megabyte.
COMPRESSOR, DECOMPRESSOR = zstandard.ZstdCompressor(level=1), zstandard.ZstdDecompressor()


class SpillError(Exception):
    """A run cannot be written or read: disk full or failing, or query over its cap."""


class Run:
    """Items written to disk in order, and read back in the same order.

    Disk space is reserved from `storage` before a block is written.
    """

    def __init__(self, storage, directory=None):
        """Create an empty run in a new file; raise SpillError if that fails."""
        self.storage, self.blocks, self.size, self.count = storage, [], 0, 0
        try:
            self.file = tempfile.TemporaryFile(dir=directory, buffering=0)
        except OSError as error:
            raise SpillError(f"no run can be made: {error}") from None

    def write_block(self, items):
        """Append one block of items; raise SpillError if there is no space or the disk fails."""
        data = COMPRESSOR.compress(pickle.dumps(items, 5))
        if not self.storage.reserve_disk(len(data)):
            raise SpillError("the share of the disk is spent")
        try:
            written = 0
            while written < len(data):
                written += self.file.write(data[written:])
        except OSError as error:
            self.storage.release_disk(len(data))
            raise SpillError(f"a run cannot be written: {error}") from None
        self.blocks.append((self.size, len(data)))
        self.size += len(data)
        self.count += len(items)

    def read_blocks(self):
        """Yield the blocks in the order in which they were written."""
        for offset, length in self.blocks:
            try:
                self.file.seek(offset)
                data = b""
                while len(data) < length:
                    chunk = self.file.read(length - len(data))
                    if not chunk:
                        raise SpillError("a run ends early")
                    data += chunk
                yield pickle.loads(DECOMPRESSOR.decompress(data))
            except (OSError, zstandard.ZstdError, pickle.UnpicklingError, ValueError) as error:
                raise SpillError(f"a run cannot be read: {error}") from None

    def close(self):
        """Close the file, which frees its space, and release the reserved disk bytes."""
        if self.file is not None:
            self.file.close()
            self.file = None
            self.storage.release_disk(self.size)


class QueryStorage:
    """The memory and disk space of one query, within the root's MemoryBudget.

    `held`: bytes of memory reserved now; `peak`: the highest value of `held`; `spilled`: bytes
    written to disk in total.
    """

    def __init__(self, budget, query_id, directory=None):
        """Start without reservations for a query that is open in `budget`."""
        self.budget, self.query_id, self.directory, self.runs = budget, query_id, directory, []
        self.held = self.spilled = self.peak = 0
        self.closed = False

    def reserve_memory(self, count):
        """Reserve `count` more bytes of memory; return whether they were granted."""
        if self.budget.reserve_memory(self.query_id, count) is not Reservation.GRANTED:
            return False
        self.held += count
        self.peak = max(self.peak, self.held)
        return True

    def release_memory(self, count):
        """Release `count` bytes of memory."""
        if not self.closed:  # `close` has released everything
            self.budget.release_memory(self.query_id, count)
            self.held -= count

    def reserve_disk(self, count):
        """Reserve `count` more bytes on disk; return whether they were granted."""
        if self.budget.reserve_disk(self.query_id, count) is not Reservation.GRANTED:
            return False
        self.spilled += count
        return True

    def release_disk(self, count):
        """Release `count` bytes on disk."""
        if not self.closed:
            self.budget.release_disk(self.query_id, count)

    def new_run(self):
        """Create a run that is closed together with this storage."""
        run = Run(self, self.directory)
        self.runs.append(run)
        return run

    def remove_run(self, run):
        """Close a run that is no longer needed."""
        if not self.closed:
            run.close()
            self.runs.remove(run)

    def close(self):
        """Close every run and release all memory and disk space.

        Later calls to release or remove something have no effect.
        """
        if self.closed:
            return
        for run in self.runs:
            run.close()
        self.runs, self.closed, self.held = [], True, 0
        self.budget.close(self.query_id)


def blocks(items, size=BLOCK_ITEMS):
    """Yield the items in lists of at most `size`."""
    block = []
    for item in items:
        block.append(item)
        if len(block) >= size:
            yield block
            block = []
    if block:
        yield block
