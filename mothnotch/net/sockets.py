"""The network of real sockets: streams, listeners and when their data came."""

import contextlib
import errno
import socket
import struct
import time
from collections.abc import Callable

import trio

from mothnotch.net.addresses import AddressError, parse_address
from mothnotch.net.arrival_clock import ArrivalClock
from mothnotch.net.datagrams import DatagramSocket
from mothnotch.net.errors import RETRY_PAUSE_S, TRANSIENT_ERRNOS

# Linux: a control message with the time at which a segment came, two longs. 35 is its number where
# Python doesn't name it.
_TIMESTAMP_OPTION = getattr(socket, "SO_TIMESTAMPNS", 35)
_TIMESTAMP = struct.Struct("@ll")
_ANCILLARY_BYTES = socket.CMSG_SPACE(_TIMESTAMP.size) if hasattr(socket, "CMSG_SPACE") else 0


def close_now(stream) -> None:
    """Close a stream at once, without waiting."""
    (stream.socket if hasattr(stream, "socket") else stream).close()


class Listener(trio.abc.Listener):
    """Accepts one connection after another on a listening socket of trio's.

    A failed accept is raised at once, and never repeated in a tight loop.
    """

    def __init__(self, sock):
        """Take over a listening socket of trio's."""
        self.socket = sock
        # Since when connections may wait: the last end of a wait for one.
        self._waiting_since_s = trio.current_time()

    async def accept(self) -> trio.SocketStream:
        """Wait for a connection; raise ClosedResourceError if closed, OSError if it failed."""
        await trio.lowlevel.checkpoint_if_cancelled()
        while True:
            if self.socket.fileno() < 0:
                raise trio.ClosedResourceError("listener was closed")
            # Before any wait: in a wave of connections each costs one pass, and no wait for the
            # socket to be reported readable.
            stream = self.accept_now()
            if stream is not None:
                await trio.lowlevel.cancel_shielded_checkpoint()
                return stream
            try:
                await trio.lowlevel.wait_readable(self.socket._sock)
            finally:
                self._waiting_since_s = trio.current_time()

    def accept_now(self) -> trio.SocketStream | None:
        """Return a connection that waits to be accepted, None if none does.

        Raise OSError if the accept failed.
        """
        try:
            sock, _ = self.socket._sock.accept()
        except BlockingIOError:
            return None
        sock.setblocking(False)
        stream = trio.SocketStream(trio.socket.from_stdlib_socket(sock))
        stream.pending_since_s = self._waiting_since_s  # read by `pending_since`
        return stream

    async def aclose(self) -> None:
        """Close the socket; a waiting `accept` raises ClosedResourceError."""
        self.socket.close()
        await trio.lowlevel.checkpoint()


class SocketNetwork:
    """Real sockets, real time."""

    def __init__(self, threads: int = 2):
        """`threads`: how many calls of `work` run at once."""
        self._limiter = trio.CapacityLimiter(threads)
        # From the first prepared stream on.
        self._arrival_clock = None

    def wall_time(self) -> float:
        """Return the wall clock's reading, in seconds."""
        return time.time()

    async def open(self, address: str, source: str | None = None):
        """Return a connected stream, from the host `source` if one is named.

        Raise OSError if none can be had, also if the address cannot be used. The caller bounds the
        wait.
        """
        try:
            kind, *rest = parse_address(address)
            if kind == "unix":
                return await trio.open_unix_socket(rest[0])
            return await trio.open_tcp_stream(*rest, local_address=source)
        except ValueError as error:  # also UnicodeError, of a name that cannot be one of a host
            raise OSError(errno.EINVAL, f"address {address!r} cannot be used: {error}") from error

    async def listen(self, address: str, backlog: int = 1024) -> list[Listener]:
        """Return listeners, each with `accept`; port 0 picks one.

        Raise AddressError or OSError if the address cannot be used.
        """
        kind, *rest = parse_address(address)
        if kind == "unix":
            sock = trio.socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
            await sock.bind(rest[0])
            sock.listen(backlog)
            return [Listener(sock)]
        found = await trio.open_tcp_listeners(rest[1], host=rest[0], backlog=backlog)
        for listener in found:
            # Accepted connections inherit it and have it from their first byte on; set on them
            # alone, it came after their first data.
            _set_option(listener.socket, socket.SOL_SOCKET, _TIMESTAMP_OPTION)
        return [Listener(listener.socket) for listener in found]

    async def bind_datagrams(self, address: str) -> DatagramSocket:
        """Return datagrams at an address, host:port, over IPv4; port 0 picks one.

        Raise AddressError or OSError if the address cannot be used.
        """
        kind, *rest = parse_address(address)
        if kind != "tcp":
            raise AddressError(f"address {address!r}: datagrams need HOST:PORT")
        sock = trio.socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            await sock.bind((rest[0], rest[1]))
        except OSError:
            sock.close()
            raise
        return DatagramSocket(sock)

    def bound_address(self, listener: Listener) -> str:
        """Return the address that a listener really has."""
        found = listener.socket.getsockname()
        return f"unix:{found}" if isinstance(found, str) else f"{found[0]}:{found[1]}"

    async def run_in_thread(self, function: Callable, *args):
        """Return what a long computation returns, run in a thread, a few at a time.

        A cancelled caller leaves the thread to itself.
        """
        return await trio.to_thread.run_sync(
            function, *args, limiter=self._limiter, abandon_on_cancel=True
        )

    def configure_stream(self, stream) -> None:
        """Make a stream ready for `receive`: data is stamped, small writes aren't delayed."""
        if self._arrival_clock is None:
            self._arrival_clock = ArrivalClock()
            trio.lowlevel.add_instrument(self._arrival_clock)
        _set_option(stream.socket, socket.IPPROTO_TCP, socket.TCP_NODELAY)
        _set_option(stream.socket, socket.SOL_SOCKET, _TIMESTAMP_OPTION)

    async def receive(self, stream, most: int) -> tuple[bytes, float]:
        """Wait for data; return at most `most` bytes, b"" at the end, and when they came.

        The time is the one on trio's clock, in seconds, at which the kernel had the last of them. A
        root that was busy or throttled reads late; what it believes of its leaves must not include
        that.
        """
        sock = stream.socket._sock
        while True:
            # Always: one read a pass, so that no peer delays the others.
            await trio.lowlevel.wait_readable(sock)
            try:
                data, ancillary, _, _ = sock.recvmsg(most, _ANCILLARY_BYTES)
            except OSError as error:
                if error.errno not in TRANSIENT_ERRNOS:
                    raise
                await trio.sleep(RETRY_PAUSE_S if error.errno != errno.EAGAIN else 0)
                if sock.fileno() < 0:
                    raise trio.ClosedResourceError("this stream was closed") from error
                continue
            now_s = trio.current_time()
            clock = self._arrival_clock
            if clock is not None and ancillary and len(ancillary[0][2]) == _TIMESTAMP.size:
                seconds, nanos = _TIMESTAMP.unpack(ancillary[0][2])
                return data, clock.arrival(seconds + nanos / 1e9, now_s)
            return data, now_s

    def receive_now(self, stream, most: int) -> bytes | None:
        """Return what a socket holds at this instant, `most` bytes at most; b"" at its end.

        Return None if there is nothing, or nothing can be had for a moment.
        """
        try:
            return stream.socket._sock.recv(most)
        except OSError as error:
            if error.errno in TRANSIENT_ERRNOS:
                return None
            raise

    def accept_now(self, listener: Listener) -> trio.SocketStream | None:
        """Return a connection that waits to be accepted, None if none does.

        Raise OSError if the accept failed.
        """
        return listener.accept_now()

    def max_unread_age_s(self) -> float:
        """Return for how many seconds something may have lain unread on a prepared stream."""
        return 0.0 if self._arrival_clock is None else self._arrival_clock.max_unread_age_s()

    def earliest_arrival(self, last_s: float) -> float:
        """Return when the first of some data came at the earliest, whose last came at `last_s`."""
        return (
            last_s if self._arrival_clock is None else self._arrival_clock.earliest_arrival(last_s)
        )

    def pending_since(self, stream: trio.SocketStream) -> float:
        """Return since when an accepted connection may have waited, and data on it with it."""
        return stream.pending_since_s

    def peer_disconnected(self, stream) -> bool:
        """Return whether the peer ended or reset the connection and nothing of it lies unread.

        Seen without waiting.
        """
        try:
            return stream.socket._sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) == b""
        except OSError as error:
            return error.errno not in TRANSIENT_ERRNOS

    def send_eof_now(self, stream) -> None:
        """End the sending direction, at once; what comes is still read."""
        stream.socket.shutdown(socket.SHUT_WR)

    def send_now(self, stream, data: bytes) -> int:
        """Send what the socket takes at once; return how many bytes that was.

        Not while a `send_all` runs: trio has no call that sends without a checkpoint, so this goes
        past trio's lock.
        """
        try:
            return stream.socket._sock.send(data)
        except OSError as error:
            if error.errno in TRANSIENT_ERRNOS:
                return 0
            raise

    def is_stale(self, stream) -> bool:
        """Return whether an idle stream was closed by its peer, or holds bytes nobody asked for.

        Seen without waiting.
        """
        try:
            stream.socket._sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except (BlockingIOError, InterruptedError):
            return False
        except OSError:
            return True
        return True


def _set_option(sock, level, option):
    """Set an option that may be missing: on a Unix socket, or in a kernel without it.

    Without stamps, the time of the read counts.
    """
    with contextlib.suppress(OSError):
        sock.setsockopt(level, option, 1)
