"""Merge partial aggregates by group within a QueryStorage.

Groups are kept in a table in memory, which is written to disk as a sorted run when the query's
share of memory is used up.
"""

from mothnotch.merge.runs import BLOCK_ITEMS
from mothnotch.merge.sorting import MERGE_FAN_IN, merge

# Approximate size of a group's key tuple, state list and table entry.
GROUP_BYTES = 320
# Approximate size of each value of the key and each state.
VALUE_BYTES = 56


class Groups:
    """Collect partial groups and iterate over the merged ones."""

    def __init__(self, storage, merge_states, encode_key):
        """Start without groups.

        `merge_states(states, other)` merges two lists of states into the first one.
        `encode_key(key)` returns bytes that are equal for equal keys.
        """
        self.storage, self.merge_states, self.encode_key, self.table, self.bytes, self.runs = (
            storage,
            merge_states,
            encode_key,
            {},
            0,
            [],
        )

    def put(self, key, states):
        """Add one partial group, merging it with the states already stored for its key."""
        found = self.table.get(key)
        if found is not None:
            self.merge_states(found, states)
            return
        size = (
            GROUP_BYTES
            + VALUE_BYTES * (len(key) + len(states))
            + sum(len(v) for v in key if isinstance(v, (bytes, str)))
        )
        if not self.storage.reserve_memory(size):
            self.spill()
            if not self.storage.reserve_memory(size):
                self.write_run([(self.encode_key(key), key, states)])
                return
        self.table[key] = states
        self.bytes += size

    def spill(self):
        """Write the table to disk as a sorted run and release its memory."""
        if self.table:
            self.write_run(
                sorted(((self.encode_key(k), k, s) for k, s in self.table.items()), key=encoded_key)
            )
            self.storage.release_memory(self.bytes)
            self.table, self.bytes = {}, 0

    def write_run(self, items):
        """Write sorted items to a new run; merge the oldest runs if there are too many."""
        run = self.storage.new_run()
        for start in range(0, len(items), BLOCK_ITEMS):
            run.write_block(items[start : start + BLOCK_ITEMS])
        self.runs.append(run)
        if len(self.runs) >= 2 * MERGE_FAN_IN:
            old, self.runs = self.runs[:MERGE_FAN_IN], self.runs[MERGE_FAN_IN:]
            joined, block = self.storage.new_run(), []
            for item in self.merged([r.read_blocks() for r in old]):
                block.append(item)
                if len(block) >= BLOCK_ITEMS:
                    joined.write_block(block)
                    block = []
            if block:
                joined.write_block(block)
            for r in old:
                self.storage.remove_run(r)
            self.runs.insert(0, joined)

    def merged(self, streams):
        """Yield the items of sorted streams, merging those with equal keys into one."""
        last = None
        for block in merge(streams, encoded_key):
            for item in block:
                if last is not None and last[0] == item[0]:
                    self.merge_states(last[2], item[2])
                    continue
                if last is not None:
                    yield last
                last = item
        if last is not None:
            yield last

    def __iter__(self):
        """Yield (key, states) of every group.

        The order is that of arrival if nothing was spilled, else that of the encoded keys.
        """
        if not self.runs:
            yield from self.table.items()
            return
        in_memory = sorted(
            ((self.encode_key(k), k, s) for k, s in self.table.items()), key=encoded_key
        )
        for _, key, states in self.merged([*(run.read_blocks() for run in self.runs), [in_memory]]):
            yield key, states


def encoded_key(item):
    """Return the encoded key of an (encoded key, key, states) item."""
    return item[0]
