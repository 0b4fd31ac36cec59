"""Share the time of the event loop among clients whose received input waits to be processed.

Pure: no I/O and no clock. Input is processed in quanta. Between two looks at due answers, deadlines
and the sockets, quanta are processed for at most INPUT_PASS_S. Clients that wait are served in
turn, whatever form their input takes.
"""

from collections import deque
from collections.abc import Hashable
from typing import Generic, Protocol, TypeVar

from mothnotch.decisions.held_bytes import HeldBytes

# Maximum input of one client that is processed in one quantum, unless it is copied as it is. A
# quantum also ends with a request, and a request's head is parsed in one.
INPUT_QUANTUM_BYTES = 8192
# Maximum number of quanta of a turn: enough for a body of 64 KiB in chunks of one byte. Many
# clients with such bodies are served one after another; in shorter turns, all would be late.
TURN_QUANTA = 48
# Time for processing clients' input in one pass of the event loop; the last quantum may exceed it.
INPUT_PASS_S = 0.01
# Time for processing all input that was received by the end of a shutdown: it precedes the kill.
FINAL_INPUT_S = 0.05

# Maximum size of one read while clients hold more than they may: most requests are shorter.
SMALL_READ_BYTES = 2048
# A buffer that grows takes up to this multiple of what it holds.
BUFFER_GROWTH = 9 / 8
# A request whose timeout is not known, as its head is unread, waits for no longer: with the time
# until that is checked, no timeout is exceeded by more than half a second.
UNREAD_HEAD_WAIT_S = 0.25
# A client whose data comes this soon after a full read had written it before: the network held it
# back until the root made room for it.
REFILL_S = 0.05


ClientT = TypeVar("ClientT", bound=Hashable)


class InputBudget(HeldBytes[ClientT]):
    """The memory that clients' input takes: what was received, and the texts of open requests.

    Bounds: `max_bytes` for all clients together and `max_client_bytes` for what one client sends
    ahead. Beyond the total, SMALL_READ_BYTES are read at once, and a client that has not sent its
    request whole is asked to try again, the one that holds most first, so that short requests are
    served beside large ones.
    """

    def __init__(self, max_bytes: int, max_client_bytes: int):
        """Start without input."""
        super().__init__(max_bytes)
        self.max_client_bytes = max_client_bytes

    def read_bytes(self, client: ClientT, wanted_bytes: int, unnoted_bytes: int = 0) -> int:
        """Return how much may be read of a client's input now.

        `unnoted_bytes`: input of it that was read and is not noted yet. At least one byte may be
        read, which shows whether its stream has ended.
        """
        most_bytes = self.total_bytes + unnoted_bytes + wanted_bytes
        if most_bytes <= self.max_bytes and most_bytes * BUFFER_GROWTH <= self.max_client_bytes:
            return wanted_bytes
        client_bytes = int(self.max_client_bytes / BUFFER_GROWTH) - self.of(client)
        free_bytes = min(self.free_bytes, client_bytes)
        allowed_bytes = max(SMALL_READ_BYTES, free_bytes) - unnoted_bytes
        return min(wanted_bytes, max(1, allowed_bytes))

    def may_read_ahead(self, client: ClientT) -> bool:
        """Return whether more may be read of a client whose input cannot be processed yet."""
        return not self.is_exceeded and self.of(client) < self.max_client_bytes

    def may_open(self, request_bytes: int) -> bool:
        """Return whether a request may be opened that takes so much until it is answered."""
        return request_bytes <= SMALL_READ_BYTES or not self.is_exceeded


class WaitingClient(Protocol):
    """A client in the queue."""

    # The quanta that it has had in its turn; 0 at the beginning of each request.
    turn_quanta: int


WaitingClientT = TypeVar("WaitingClientT", bound=WaitingClient)


class InputQueue(Generic[WaitingClientT]):
    """The clients whose input waits, in the order in which they get their next quantum.

    Clients at the beginning of a request, and those within one, get quanta alternately, so that
    neither many short requests nor a few long ones keep the others waiting. Those at the beginning
    are served in turn. Among those within a request, a turn lasts until the request is processed or
    TURN_QUANTA are used; a client that had to wait for the rest of its request resumes its turn.
    Bound: each client is queued at most once.
    """

    def __init__(self):
        """Start without clients."""
        self._new = deque()
        self._resumed = deque()
        self._is_new_next = True

    def __len__(self) -> int:
        """Return the number of waiting clients."""
        return len(self._new) + len(self._resumed)

    def add(self, client: WaitingClientT, had_quantum: bool) -> None:
        """Queue a client; `had_quantum`: some of its request's input has been processed."""
        if 0 < client.turn_quanta < TURN_QUANTA:
            self._resumed.appendleft(client)
        elif had_quantum or client.turn_quanta:
            client.turn_quanta = 0
            self._resumed.append(client)
        else:
            self._new.append(client)

    def pop(self) -> WaitingClientT:
        """Remove and return the next client; raise IndexError if none waits."""
        is_new = bool(self._new) and (self._is_new_next or not self._resumed)
        self._is_new_next = not is_new
        if is_new:
            return self._new.popleft()
        client = self._resumed.popleft()
        client.turn_quanta += 1
        return client


class InputTime:
    """The time for clients' input until the event loop has made a pass.

    It is renewed by the caller after a pass, and by itself if no input was processed for as long,
    as the loop has made a pass then.
    """

    def __init__(self):
        """Start with all time left."""
        self._used_s = 0.0
        self._last_end_s = 0.0

    def renew(self) -> None:
        """Note that the event loop has made a pass."""
        self._used_s = 0.0

    def is_left(self, now_s: float) -> bool:
        """Return whether another quantum may be processed."""
        if now_s - self._last_end_s > INPUT_PASS_S:
            self._used_s = 0.0
        return self._used_s < INPUT_PASS_S

    def add(self, start_s: float, end_s: float) -> None:
        """Add a quantum."""
        self._used_s += end_s - start_s
        self._last_end_s = end_s


def was_held_back(since_read_s: float) -> bool:
    """Return whether data that arrived `since_read_s` after a full read had been held back."""
    return since_read_s <= REFILL_S


def unprocessed_deadline_s(first_byte_s: float, timeout_ms: int | None) -> float:
    """Return when a request must be rejected that the root has not processed completely.

    `first_byte_s`: the earliest arrival of the input that waits; the client cannot have written the
    request's last byte before. `timeout_ms`: its timeout; None if unknown, as its head is unread.
    """
    return first_byte_s + (UNREAD_HEAD_WAIT_S if timeout_ms is None else timeout_ms / 1000)
