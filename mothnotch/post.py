"""Datagrams: the seam's second half beside net.py, on real sockets or in memory with faults on a virtual clock.

A post office gives `datagrams(address)`, which has `name`, `receive(most)`, `send(address, data)` and `close()`. Sending takes
no time, and what will not go is lost, as any datagram may be. It stands apart from net.py as a root on the platform has
no use for it.
"""
import heapq
import itertools
import socket

import trio

from mothnotch.net import AddressError, parse_address


class Datagrams:
    """A UDP socket over IPv4."""

    def __init__(self, sock):
        self.sock = sock

    @property
    def name(self):
        host, port = self.sock.getsockname()[:2]
        return f"{host}:{port}"

    async def receive(self, most):
        """(data, the sender's address)."""
        while True:
            try:
                data, (host, port, *_) = await self.sock.recvfrom(most)
                return data, f"{host}:{port}"
            except ConnectionError:
                pass                                   # word that nobody listens at an address written to before

    def send(self, address, data):
        try:
            _, host, port = parse_address(address)
            self.sock._sock.sendto(data, (host, port))
        except (OSError, ValueError):
            pass

    def close(self):
        self.sock.close()


class SocketPost:
    """Real sockets, real time."""

    async def datagrams(self, address):
        """Datagrams at an address, host:port; port 0 picks one."""
        kind, *rest = parse_address(address)
        if kind != "tcp":
            raise AddressError(f"address {address!r}: datagrams need HOST:PORT")
        sock = trio.socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            await sock.bind((rest[0], rest[1]))
        except OSError:
            sock.close()
            raise
        return Datagrams(sock)


class MemoryDatagrams:
    """At most `limit` wait; what comes then is lost."""

    def __init__(self, post, name, limit=256):
        self.post, self.name, self.limit, self.heap, self.order = post, name, limit, [], itertools.count()
        self.changed = trio.Event()

    def send(self, address, data):
        target = self.post.boxes.get(address)
        for delay in self.post.fate(self.name, address) if target is not None else ():
            if len(target.heap) < target.limit:
                heapq.heappush(target.heap, (trio.current_time() + delay, next(target.order), data, self.name))
                target.changed.set()

    async def receive(self, most):
        await trio.lowlevel.checkpoint()
        while not self.heap or self.heap[0][0] > trio.current_time():
            self.changed = trio.Event()
            with trio.move_on_at(self.heap[0][0] if self.heap else float("inf")):
                await self.changed.wait()
        _, _, data, address = heapq.heappop(self.heap)
        return data[:most], address

    def close(self):
        if self.post.boxes.get(self.name) is self:
            del self.post.boxes[self.name]


class MemoryPost:
    """In memory, addresses as names. `fate(from, to)` gives the delays, in seconds, with which copies of a datagram
    arrive; none: it is lost."""

    def __init__(self):
        self.boxes, self.fate, self.next_port = {}, lambda source, target: (0.0005,), 40000

    async def datagrams(self, address):
        await trio.lowlevel.checkpoint()
        host, _, port = address.rpartition(":")
        if port == "0":
            self.next_port += 1
            address = f"{host}:{self.next_port}"
        if address in self.boxes:
            raise OSError(f"{address} is in use")
        self.boxes[address] = MemoryDatagrams(self, address)
        return self.boxes[address]
