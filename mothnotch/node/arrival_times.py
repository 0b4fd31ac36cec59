"""Arrival times of a connection's bytes: a request's timeout counts from the request's own last
byte, not from bytes that follow it.

Bound: MAX_READS entries, one for each read whose bytes are not consumed yet.
"""

# Maximum number of reads that are told apart; beyond it, the newest two are taken for one.
MAX_READS = 64
# Memory of an entry: a tuple of an integer and two floats.
ENTRY_BYTES = 144


class ArrivalTimes:
    """The reads of a connection whose bytes are not consumed yet. Times are on trio's clock."""

    def __init__(self):
        """Start without any read."""
        self.total_bytes = 0
        # (total bytes after the read, arrival time of its last byte, earliest possible arrival time
        # of its first byte), oldest first
        self.reads = []

    @property
    def memory_bytes(self) -> int:
        """Return the memory that the entries take."""
        return ENTRY_BYTES * len(self.reads)

    def clear(self):
        """Forget all reads, as all received bytes are consumed."""
        self.reads.clear()

    def add(self, size_bytes: int, last_s: float, first_s: float):
        """Add a read, given the arrival times of its last and its first byte."""
        self.total_bytes += size_bytes
        if len(self.reads) >= MAX_READS:
            first_s = self.reads.pop()[2]
        self.reads.append((self.total_bytes, last_s, first_s))

    def oldest_s(self, consumed_bytes: int) -> float | None:
        """Return the earliest arrival time of what follows `consumed_bytes`, None if nothing."""
        return next((first_s for end, _, first_s in self.reads if end > consumed_bytes), None)

    def take_until(self, end_bytes: int) -> float | None:
        """Return the arrival time of the byte before `end_bytes`; forget the reads before its own.

        Return None if that read is already forgotten. Within a read only the time of the first byte
        is a safe estimate, so it is returned for every byte but the last.
        """
        while self.reads and self.reads[0][0] < end_bytes:
            del self.reads[0]
        if not self.reads:
            return None
        read_end_bytes, last_s, first_s = self.reads[0]
        return last_s if read_end_bytes == end_bytes else first_s
