"""Non-blocking writes to a stream: a task sends what the socket does not accept at once.

`BufferedWriter` is the base class of all kinds of connections, which override its hooks. The caller
limits the unsent data: to one answer, or to the calls that a connection carries.
"""

import trio

from mothnotch.net.errors import CONNECTION_LOST_ERRORS, RETRY_PAUSE_S


class BufferedWriter:
    """The sending direction of a connection.

    `unsent`: bytes that the socket has not accepted yet; `sending`: whether a task is waiting to
    send them, even if they have been revoked since; `is_closed`: whether the connection is closed.
    """

    __slots__ = ("network", "nursery", "stream", "unsent", "sending", "is_closed")

    def __init__(self, network, nursery: trio.Nursery, stream):
        """Write to a stream of `network`; tasks that send buffered data run in `nursery`."""
        self.network = network
        self.nursery = nursery
        self.stream = stream
        self.unsent = bytearray()
        self.sending = False
        self.is_closed = False

    def send(self, data: bytes) -> None:
        """Send as much as the socket accepts at once; a task sends the rest, if any."""
        if self.sending:
            self.unsent += data
            return
        at_s = trio.current_time()
        try:
            written = self.network.send_now(self.stream, data)
        except CONNECTION_LOST_ERRORS:
            self.on_connection_lost()
            return
        self.on_bytes_written(written, at_s)
        if written < len(data):
            self.unsent += data[written:]
            self.sending = True
            self.nursery.start_soon(self._send_unsent)

    async def _send_unsent(self):
        """Send the buffered data until none is left or it is revoked."""
        try:
            while self.unsent and not self.is_closed:
                await self.stream.wait_send_all_might_not_block()
                if self.is_closed or self.revoke_unsent():
                    self.sending = False
                    return
                at_s = trio.current_time()
                written = self.network.send_now(self.stream, bytes(self.unsent))
                del self.unsent[:written]
                self.on_bytes_written(written, at_s)
                if not written and self.unsent:
                    # The socket is writable and yet accepts nothing: memory is short for a moment.
                    await trio.sleep(RETRY_PAUSE_S)
        except CONNECTION_LOST_ERRORS:
            self.on_connection_lost()
        self.sending = False
        if not self.is_closed:
            self.on_write_drained()

    # ---- hooks for subclasses ----

    def on_bytes_written(self, count: int, at_s: float) -> None:
        """Handle that the socket accepted `count` more bytes.

        `at_s`: the time just before the send, from which the peer may have received them, even if
        this call is delayed.
        """

    def revoke_unsent(self) -> bool:
        """Return whether the buffered bytes must not be sent, and were handled otherwise.

        Called before each send of buffered bytes.
        """
        return False

    def on_write_drained(self) -> None:
        """Handle that all buffered bytes have been sent."""

    def on_connection_lost(self) -> None:
        """Handle the loss of the connection; must be overridden."""
        raise NotImplementedError
