"""Directed links between the roots of a fleet day, with faults, over sockets and in memory.

Over sockets, a relay on every link forwards datagrams and streams: a root reaches another root only
at the address of the relay, and a relay identifies the sending root by its host, as each root has a
loopback address of its own. In memory, the network asks the same `Links` about every datagram and
every stream.

Limits: a datagram has at most 64 KiB, and all relays together hold at most MAX_DATAGRAMS datagrams
in transit and MAX_STREAMS streams; datagrams beyond that are lost, and streams are closed.
"""

import json
import random
import socket
import struct
from dataclasses import dataclass
from functools import partial

import trio

from mothnotch.net import CONNECTION_LOST_ERRORS, close_now

MAX_DATAGRAMS, MAX_STREAMS = 4096, 256
MAX_READ_BYTES = 1 << 16


@dataclass(slots=True)
class Link:
    """The faults of one directed link."""

    loss: float = 0.0  # probability
    delay_s: float = 0.0
    jitter_s: float = 0.0
    twice: float = 0.0  # probability that a datagram is duplicated
    late_s: float = 0.0  # maximum delay of the duplicate after the first copy
    cut: bool = False  # open streams stall, and new ones are not established


class Links:
    """All links between the roots, which are numbered; `hosts[n]` is the host of root n."""

    def __init__(self, hosts, seed):
        self.hosts, self.random = list(hosts), random.Random(f"links {seed}")
        self.numbers = {host: n for n, host in enumerate(self.hosts)}
        self.links = {
            (a, b): Link() for a in range(len(hosts)) for b in range(len(hosts)) if a != b
        }
        self.delivered_count = self.lost_count = 0

    def between(self, sources, targets, both=True):
        """Return the links from the sources to the targets; if `both`, also those back."""
        return [
            link
            for (a, b), link in self.links.items()
            if a in sources and b in targets or both and b in sources and a in targets
        ]

    def delivery_delays(self, a, b):
        """Return the delay, in seconds, of each copy of a datagram; none if it is lost."""
        link, rng = self.links.get((a, b)), self.random
        if link is None or link.cut or rng.random() < link.loss:
            self.lost_count += 1
            return ()
        self.delivered_count += 1
        first = 0.0005 + link.delay_s + rng.random() * link.jitter_s
        return (
            (first, first + rng.random() * link.late_s) if rng.random() < link.twice else (first,)
        )

    # ---- in memory ----

    def attach(self, network):
        """Make a MemoryNetwork consult these links."""
        number_of = lambda address: self.numbers.get(address.rpartition(":")[0] or address)  # noqa: E731
        network.datagram_delays_s = lambda source, target: self.delivery_delays(
            number_of(source), number_of(target)
        )

        def is_open(host, target):
            a, b = number_of(host), number_of(target)
            link, back = self.links.get((a, b)), self.links.get((b, a))
            return link is None or not (link.cut or back.cut)

        network.may_connect = is_open


class StreamRelay:
    """Relays streams over links: data waits while the link is cut, and loss delays it by 200 ms."""

    def __init__(self, network, random):
        self.network, self.random, self.open_streams = network, random, {}  # key -> open streams
        # key -> [(when data arrived, when it was forwarded)], for data that was held back
        self.delayed = {}

    async def accept(self, listener, pair, nursery):
        """Accept streams and relay each.

        `pair(stream)` returns (key, link to the target, link back, the target's address), or None
        to refuse the stream.
        """
        while True:
            stream = await listener.accept()
            route = pair(stream)
            if route is None or sum(map(len, self.open_streams.values())) >= 2 * MAX_STREAMS:
                close_now(stream)
            else:
                nursery.start_soon(self.relay, stream, *route)

    async def relay(self, stream, key, there, back, target):
        """Connect to the target, and copy data in both directions until one side closes."""
        other, open_streams = None, self.open_streams.setdefault(key, set())
        open_streams.add(stream)
        try:
            await self.wait_until_open(there, back)
            other = await self.network.open(target)
            open_streams.add(other)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(
                    self.copy, stream, other, there, nursery, self.delayed.setdefault(key, [])
                )
                nursery.start_soon(self.copy, other, stream, back, nursery, [])
        except* CONNECTION_LOST_ERRORS:
            pass
        finally:
            open_streams -= {stream, other}
            close_now(stream)
            if other is not None:
                close_now(other)

    def reset(self, key):
        """Close both sides of the open streams, with a TCP reset where the network has resets."""
        for stream in list(self.open_streams.get(key, ())):
            if hasattr(stream, "socket"):
                stream.socket.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
                )
            close_now(stream)

    async def wait_until_open(self, *links):
        """Wait until none of the links is cut."""
        while any(link.cut for link in links):
            await trio.sleep(0.02)

    async def copy(self, source, target, link, nursery, delayed):
        """Copy data over the link until the source closes, then cancel the nursery."""
        while data := await source.receive_some(MAX_READ_BYTES):
            arrived_at = trio.current_time()
            await self.wait_until_open(link)
            lost_segments = (
                sum(self.random.random() < link.loss for _ in range(1 + len(data) // 1400))
                if link.loss
                else 0
            )
            delay_s = (
                link.delay_s + self.random.random() * link.jitter_s + 0.2 * min(lost_segments, 10)
            )
            if delay_s:
                await trio.sleep(delay_s)
            if trio.current_time() - arrived_at > 0.005:
                delayed.append((arrived_at, trio.current_time()))
            await target.send_all(data)
        nursery.cancel_scope.cancel()

    def sent_at(self, key, arrived_at, tolerance_s=0.05):
        """Return when data was sent that arrived at that time.

        Data that the link held back was sent when it arrived at the relay.
        """
        return min(
            (
                begin
                for begin, end in self.delayed.get(key, ())
                if end <= arrived_at <= end + tolerance_s
            ),
            default=arrived_at,
        )


class Relays:
    """Relays on all links between roots, over sockets. `targets[n]` is the address of root n."""

    def __init__(self, links, network, targets, host="127.0.0.1"):
        self.links, self.network, self.targets, self.host = links, network, targets, host
        self.sockets, self.in_transit, self.streams = {}, 0, StreamRelay(network, links.random)

    def address(self, a, b):
        """Return the address at which root a reaches root b."""
        return self.sockets[a, b].address

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        """Open the relays, and run them until cancelled."""
        async with trio.open_nursery() as self.nursery:
            for a, b in self.links.links:
                while (a, b) not in self.sockets:
                    datagram_socket = await self.network.bind_datagrams(f"{self.host}:0")
                    try:
                        listeners = await self.network.listen(datagram_socket.address)
                    except OSError:  # the port is in use for streams: try another one
                        datagram_socket.close()
                        continue
                    self.sockets[a, b] = datagram_socket
                    self.nursery.start_soon(self.forward_datagrams, datagram_socket, b)
                    self.nursery.start_soon(
                        self.streams.accept, listeners[0], partial(self.pair, b), self.nursery
                    )
            task_status.started(self)
            try:
                await trio.sleep_forever()
            finally:
                for datagram_socket in self.sockets.values():
                    datagram_socket.close()

    def pair(self, target, stream):
        """Return the route of a stream to the target root, or None if its source is unknown."""
        source, links = self.links.numbers.get(stream.socket.getpeername()[0]), self.links.links
        return (
            ((source, target), links[source, target], links[target, source], self.targets[target])
            if (source, target) in links
            else None
        )

    async def forward_datagrams(self, datagram_socket, target):
        """Forward datagrams to the target root, with the faults of the links."""
        while True:
            data, address = await datagram_socket.receive(MAX_READ_BYTES)
            source = self.links.numbers.get(address.rpartition(":")[0])
            for delay in self.links.delivery_delays(source, target):
                if self.in_transit < MAX_DATAGRAMS:
                    self.in_transit += 1
                    self.nursery.start_soon(self.deliver, source, target, delay, data)

    async def deliver(self, source, target, delay, data):
        """Send a datagram after the delay, from the source's address as known to the target."""
        await trio.sleep(delay)
        self.in_transit -= 1
        self.sockets[target, source].send(self.targets[target], data)


class LeafRelays:
    """Relays on the links from each root to each leaf, over sockets and in memory alike.

    A root's roster lists the addresses of the relays. `there[n, leaf]` and `back[n, leaf]` are the
    links. A connection to the relay is established even while the link is cut.
    """

    def __init__(self, network, roots, leaves, seed, host):
        self.network, self.leaves, self.host = network, leaves, host
        self.there = {(n, name): Link() for n in range(roots) for name in leaves}
        self.back = {key: Link() for key in self.there}
        self.streams, self.addresses = StreamRelay(network, random.Random(f"leaf links {seed}")), {}

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        """Open the relays, and run them until cancelled."""
        async with trio.open_nursery() as nursery:
            for key in self.there:
                (listener,) = await self.network.listen(f"{self.host}:0")
                self.addresses[key] = self.network.bound_address(listener)
                nursery.start_soon(self.streams.accept, listener, partial(self.pair, key), nursery)
            task_status.started(self)
            await trio.sleep_forever()

    def pair(self, key, stream):
        """Return the route of a stream with the key (root, leaf)."""
        return key, self.there[key], self.back[key], self.leaves[key[1]].settings.address

    def roster(self, n, text):
        """Return the text of the roster with the addresses of root n's relays."""
        return json.dumps(
            [
                {**entry, "address": self.addresses.get((n, entry["name"]), entry["address"])}
                for entry in json.loads(text)
            ]
        )
