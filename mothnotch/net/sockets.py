"""Network of real sockets: streams, listeners and the arrival times of received data."""

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

# Linux socket option: a control message carries the time at which a segment arrived, as two longs.
# 35 is its number where Python does not define it.
_TIMESTAMP_OPTION = getattr(socket, "SO_TIMESTAMPNS", 35)
_TIMESTAMP = struct.Struct("@ll")
# Linux socket option: of a listening socket, it tells the number of connections that wait.
_TCP_INFO_OPTION = getattr(socket, "TCP_INFO", 11)
_TCP_INFO = struct.Struct("@24xI")
_ANCILLARY_BYTES = socket.CMSG_SPACE(_TIMESTAMP.size) if hasattr(socket, "CMSG_SPACE") else 0


# Connections that are accepted at least in one pass of the event loop, and the time after which a
# longer burst leaves the other tasks their turn. The last of a burst waits for as many passes.
ACCEPTS_PER_PASS = 4
ACCEPT_PASS_S = 0.005


def close_now(stream) -> None:
    """Close a stream at once, without waiting."""
    (stream.socket if hasattr(stream, "socket") else stream).close()


class Listener(trio.abc.Listener):
    """Accepts connections on a listening trio socket.

    A failed accept raises at once; it is never retried in a tight loop.
    """

    def __init__(self, sock):
        """Take ownership of a listening trio socket."""
        self.socket = sock
        self._accepted_count = 0
        # Earliest time from which a connection may be pending: the end of the last wait for one.
        self._pending_since_s = trio.current_time()
        self._pass_began_s = self._pending_since_s

    async def accept(self) -> trio.SocketStream:
        """Wait for a connection; raise ClosedResourceError if closed, OSError on failure."""
        await trio.lowlevel.checkpoint_if_cancelled()
        while True:
            if self.socket.fileno() < 0:
                raise trio.ClosedResourceError("listener was closed")
            # Accept before waiting: in a burst of connections, each costs one scheduler pass
            # instead of an additional wait until the socket is reported readable.
            stream = self.accept_now()
            if stream is not None:
                self._accepted_count += 1
                if self._accepted_count % ACCEPTS_PER_PASS == 0 and self._is_pass_over():
                    await trio.lowlevel.cancel_shielded_checkpoint()
                    self._pass_began_s = trio.current_time()
                return stream
            try:
                await trio.lowlevel.wait_readable(self.socket._sock)
            finally:
                self._pending_since_s = trio.current_time()
                self._pass_began_s = self._pending_since_s

    def _is_pass_over(self):
        return trio.current_time() - self._pass_began_s >= ACCEPT_PASS_S

    def accept_now(self) -> trio.SocketStream | None:
        """Return a pending connection, None if there is none.

        Raise OSError if the accept failed.
        """
        try:
            sock, _ = self.socket._sock.accept()
        except BlockingIOError:
            return None
        sock.setblocking(False)
        stream = trio.SocketStream(trio.socket.from_stdlib_socket(sock))
        stream.pending_since_s = self._pending_since_s  # returned by `pending_since`
        return stream

    async def aclose(self) -> None:
        """Close the socket; a blocked `accept` raises ClosedResourceError."""
        self.socket.close()
        await trio.lowlevel.checkpoint()


class SocketNetwork:
    """Real sockets, real time."""

    def __init__(self, threads: int = 2):
        """`threads`: maximum number of concurrent `run_in_thread` calls."""
        self._limiter = trio.CapacityLimiter(threads)
        # Created with the first configured stream.
        self._arrival_clock = None
        self._on_held_up = None
        # Receives what is discarded; no task waits between writing it and dropping it.
        self._discard_buffer = bytearray()

    def report_hold_ups(self, on_held_up: Callable[[float], None]) -> None:
        """Call `on_held_up(duration_s)` whenever the event loop did not poll the sockets for long.

        Hold-ups are detected once a stream is configured.
        """
        self._on_held_up = on_held_up

    def wall_time(self) -> float:
        """Return the wall-clock time, in seconds."""
        return time.time()

    async def open(self, address: str, source: str | None = None):
        """Return a connected stream, bound to the local address `source` if given.

        Raise OSError if the connect fails or the address is invalid. The caller sets the timeout.
        """
        try:
            kind, *rest = parse_address(address)
            if kind == "unix":
                return await trio.open_unix_socket(rest[0])
            return await trio.open_tcp_stream(*rest, local_address=source)
        except ValueError as error:  # includes UnicodeError for an invalid host name
            raise OSError(errno.EINVAL, f"address {address!r} cannot be used: {error}") from error

    async def listen(self, address: str, backlog: int = 1024) -> list[Listener]:
        """Return the listeners of an address; port 0 selects a free port.

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
            # Accepted connections inherit the option, so it covers their first bytes. If it were
            # set after the accept, their first data could already have arrived.
            _set_option(listener.socket, socket.SOL_SOCKET, _TIMESTAMP_OPTION)
        return [Listener(listener.socket) for listener in found]

    async def bind_datagrams(self, address: str) -> DatagramSocket:
        """Return a UDP socket over IPv4 at host:port; port 0 selects a free port.

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
        """Return the address that a listener is bound to."""
        found = listener.socket.getsockname()
        return f"unix:{found}" if isinstance(found, str) else f"{found[0]}:{found[1]}"

    async def run_in_thread(self, function: Callable, *args):
        """Run a long computation in a worker thread and return its result.

        If the caller is cancelled, the thread runs on and its result is dropped.
        """
        return await trio.to_thread.run_sync(
            function, *args, limiter=self._limiter, abandon_on_cancel=True
        )

    def configure_stream(self, stream) -> None:
        """Enable receive timestamps on a stream and disable Nagle's algorithm."""
        if self._arrival_clock is None:
            self._arrival_clock = ArrivalClock(self._on_held_up)
            trio.lowlevel.add_instrument(self._arrival_clock)
        _set_option(stream.socket, socket.IPPROTO_TCP, socket.TCP_NODELAY)
        _set_option(stream.socket, socket.SOL_SOCKET, _TIMESTAMP_OPTION)

    async def receive(self, stream, read_bytes: Callable[[], int]) -> tuple[bytes, float]:
        """Wait for data; return at most `read_bytes()`, b"" at EOF, and their arrival time.

        The size is asked for once there is data: what may be read depends on what others have read
        meanwhile. The time is when the kernel received the last of them, in seconds on trio's
        clock. A busy or throttled root reads late; that must not count as latency of its leaves.
        """
        sock = stream.socket._sock
        while True:
            # Always wait: one read per scheduler pass, so that no peer delays the others.
            await trio.lowlevel.wait_readable(sock)
            try:
                return self._receive_dated(sock, read_bytes())
            except OSError as error:
                if error.errno not in TRANSIENT_ERRNOS:
                    raise
                await trio.sleep(RETRY_PAUSE_S if error.errno != errno.EAGAIN else 0)
                if sock.fileno() < 0:
                    raise trio.ClosedResourceError("this stream was closed") from error

    def _receive_dated(self, sock, max_bytes):
        """Read, and return the data with the time at which the kernel received the last of them."""
        data, ancillary, _, _ = sock.recvmsg(max_bytes, _ANCILLARY_BYTES)
        now_s = trio.current_time()
        clock = self._arrival_clock
        if clock is not None and ancillary and len(ancillary[0][2]) == _TIMESTAMP.size:
            seconds, nanos = _TIMESTAMP.unpack(ancillary[0][2])
            return data, clock.arrival(seconds + nanos / 1e9, now_s)
        return data, now_s

    def receive_now(self, stream, max_bytes: int) -> tuple[bytes, float] | None:
        """Return at most `max_bytes` of the data available now, b"" at EOF, and their arrival time.

        Return None if there is none, or after a transient error.
        """
        try:
            return self._receive_dated(stream.socket._sock, max_bytes)
        except OSError as error:
            if error.errno in TRANSIENT_ERRNOS:
                return None
            raise

    async def discard(self, stream, max_bytes: int) -> int:
        """Wait for data; read at most `max_bytes`, keep none, and return their number, 0 at EOF."""
        sock = stream.socket._sock
        while True:
            await trio.lowlevel.wait_readable(sock)
            if len(self._discard_buffer) < max_bytes:
                self._discard_buffer = bytearray(max_bytes)
            try:
                return sock.recv_into(self._discard_buffer, max_bytes)
            except OSError as error:
                if error.errno not in TRANSIENT_ERRNOS:
                    raise
                await trio.sleep(RETRY_PAUSE_S)
                if sock.fileno() < 0:
                    raise trio.ClosedResourceError("this stream was closed") from error

    def has_unread(self, stream) -> bool:
        """Return, without waiting, whether more data can be read; an end or error is none."""
        try:
            return bool(stream.socket._sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
        except OSError:
            return False

    def accept_now(self, listener: Listener) -> trio.SocketStream | None:
        """Return a pending connection, None if there is none.

        Raise OSError if the accept failed.
        """
        return listener.accept_now()

    def pending_connections(self, listener: Listener) -> int:
        """Return how many connections wait to be accepted; 0 where the system does not tell."""
        try:
            info = listener.socket.getsockopt(socket.IPPROTO_TCP, _TCP_INFO_OPTION, _TCP_INFO.size)
            return _TCP_INFO.unpack(info)[0]
        except (OSError, struct.error):
            return 0

    def max_unread_age_s(self) -> float:
        """Return for how many seconds, at most, data on a configured stream may be unread."""
        return 0.0 if self._arrival_clock is None else self._arrival_clock.max_unread_age_s()

    def earliest_arrival(self, last_s: float) -> float:
        """Return the earliest arrival time of data whose last byte arrived at `last_s`."""
        return (
            last_s if self._arrival_clock is None else self._arrival_clock.earliest_arrival(last_s)
        )

    def pending_since(self, stream: trio.SocketStream) -> float:
        """Return the earliest time at which an accepted connection may have become pending.

        Data that is read from it first may have been waiting since then, too.
        """
        return stream.pending_since_s

    def peer_disconnected(self, stream) -> bool:
        """Return, without waiting, whether the peer closed or reset the connection.

        Unread data must be read first: until then this returns False for a closed connection.
        """
        try:
            return stream.socket._sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) == b""
        except OSError as error:
            return error.errno not in TRANSIENT_ERRNOS

    def send_eof_now(self, stream) -> None:
        """Close the sending direction at once; the stream can still receive."""
        stream.socket.shutdown(socket.SHUT_WR)

    def send_now(self, stream, data: bytes) -> int:
        """Send as much as the socket accepts at once; return the number of bytes.

        Must not be called during a `send_all`: trio has no send without a checkpoint, so this
        bypasses trio's lock.
        """
        try:
            return stream.socket._sock.send(data)
        except OSError as error:
            if error.errno in TRANSIENT_ERRNOS:
                return 0
            raise

    def is_stale(self, stream) -> bool:
        """Return, without waiting, whether an idle stream is unusable.

        It is if the peer closed it or sent unsolicited data.
        """
        try:
            stream.socket._sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except (BlockingIOError, InterruptedError):
            return False
        except OSError:
            return True
        return True


def _set_option(sock, level, option):
    """Set an option; ignore that it is unsupported, as on a Unix socket or by an older kernel.

    Without kernel timestamps, the time of the read is used.
    """
    with contextlib.suppress(OSError):
        sock.setsockopt(level, option, 1)
