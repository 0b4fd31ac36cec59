"""Datagrams over UDP sockets."""

import contextlib

import trio

from mothnotch.net.addresses import parse_address
from mothnotch.net.errors import RETRY_PAUSE_S


class DatagramSocket:
    """A UDP socket over IPv4."""

    def __init__(self, sock):
        """Take ownership of a bound trio UDP socket."""
        self._socket = sock

    @property
    def address(self) -> str:
        """The address that the socket is bound to, as host:port."""
        host, port = self._socket.getsockname()[:2]
        return f"{host}:{port}"

    async def receive(self, max_bytes: int) -> tuple[bytes, str]:
        """Wait for a datagram; return at most `max_bytes` of its data and the sender's address."""
        while True:
            try:
                data, (host, port, *_) = await self._socket.recvfrom(max_bytes)
                return data, f"{host}:{port}"
            except OSError:
                # The error may belong to an earlier send, to an address without a listener or
                # without a route, or memory is short. The socket can still receive.
                await trio.sleep(RETRY_PAUSE_S)

    def send(self, address: str, data: bytes) -> None:
        """Send without waiting; the datagram is lost if that fails or the address is invalid."""
        with contextlib.suppress(OSError, ValueError):
            _, host, port = parse_address(address)
            self._socket._sock.sendto(data, (host, port))

    def close(self) -> None:
        """Close the socket."""
        self._socket.close()
