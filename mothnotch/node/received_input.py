"""The input of a client that was received: its requests, and when each was written."""

import math

import trio

from mothnotch.decisions.client_input import was_held_back
from mothnotch.node import requests
from mothnotch.node.arrival_times import ArrivalTimes
from mothnotch.node.request_reader import MAX_HEAD_BYTES, RequestReader

# Maximum size of one read.
READ_BYTES = 1 << 15


class ReceivedInput:
    """What was received of a client and is not consumed yet, with its times of arrival.

    `reader`: splits it into requests. `last_read_s`: time of the last read. `written_since_s`: the
    earliest time at which the last read data may have been written. `had_full_read`: a read was
    full, so that the rest may be held back by the network.
    """

    __slots__ = (
        "reader",
        "last_read_s",
        "written_since_s",
        "had_full_read",
        "_network",
        "_arrivals",
        "_waited_since_s",
    )

    def __init__(self, network, pending_since_s: float):
        """`pending_since_s`: the first bytes may be as old as this, as the connection is."""
        self.reader = RequestReader()
        self.last_read_s = trio.current_time()
        self.written_since_s = self.last_read_s
        self.had_full_read = False
        self._network = network
        self._arrivals = ArrivalTimes()
        self._waited_since_s = pending_since_s

    @property
    def size_bytes(self) -> int:
        """Return how much is not consumed."""
        return len(self.reader.received)

    @property
    def memory_bytes(self) -> int:
        """Return the memory that it takes."""
        if not self.reader.received:
            return 0
        return self.reader.received.__alloc__() + self._arrivals.memory_bytes

    @property
    def may_be_held_back(self) -> bool:
        """Return whether the network may hold back data that the client has written already."""
        return self.had_full_read and was_held_back(trio.current_time() - self.last_read_s)

    @property
    def oldest_s(self) -> float:
        """Return the earliest time at which what is not consumed may have been written."""
        oldest_s = self._arrivals.oldest_s(self._arrivals.total_bytes - self.size_bytes)
        return self.written_since_s if oldest_s is None else oldest_s

    def unread_timeout_ms(self) -> int | None:
        """Return the shortest timeout that requests state whose heads are not read yet; None if the
        next head states none.
        """
        return min(requests.stated_timeouts_ms(self.reader.received[:MAX_HEAD_BYTES]), default=None)

    def add(self, data: bytes, at_s: float) -> None:
        """Add a read, and record its arrival time.

        Data behind a full read may be as old as that: the client may have written it already, but
        the network held it back until the root made room for it.
        """
        if not self.reader.received:
            self._arrivals.clear()
        first_s = min(self._network.earliest_arrival(at_s), self._waited_since_s)
        self._waited_since_s = math.inf
        if self.had_full_read and was_held_back(at_s - self.last_read_s):
            first_s = self.written_since_s
            at_s = first_s
        self.written_since_s = first_s
        self.last_read_s = trio.current_time()
        self.had_full_read = self.had_full_read or len(data) >= READ_BYTES
        self._arrivals.add(len(data), at_s, first_s)
        self.reader.received += data

    def end_request(self, is_all_read: bool) -> float | None:
        """Return when the request that was just read arrived, None if that is not known.

        `is_all_read`: nothing that the client has written since is unread.
        """
        if is_all_read or not self.reader.received:
            self.had_full_read = False
        return self._arrivals.take_until(self._arrivals.total_bytes - self.size_bytes)

    def drop(self) -> None:
        """Drop what was received, as no request of it will be processed."""
        self.reader.received.clear()
        self._arrivals.clear()
