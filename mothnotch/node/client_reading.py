"""What is read of a client, and when: as much as can be processed or buffered.

Behind an open request, all that has come is read up to a bound, as the end of the stream, by which
a client leaves, may follow it. While there is no room for it, nothing begins for the client.
"""

import trio

from mothnotch.net import CONNECTION_LOST_ERRORS
from mothnotch.node.closing import ClientCloseReason
from mothnotch.node.received_input import READ_BYTES, ReceivedInput


class ClientReading:
    """Reads a client's connection into its `input`.

    `is_all_read`: all that the client has sent was read when the current step began.
    """

    __slots__ = ("input", "is_all_read", "_client", "_budget", "_resumed")

    def __init__(self, client, budget):
        """`client`: the ClientConnection; `budget`: bounds the memory for all clients' input."""
        self.input = ReceivedInput(client.network, client.network.pending_since(client.stream))
        self.is_all_read = False
        self._client = client
        self._budget = budget
        self._resumed = None  # exists while a task waits

    @property
    def is_allowed(self) -> bool:
        """Return whether more may be read: it can be processed, or there is room to buffer it. A
        closed connection has nothing to wait for.
        """
        client = self._client
        if client is None:
            return True
        if client.is_queued:
            return False
        can_process = client.query is None and not client.unsent
        return can_process or self._budget.may_read_ahead(client)

    async def wait_until_allowed(self):
        """Wait until more may be read, or the connection has ended."""
        while not self.is_allowed:
            self._resumed = trio.Event()
            await self._resumed.wait()
        self._resumed = None

    def release(self):
        """End with the connection. Breaking the reference cycle frees both at once, so that many
        short connections do not fill the memory until the garbage collector runs.
        """
        self._client = None
        self.resume()

    def resume(self):
        """Wake the task that waits until more may be read."""
        if self._resumed is not None:
            self._resumed.set()

    def next_read_bytes(self) -> int:
        """Return how much is read of data that has come."""
        return self._budget.read_bytes(self._client, READ_BYTES)

    def note_held_bytes(self):
        """Account for the memory that the client's input takes."""
        if self._client is not None:
            self._budget.set(self._client, self._client.held_bytes)

    def buffer(self, data: bytes, at_s: float):
        """Buffer data that cannot be processed yet, as an answer is open or unsent."""
        client = self._client
        client.pipelined_bytes += len(data)
        client.handler.shorten_deadline(client, data, at_s)
        self.input.add(data, at_s)
        self.note_held_bytes()

    def read_ahead(self):
        """Read what has arrived behind an open request, to see whether its client has left. If
        there is no room for all of it, that cannot be seen any more.
        """
        client = self._client
        while self.is_allowed and not client.is_closed:
            found = self._receive_now()
            if not found:
                return
            self.buffer(*found)
        if client.query is not None:
            client.context.core.lose_sight_of_client(client.query)

    def sees_all(self) -> bool:
        """Read what has arrived, and return whether that is all, and the client has not left."""
        client = self._client
        while not self.is_all_read and not client.is_closed:
            has_room = self._budget.may_read_ahead(client)
            if not has_room and client.network.has_unread(client.stream):
                return False
            found = self._receive_now()
            if found:
                self.input.add(*found)
                self.note_held_bytes()
        return not client.is_closed

    def receive_rest(self) -> bool:
        """Read more of a request without waiting, so that the connection keeps its turn; return
        whether there was any.
        """
        found = self._receive_now()
        if not found:
            return False
        # When it arrived is not known: since the last read.
        self.input.add(found[0], self.input.last_read_s)
        return True

    def has_more(self) -> bool:
        """Return whether data beyond the current request was received, reading if necessary. The
        end of the stream closes nothing, as an answer is about to be sent.
        """
        if self.input.size_bytes:
            return True
        found = self._receive()
        if not found or not found[0]:
            return False
        self.buffer(*found)
        return True

    def _receive(self):
        """Return data that has arrived, with its time, b"" at the end; None if there is none."""
        try:
            return self._client.network.receive_now(self._client.stream, self.next_read_bytes())
        except CONNECTION_LOST_ERRORS:
            return b"", 0.0

    def _receive_now(self):
        """Return data that has arrived, with its time; None if there is none. The end of the
        stream closes the connection.
        """
        found = self._receive()
        self.is_all_read = found is None
        if found is None or found[0]:
            return found
        self._client.connections.close(self._client, ClientCloseReason.LEFT)
        return None
