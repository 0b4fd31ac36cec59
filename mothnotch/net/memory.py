"""In-memory network for runs on a virtual clock: streams and datagrams between named addresses.

It has the methods of `mothnotch.net.sockets.SocketNetwork`. Limits: `backlog` pending connections
per listener, `limit` unread bytes per direction of a stream, and `limit` datagrams in transit to an
address.
"""

import heapq
import itertools
import math
from collections.abc import Callable

import trio

_STREAM_LIMIT_BYTES = 1 << 18
_DATAGRAM_LIMIT = 256
# Default delay of a datagram.
_DATAGRAM_DELAY_S = 0.0005


class MemoryListener:
    """Accepts the connections to one address."""

    def __init__(self, network: "MemoryNetwork", address: str):
        """Create a listener; the caller registers it in the network's `listeners`."""
        self.network = network
        self.address = address
        self.send, self.receive = trio.open_memory_channel(network.backlog)

    async def accept(self) -> "MemoryStream":
        """Wait for a connection; raise ClosedResourceError if the listener is closed."""
        try:
            return await self.receive.receive()
        except (trio.EndOfChannel, trio.ClosedResourceError):
            raise trio.ClosedResourceError("listener was closed") from None

    async def aclose(self) -> None:
        """Release the address and close the connections that were not accepted."""
        if self.network.listeners.get(self.address) is self:
            del self.network.listeners[self.address]
        self.send.close()
        while True:
            try:
                stream = self.receive.receive_nowait()
            except (trio.WouldBlock, trio.EndOfChannel, trio.ClosedResourceError):
                break
            stream.close()
        self.receive.close()
        await trio.lowlevel.checkpoint()


class MemoryStream(trio.abc.HalfCloseableStream):
    """One end of an in-memory stream pair."""

    def __init__(self, limit: int):
        """Create an end that buffers at most `limit` unread bytes; then the sender waits."""
        self.limit = limit
        self.buffer = bytearray()
        self.peer = None
        self.closed = False
        # Whether the peer has closed its sending direction.
        self.eof_received = False
        self._changed = trio.Event()

    def send_now(self, data: bytes) -> int:
        """Send as much as the peer has room for; return the number of bytes.

        Raise ClosedResourceError or BrokenResourceError if either end is closed.
        """
        if self.closed:
            raise trio.ClosedResourceError("this stream was closed")
        if self.peer.closed:
            raise trio.BrokenResourceError("the peer closed the connection")
        room = max(0, self.limit - len(self.peer.buffer))
        if room:
            self.peer.buffer += data[:room]
            self.peer._notify()
        return min(room, len(data))

    async def send_all(self, data: bytes) -> None:
        """Send all data, waiting for room; raise the same exceptions as `send_now`."""
        await trio.lowlevel.checkpoint()
        data = bytes(data)
        while data:
            data = data[self.send_now(data) :]
            if data:
                await self.peer._changed.wait()

    async def wait_send_all_might_not_block(self) -> None:
        """Wait until the peer has room for a byte, or either end is closed."""
        await trio.lowlevel.checkpoint()
        while not self.closed and not self.peer.closed and len(self.peer.buffer) >= self.limit:
            await self.peer._changed.wait()

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        """Wait for data; return b"" at EOF; raise ClosedResourceError if this end is closed."""
        return await self.receive_sized(lambda: max_bytes)

    async def receive_sized(self, read_bytes: Callable[[], int | None]) -> bytes:
        """Wait as `receive_some` does; the maximum size is asked for at each look at the data."""
        await trio.lowlevel.checkpoint()
        while (data := self.receive_now(read_bytes())) is None:
            await self._changed.wait()
        return data

    def receive_now(self, max_bytes: int | None = None) -> bytes | None:
        """Return the buffered data, b"" at EOF, None if there is none yet."""
        if self.closed:
            raise trio.ClosedResourceError("this stream was closed")
        if self.buffer:
            count = len(self.buffer) if max_bytes is None else max_bytes
            data = bytes(self.buffer[:count])
            del self.buffer[:count]
            self._notify()
            return data
        return b"" if self.eof_received or self.peer.closed else None

    async def send_eof(self) -> None:
        """Close the sending direction."""
        await trio.lowlevel.checkpoint()
        self.send_eof_now()

    def send_eof_now(self) -> None:
        """Close the sending direction, without a checkpoint."""
        self.peer.eof_received = True
        self.peer._notify()

    def close(self) -> None:
        """Close this end, without a checkpoint."""
        if not self.closed:
            self.closed = True
            self._notify()
            self.peer._notify()

    async def aclose(self) -> None:
        """Close this end."""
        self.close()
        await trio.lowlevel.checkpoint()

    def _notify(self):
        self._changed.set()
        self._changed = trio.Event()


def memory_pair(limit: int = _STREAM_LIMIT_BYTES) -> tuple[MemoryStream, MemoryStream]:
    """Return both ends of a new stream, each buffering at most `limit` unread bytes."""
    ours = MemoryStream(limit)
    theirs = MemoryStream(limit)
    ours.peer = theirs
    theirs.peer = ours
    return ours, theirs


class MemoryDatagramSocket:
    """A datagram socket; datagrams beyond `limit` in transit to its address are lost."""

    def __init__(self, network: "MemoryNetwork", address: str, limit: int = _DATAGRAM_LIMIT):
        """Create a socket; the caller registers it in the network's `datagram_sockets`."""
        self.network = network
        self.address = address
        self.limit = limit
        # Ordered by arrival: (arrival time in seconds, order of sending, data, sender's address).
        self.heap = []
        self._order = itertools.count()
        self._changed = trio.Event()

    def send(self, target_address: str, data: bytes) -> None:
        """Send one copy per delay in the network's `datagram_delays_s`; lost without a receiver."""
        target = self.network.datagram_sockets.get(target_address)
        for delay_s in (
            self.network.datagram_delays_s(self.address, target_address)
            if target is not None
            else ()
        ):
            if len(target.heap) < target.limit:
                arrives_s = trio.current_time() + delay_s
                heapq.heappush(target.heap, (arrives_s, next(target._order), data, self.address))
                target._changed.set()

    async def receive(self, max_bytes: int) -> tuple[bytes, str]:
        """Wait for a datagram; return at most `max_bytes` of its data and the sender's address."""
        await trio.lowlevel.checkpoint()
        while not self.heap or self.heap[0][0] > trio.current_time():
            self._changed = trio.Event()
            with trio.move_on_at(self.heap[0][0] if self.heap else math.inf):
                await self._changed.wait()
        _, _, data, source_address = heapq.heappop(self.heap)
        return data[:max_bytes], source_address

    def close(self) -> None:
        """Release the address."""
        if self.network.datagram_sockets.get(self.address) is self:
            del self.network.datagram_sockets[self.address]


class MemoryNetwork:
    """Streams and datagrams in memory; an address is only a name, which is not resolved.

    Set `datagram_delays_s`, `may_connect` and `unreachable_addresses` to simulate network faults.
    """

    def __init__(self, start_wall_s: float = 1_800_000_000.0, backlog: int = 1024):
        """`start_wall_s`: the wall-clock time, in seconds, at time 0 of trio's clock."""
        self._start_wall_s = start_wall_s
        self.backlog = backlog
        self.listeners = {}
        self.datagram_sockets = {}
        # Returns the delay, in seconds, of each copy of a datagram; without any, it is lost.
        self.datagram_delays_s = lambda source, target: (_DATAGRAM_DELAY_S,)
        # Returns whether a connection from `host` succeeds; applies where a source host is given.
        self.may_connect = lambda host, target: True
        # Addresses at which connects are never answered.
        self.unreachable_addresses = set()
        self._next_port = 40000

    def wall_time(self) -> float:
        """Return the wall-clock time, in seconds."""
        return self._start_wall_s + trio.current_time()

    async def open(self, address: str, source: str | None = None) -> MemoryStream:
        """Return a connected stream.

        Raise ConnectionRefusedError if there is no listener or its backlog is full. Wait forever if
        the address is unreachable, or cannot be reached from `source`.
        """
        await trio.lowlevel.checkpoint()
        if (
            address in self.unreachable_addresses
            or source is not None
            and not self.may_connect(source, address)
        ):
            await trio.sleep_forever()
        listener = self.listeners.get(address)
        if listener is None:
            raise ConnectionRefusedError(f"no listener at {address}")
        ours, theirs = memory_pair()
        try:
            listener.send.send_nowait(theirs)
        except trio.WouldBlock:
            raise ConnectionRefusedError(f"listener backlog is full at {address}") from None
        return ours

    async def listen(self, address: str, backlog: int | None = None) -> list[MemoryListener]:
        """Return one listener; port 0 selects a port. Raise OSError if the address is in use."""
        await trio.lowlevel.checkpoint()
        address = self._free_address(address, self.listeners)
        self.listeners[address] = MemoryListener(self, address)
        return [self.listeners[address]]

    async def bind_datagrams(self, address: str) -> MemoryDatagramSocket:
        """Return a datagram socket; port 0 selects a port. Raise OSError if it is in use."""
        await trio.lowlevel.checkpoint()
        address = self._free_address(address, self.datagram_sockets)
        self.datagram_sockets[address] = MemoryDatagramSocket(self, address)
        return self.datagram_sockets[address]

    def bound_address(self, listener: MemoryListener) -> str:
        """Return the address that a listener is bound to."""
        return listener.address

    async def run_in_thread(self, function: Callable, *args):
        """Return the function's result; it runs at once, without a thread."""
        await trio.lowlevel.checkpoint()
        return function(*args)

    def report_hold_ups(self, on_held_up: Callable[[float], None]) -> None:
        """Do nothing: on a virtual clock the event loop is not held up."""

    def configure_stream(self, stream: MemoryStream) -> None:
        """Do nothing: an in-memory stream needs no options."""

    async def receive(
        self, stream: MemoryStream, read_bytes: Callable[[], int]
    ) -> tuple[bytes, float]:
        """Wait for data; return at most `read_bytes()`, b"" at EOF, and the time of the read."""
        return await stream.receive_sized(read_bytes), trio.current_time()

    def receive_now(self, stream: MemoryStream, max_bytes: int) -> tuple[bytes, float] | None:
        """Return at most `max_bytes` of buffered data, b"" at EOF, and the time of the read.

        Return None if there is none.
        """
        data = stream.receive_now(max_bytes)
        return None if data is None else (data, trio.current_time())

    async def discard(self, stream: MemoryStream, max_bytes: int) -> int:
        """Wait for data; drop at most `max_bytes` and return their number, 0 at EOF."""
        return len(await stream.receive_some(max_bytes))

    def pending_connections(self, listener: MemoryListener) -> int:
        """Return how many connections wait to be accepted."""
        return listener.receive.statistics().current_buffer_used

    def max_unread_age_s(self) -> float:
        """Return 0: the arrival time of in-memory data is the time of the read."""
        return 0.0

    def earliest_arrival(self, last_s: float) -> float:
        """Return `last_s`: the first byte of received data arrived with the last."""
        return last_s

    def pending_since(self, stream: MemoryStream) -> float:
        """Return the current time: in-memory connections are accepted at once."""
        return trio.current_time()

    def peer_disconnected(self, stream: MemoryStream) -> bool:
        """Return whether the peer closed the connection and no received data is unread."""
        return stream.closed or not stream.buffer and (stream.eof_received or stream.peer.closed)

    def has_unread(self, stream: MemoryStream) -> bool:
        """Return whether more data can be read."""
        return bool(stream.buffer)

    def accept_now(self, listener: MemoryListener) -> MemoryStream | None:
        """Return a pending connection, None if there is none."""
        try:
            return listener.receive.receive_nowait()
        except (trio.WouldBlock, trio.EndOfChannel, trio.ClosedResourceError):
            return None

    def send_eof_now(self, stream: MemoryStream) -> None:
        """Close the sending direction at once; the stream can still receive."""
        stream.send_eof_now()

    def send_now(self, stream: MemoryStream, data: bytes) -> int:
        """Send as much as the peer has room for; return the number of bytes."""
        return stream.send_now(data)

    def is_stale(self, stream: MemoryStream) -> bool:
        """Return whether an idle stream is unusable: closed, or with unsolicited data."""
        return stream.closed or stream.eof_received or stream.peer.closed or bool(stream.buffer)

    def _free_address(self, address, used):
        """Return the address, with a new port for port 0; raise OSError if it is in use."""
        host, _, port = address.rpartition(":")
        if port == "0":
            self._next_port += 1
            address = f"{host}:{self._next_port}"
        if address in used:
            raise OSError(f"{address} is in use")
        return address
