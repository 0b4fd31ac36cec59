"""Bound the memory of frames: from leaves, while they are incomplete, and to leaves, until sent.

Pure: no I/O and no clock.
"""

from collections.abc import Hashable, Iterable, Sequence

from mothnotch.decisions.held_bytes import HeldBytes

# What each connection may hold, whatever the others do: most answers are shorter.
SMALL_FRAME_BYTES = 2048
# A leaf that has sent nothing of the rest of a frame for this long gives way to other leaves.
STALLED_FRAME_S = 0.25


class LeafInputBudget(HeldBytes):
    """The bytes of incomplete frames, by connection."""

    def read_bytes(self, connection: Hashable, wanted_bytes: int) -> int:
        """Return how much may be read of a connection now; 0 if it has to wait for others.

        The one that holds most may always go on; a frame has a bounded size.
        """
        if self.total_bytes + wanted_bytes <= self.max_bytes:
            return wanted_bytes
        allowed_bytes = max(self.free_bytes, SMALL_FRAME_BYTES - self.of(connection))
        if allowed_bytes <= 0 and self.largest(self._held_bytes) == connection:
            return wanted_bytes
        return max(0, min(wanted_bytes, allowed_bytes))

    def stalled(
        self, connections: Iterable[Hashable], now_s: float, last_read_s
    ) -> Sequence[Hashable]:
        """Return the connections that have to give way, as the rest of a frame does not come.

        `last_read_s(connection)`: when something of it was read last.
        """
        return [
            connection
            for connection in connections
            if self.of(connection) > SMALL_FRAME_BYTES
            and now_s - last_read_s(connection) >= STALLED_FRAME_S
        ]


def parts_in_call(text_bytes: Iterable[int], max_parts: int, max_bytes: int) -> int:
    """Return how many of the parts go into one call: at least one, and no more than the bounds
    allow.
    """
    total_bytes = 0
    count = 0
    for size_bytes in text_bytes:
        total_bytes += size_bytes
        if count and (count == max_parts or total_bytes > max_bytes):
            break
        count += 1
    return count
