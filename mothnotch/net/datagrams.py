"""Datagrams over a UDP socket."""

import contextlib

import trio

from mothnotch.net.addresses import parse_address
from mothnotch.net.errors import RETRY_PAUSE_S


class DatagramSocket:
    """A UDP socket over IPv4."""

    def __init__(self, sock):
        """Take over a bound UDP socket of trio's."""
        self._socket = sock

    @property
    def address(self) -> str:
        """The address it is bound to, as host:port."""
        host, port = self._socket.getsockname()[:2]
        return f"{host}:{port}"

    async def receive(self, most: int) -> tuple[bytes, str]:
        """Wait for a datagram; return its data, `most` bytes at most, and its sender's address."""
        while True:
            try:
                data, (host, port, *_) = await self._socket.recvfrom(most)
                return data, f"{host}:{port}"
            except OSError:
                # The error may be of an earlier send, to an address where nobody listens or to
                # which no route leads; or memory is short. Neither ends the receiving.
                await trio.sleep(RETRY_PAUSE_S)

    def send(self, address: str, data: bytes) -> None:
        """Send at once; what cannot be sent, or has no usable address, is lost."""
        with contextlib.suppress(OSError, ValueError):
            _, host, port = parse_address(address)
            self._socket._sock.sendto(data, (host, port))

    def close(self) -> None:
        """Close the socket."""
        self._socket.close()
