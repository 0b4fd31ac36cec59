"""The links of a fleet day: one each way between any two roots, with faults, over sockets and in
memory.

A link is directed. Over sockets a relay stands on every link, for datagrams and for streams: a root
reaches another only at the relay's address for it, and is told from others by the host that it
comes from (each root has a loopback address of its own). In memory the network asks the same
`Links` for each datagram's fate and each stream.

Bounds: a datagram of 64 KiB, DATAGRAMS on their way at once and STREAMS at once over all relays;
what comes beyond is lost or closed.
"""

import json
import random
import socket
import struct
from dataclasses import dataclass
from functools import partial

import trio

from mothnotch.net import CONNECTION_LOST_ERRORS, close_now

DATAGRAMS, STREAMS = 4096, 256
CHUNK = 1 << 16


@dataclass(slots=True)
class Link:
    """What happens on it. A datagram's second copy comes up to `late_s` after the first. Where it
    is cut, streams that stand say nothing more, and new ones do not come up.
    """

    loss: float = 0.0
    delay_s: float = 0.0
    jitter_s: float = 0.0
    twice: float = 0.0
    late_s: float = 0.0
    cut: bool = False


class Links:
    """All links between so many roots. Names of the roots are numbers; `hosts[n]` is root n's host."""

    def __init__(self, hosts, seed):
        self.hosts, self.random = list(hosts), random.Random(f"links {seed}")
        self.numbers = {host: n for n, host in enumerate(self.hosts)}
        self.links = {
            (a, b): Link() for a in range(len(hosts)) for b in range(len(hosts)) if a != b
        }
        self.passed = self.lost = 0

    def between(self, some, others, both=True):
        """The links from some roots to others, and back."""
        return [
            link
            for (a, b), link in self.links.items()
            if a in some and b in others or both and b in some and a in others
        ]

    def fates(self, a, b):
        """The delays, in seconds, with which copies of a datagram arrive; none: it is lost."""
        link, r = self.links.get((a, b)), self.random
        if link is None or link.cut or r.random() < link.loss:
            self.lost += 1
            return ()
        self.passed += 1
        first = 0.0005 + link.delay_s + r.random() * link.jitter_s
        return (first, first + r.random() * link.late_s) if r.random() < link.twice else (first,)

    # ---- in memory ----

    def attach(self, network):
        """Makes a MemoryNetwork ask here."""
        number = lambda address: self.numbers.get(address.rpartition(":")[0] or address)  # noqa: E731
        network.datagram_delays_s = lambda source, target: self.fates(
            number(source), number(target)
        )

        def passes(host, target):
            a, b = number(host), number(target)
            link, back = self.links.get((a, b)), self.links.get((b, a))
            return link is None or not (link.cut or back.cut)

        network.may_connect = passes


class StreamRelay:
    """Carries streams over links: what is cut waits, what is lost comes 200 ms later."""

    def __init__(self, network, random):
        self.network, self.random, self.live = network, random, {}  # key -> streams that stand
        self.held = {}  # key -> (when data came, when it went on), where that took a while

    async def accept(self, listener, pair, nursery):
        """`pair(stream)` gives (key, the link there, the link back, the target's address), or None
        to turn it away.
        """
        while True:
            stream = await listener.accept()
            found = pair(stream)
            if found is None or sum(map(len, self.live.values())) >= 2 * STREAMS:
                close_now(stream)
            else:
                nursery.start_soon(self.relay, stream, *found)

    async def relay(self, stream, key, there, back, target):
        other, live = None, self.live.setdefault(key, set())
        live.add(stream)
        try:
            await self.passing(there, back)
            other = await self.network.open(target)
            live.add(other)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(
                    self.copy, stream, other, there, nursery, self.held.setdefault(key, [])
                )
                nursery.start_soon(self.copy, other, stream, back, nursery, [])
        except* CONNECTION_LOST_ERRORS:
            pass
        finally:
            live -= {stream, other}
            close_now(stream)
            if other is not None:
                close_now(other)

    def reset(self, key):
        """Ends what stands, on both sides at once, with a reset where the network has such."""
        for stream in list(self.live.get(key, ())):
            if hasattr(stream, "socket"):
                stream.socket.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
                )
            close_now(stream)

    async def passing(self, *links):
        while any(link.cut for link in links):
            await trio.sleep(0.02)

    async def copy(self, source, target, link, nursery, held):
        while data := await source.receive_some(CHUNK):
            came = trio.current_time()
            await self.passing(link)
            lost = (
                sum(self.random.random() < link.loss for _ in range(1 + len(data) // 1400))
                if link.loss
                else 0
            )
            late = link.delay_s + self.random.random() * link.jitter_s + 0.2 * min(lost, 10)
            if late:
                await trio.sleep(late)
            if trio.current_time() - came > 0.005:
                held.append((came, trio.current_time()))
            await target.send_all(data)
        nursery.cancel_scope.cancel()

    def sent(self, key, arrived, within=0.05):
        """When something was sent that arrived then: what the link held back left its sender when
        it came to the link.
        """
        return min(
            (came for came, went in self.held.get(key, ()) if went <= arrived <= went + within),
            default=arrived,
        )


class Relays:
    """Relays on all links between roots, over sockets. `targets[n]`: where root n really listens;
    `address(a, b)`: where a reaches b.
    """

    def __init__(self, links, network, targets, host="127.0.0.1"):
        self.links, self.network, self.targets, self.host = links, network, targets, host
        self.boxes, self.on_way, self.streams = {}, 0, StreamRelay(network, links.random)

    def address(self, a, b):
        return self.boxes[a, b].address

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        async with trio.open_nursery() as self.nursery:
            for a, b in self.links.links:
                while (a, b) not in self.boxes:
                    box = await self.network.bind_datagrams(f"{self.host}:0")
                    try:
                        listeners = await self.network.listen(box.address)
                    except OSError:  # that port is taken for streams: another
                        box.close()
                        continue
                    self.boxes[a, b] = box
                    self.nursery.start_soon(self.datagrams, box, b)
                    self.nursery.start_soon(
                        self.streams.accept, listeners[0], partial(self.pair, b), self.nursery
                    )
            task_status.started(self)
            try:
                await trio.sleep_forever()
            finally:
                for box in self.boxes.values():
                    box.close()

    def pair(self, target, stream):
        source, links = self.links.numbers.get(stream.socket.getpeername()[0]), self.links.links
        return (
            ((source, target), links[source, target], links[target, source], self.targets[target])
            if (source, target) in links
            else None
        )

    async def datagrams(self, box, target):
        while True:
            data, address = await box.receive(CHUNK)
            source = self.links.numbers.get(address.rpartition(":")[0])
            for delay in self.links.fates(source, target):
                if self.on_way < DATAGRAMS:
                    self.on_way += 1
                    self.nursery.start_soon(self.deliver, source, target, delay, data)

    async def deliver(self, source, target, delay, data):
        await trio.sleep(delay)
        self.on_way -= 1
        self.boxes[target, source].send(
            self.targets[target], data
        )  # as the target knows the sender


class LeafRelays:
    """A relay on the link of each root to each leaf, over sockets and in memory alike; a root's
    roster names the relays. `there[n, leaf]` and `back[n, leaf]` are the links. A connection comes
    up at the relay even where the link is cut.
    """

    def __init__(self, network, roots, leaves, seed, host):
        self.network, self.leaves, self.host = network, leaves, host
        self.there = {(n, name): Link() for n in range(roots) for name in leaves}
        self.back = {key: Link() for key in self.there}
        self.streams, self.addresses = StreamRelay(network, random.Random(f"leaf links {seed}")), {}

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        async with trio.open_nursery() as nursery:
            for key in self.there:
                (listener,) = await self.network.listen(f"{self.host}:0")
                self.addresses[key] = self.network.bound_address(listener)
                nursery.start_soon(self.streams.accept, listener, partial(self.pair, key), nursery)
            task_status.started(self)
            await trio.sleep_forever()

    def pair(self, key, stream):
        return key, self.there[key], self.back[key], self.leaves[key[1]].settings.address

    def roster(self, n, text):
        """A roster's text, as root n is to have it."""
        return json.dumps(
            [
                {**e, "address": self.addresses.get((n, e["name"]), e["address"])}
                for e in json.loads(text)
            ]
        )
