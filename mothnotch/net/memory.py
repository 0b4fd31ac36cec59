"""A network in memory, for the virtual clock: streams and datagrams between named addresses.

It has the methods of `mothnotch.net.sockets.SocketNetwork`. Bounds: `backlog` connections wait at a
listener, `limit` bytes in each direction of a stream, `limit` datagrams at an address.
"""

import heapq
import itertools
import math
from collections.abc import Callable

import trio

_STREAM_LIMIT_BYTES = 1 << 18
_DATAGRAM_LIMIT = 256
# How long a datagram takes where nothing else is set.
_DATAGRAM_DELAY_S = 0.0005


class MemoryListener:
    """Accepts the connections that are opened to one address."""

    def __init__(self, network: "MemoryNetwork", address: str):
        """Listen at an address of that network; the caller enters it there."""
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
        """Free the address and close what was connected and not accepted."""
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
    """One end of a pair in memory."""

    def __init__(self, limit: int):
        """`limit`: bytes that may wait unread here; then the sender waits."""
        self.limit = limit
        self.buffer = bytearray()
        self.peer = None
        self.closed = False
        # The peer will send no more.
        self.ended = False
        self._changed = trio.Event()

    def send_now(self, data: bytes) -> int:
        """Send what the peer has room for; return how many bytes that was.

        Raise ClosedResourceError or BrokenResourceError if either end is closed.
        """
        if self.closed:
            raise trio.ClosedResourceError("this stream was closed")
        if self.peer.closed:
            raise trio.BrokenResourceError("the peer closed the connection")
        room = max(0, self.limit - len(self.peer.buffer))
        if room:
            self.peer.buffer += data[:room]
            self.peer._wake()
        return min(room, len(data))

    async def send_all(self, data: bytes) -> None:
        """Send all of it, waiting for room; raise as `send_now` does."""
        await trio.lowlevel.checkpoint()
        data = bytes(data)
        while data:
            data = data[self.send_now(data) :]
            if data:
                await self.peer._changed.wait()

    async def wait_send_all_might_not_block(self) -> None:
        """Wait until there is room for a byte, or either end is closed."""
        await trio.lowlevel.checkpoint()
        while not self.closed and not self.peer.closed and len(self.peer.buffer) >= self.limit:
            await self.peer._changed.wait()

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        """Wait for data; return b"" at the end, raise ClosedResourceError if closed here."""
        await trio.lowlevel.checkpoint()
        while (data := self.receive_now(max_bytes)) is None:
            await self._changed.wait()
        return data

    def receive_now(self, max_bytes: int | None = None) -> bytes | None:
        """Return what is there, b"" at the end, None if nothing came yet."""
        if self.closed:
            raise trio.ClosedResourceError("this stream was closed")
        if self.buffer:
            count = len(self.buffer) if max_bytes is None else max_bytes
            data = bytes(self.buffer[:count])
            del self.buffer[:count]
            self._wake()
            return data
        return b"" if self.ended or self.peer.closed else None

    async def send_eof(self) -> None:
        """End the sending direction."""
        await trio.lowlevel.checkpoint()
        self.send_eof_now()

    def send_eof_now(self) -> None:
        """End the sending direction, without a checkpoint."""
        self.peer.ended = True
        self.peer._wake()

    def close(self) -> None:
        """Close this end, without a checkpoint."""
        if not self.closed:
            self.closed = True
            self._wake()
            self.peer._wake()

    async def aclose(self) -> None:
        """Close this end."""
        self.close()
        await trio.lowlevel.checkpoint()

    def _wake(self):
        self._changed.set()
        self._changed = trio.Event()


def memory_pair(limit: int = _STREAM_LIMIT_BYTES) -> tuple[MemoryStream, MemoryStream]:
    """Return both ends of a new stream, each with room for `limit` unread bytes."""
    ours = MemoryStream(limit)
    theirs = MemoryStream(limit)
    ours.peer = theirs
    theirs.peer = ours
    return ours, theirs


class MemoryDatagramSocket:
    """Datagrams at one address: at most `limit` are on their way to it, more are lost."""

    def __init__(self, network: "MemoryNetwork", address: str, limit: int = _DATAGRAM_LIMIT):
        """Receive at an address of that network; the caller enters it there."""
        self.network = network
        self.address = address
        self.limit = limit
        # By time of arrival: (seconds, order of sending, data, sender's address).
        self.heap = []
        self._order = itertools.count()
        self._changed = trio.Event()

    def send(self, target_address: str, data: bytes) -> None:
        """Send as many copies as the network's `datagram_delays_s` says; to nobody, it is lost."""
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

    async def receive(self, most: int) -> tuple[bytes, str]:
        """Wait for a datagram; return its data, `most` bytes at most, and its sender's address."""
        await trio.lowlevel.checkpoint()
        while not self.heap or self.heap[0][0] > trio.current_time():
            self._changed = trio.Event()
            with trio.move_on_at(self.heap[0][0] if self.heap else math.inf):
                await self._changed.wait()
        _, _, data, source_address = heapq.heappop(self.heap)
        return data[:most], source_address

    def close(self) -> None:
        """Free the address."""
        if self.network.datagram_sockets.get(self.address) is self:
            del self.network.datagram_sockets[self.address]


class MemoryNetwork:
    """Streams and datagrams in memory, addresses as names: for the virtual clock.

    Set `datagram_delays_s`, `may_connect` and `unreachable_addresses` to disturb it.
    """

    def __init__(self, started: float = 1_800_000_000.0, backlog: int = 1024):
        """`started`: the wall clock's reading in seconds at trio's 0."""
        self.started = started
        self.backlog = backlog
        self.listeners = {}
        self.datagram_sockets = {}
        # The delays, in seconds, with which copies of a datagram arrive; none: it is lost.
        self.datagram_delays_s = lambda source, target: (_DATAGRAM_DELAY_S,)
        # Whether a stream from a host, where one is named, is connected.
        self.may_connect = lambda host, target: True
        # Addresses whose connects get no answer at all.
        self.unreachable_addresses = set()
        self._next_port = 40000

    def wall_time(self) -> float:
        """Return the wall clock's reading, in seconds."""
        return self.started + trio.current_time()

    async def open(self, address: str, source: str | None = None) -> MemoryStream:
        """Return a connected stream; raise ConnectionRefusedError if nobody accepts it.

        Wait forever for an address that is unreachable, or from `source`.
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
            raise ConnectionRefusedError(f"nobody listens at {address}")
        ours, theirs = memory_pair()
        try:
            listener.send.send_nowait(theirs)
        except trio.WouldBlock:
            raise ConnectionRefusedError(f"too many wait at {address}") from None
        return ours

    async def listen(self, address: str, backlog: int | None = None) -> list[MemoryListener]:
        """Return one listener; port 0 picks a port. Raise OSError if the address is in use."""
        await trio.lowlevel.checkpoint()
        address = self._free_address(address, self.listeners)
        self.listeners[address] = MemoryListener(self, address)
        return [self.listeners[address]]

    async def bind_datagrams(self, address: str) -> MemoryDatagramSocket:
        """Return datagrams at an address; port 0 picks a port. Raise OSError if it is in use."""
        await trio.lowlevel.checkpoint()
        address = self._free_address(address, self.datagram_sockets)
        self.datagram_sockets[address] = MemoryDatagramSocket(self, address)
        return self.datagram_sockets[address]

    def bound_address(self, listener: MemoryListener) -> str:
        """Return the address that a listener really has."""
        return listener.address

    async def run_in_thread(self, function: Callable, *args):
        """Return what the function returns; it runs at once, in no thread."""
        await trio.lowlevel.checkpoint()
        return function(*args)

    def configure_stream(self, stream: MemoryStream) -> None:
        """Do nothing: a stream in memory is ready for `receive`."""

    async def receive(self, stream: MemoryStream, most: int) -> tuple[bytes, float]:
        """Wait for data; return at most `most` bytes, b"" at the end, and the time of the read."""
        return await stream.receive_some(most), trio.current_time()

    def receive_now(self, stream: MemoryStream, most: int) -> bytes | None:
        """Return at most `most` bytes of what is there, b"" at the end, None if nothing is."""
        return stream.receive_now(most)

    def max_unread_age_s(self) -> float:
        """Return 0: nothing lies unread longer than it takes to read it."""
        return 0.0

    def earliest_arrival(self, last_s: float) -> float:
        """Return when the first of some data came whose last came at `last_s`: the same time."""
        return last_s

    def pending_since(self, stream: MemoryStream) -> float:
        """Return now: connections in memory are accepted at once."""
        return trio.current_time()

    def peer_disconnected(self, stream: MemoryStream) -> bool:
        """Return whether the peer ended the connection and nothing of it lies unread."""
        return stream.closed or not stream.buffer and (stream.ended or stream.peer.closed)

    def accept_now(self, listener: MemoryListener) -> MemoryStream | None:
        """Return a connection that waits to be accepted, None if none does."""
        try:
            return listener.receive.receive_nowait()
        except (trio.WouldBlock, trio.EndOfChannel, trio.ClosedResourceError):
            return None

    def send_eof_now(self, stream: MemoryStream) -> None:
        """End the sending direction, at once; what comes is still read."""
        stream.send_eof_now()

    def send_now(self, stream: MemoryStream, data: bytes) -> int:
        """Send what the peer has room for; return how many bytes that was."""
        return stream.send_now(data)

    def is_stale(self, stream: MemoryStream) -> bool:
        """Return whether an idle stream was closed, or holds bytes nobody asked for."""
        return stream.closed or stream.ended or stream.peer.closed or bool(stream.buffer)

    def _free_address(self, address, used):
        """Return the address, with a port of its own for port 0; raise OSError if it is used."""
        host, _, port = address.rpartition(":")
        if port == "0":
            self._next_port += 1
            address = f"{host}:{self._next_port}"
        if address in used:
            raise OSError(f"{address} is in use")
        return address
