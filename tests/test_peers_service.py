"""Roots that speak over datagrams: in memory on a virtual clock, and over loopback sockets."""
import random

import pytest
import trio
import trio.testing

from mothnotch import net, post
from mothnotch.decisions.fleet import peers
from mothnotch.peers.codec import Codec
from mothnotch.peers.service import Service
from tests.virtual import play

KEY = b"a key of these tests"


class Kept:
    def __init__(self):
        self.lines = []

    def info(self, event, **fields):
        self.lines.append((event, fields))

    warning = info


def service(office, n, seeds, host="root", key=KEY):
    return Service(office, Kept(), f"r{n}", (1, n), f"{host}:{0 if host != 'root' else 100 + n}", seeds, "f", [key],
                   random.Random(n))


def alive(one):
    return {b.name for b in one.beliefs() if b.state == peers.ALIVE}


async def until(true, seconds):
    with trio.fail_after(seconds):
        while not true():
            await trio.sleep(0.05)


def virtual(test):
    trio._core._run._ALLOW_DETERMINISTIC_SCHEDULING = True
    trio._core._run._r.seed(1)
    trio.run(test, clock=trio.testing.MockClock(autojump_threshold=0))


def test_roots_in_memory_find_each_other_pass_facts_on_and_miss_one_that_ends():
    async def main():
        network, drawn = post.MemoryPost(), random.Random(1)
        network.fate = lambda a, b: () if drawn.random() < 0.2 else (drawn.random() * 0.05,) * (1 + (drawn.random() < 0.1))
        roots = [service(network, n, ["root:100"]) for n in range(5)]
        async with trio.open_nursery() as nursery:
            scopes = [await nursery.start(scoped, root) for root in roots]
            await until(lambda: all(len(alive(r)) == 4 for r in roots), 30)
            roots[2].say("demand", b"7", 60_000_000)
            await until(lambda: all(r.known("demand").get("r2") for r in roots), 20)
            assert all(0 <= r.known("demand")["r2"].age_us < 25_000_000 for r in roots)
            scopes[3].cancel()
            rest = [r for r in roots if r.name != "r3"]
            await until(lambda: all("r3" not in alive(r) for r in rest), 30)
            nursery.cancel_scope.cancel()

    virtual(main)


async def scoped(root, task_status):
    with trio.CancelScope() as scope:
        async with trio.open_nursery() as nursery:
            await nursery.start(root.run)
            task_status.started(scope)


def test_noise_and_a_flood_on_the_port_are_counted_and_believed_in_nothing():
    async def main():
        network = post.MemoryPost()
        one, stranger = service(network, 1, []), service(network, 2, ["root:101"], key=b"some other fleet's key")
        async with trio.open_nursery() as nursery:
            await nursery.start(one.run)
            await nursery.start(stranger.run)
            noise = await network.datagrams("noise:1")
            for n in range(6000):
                noise.send("root:101", Codec("g", [KEY]).start + bytes(40) if n % 2 else b"GET / HTTP/1.1" + bytes(30))
                if n % 200 == 0:
                    await trio.sleep(0.001)
            await trio.sleep(5)
            assert one.beliefs() == [] and one.dropped["tag"] >= 1
            assert one.dropped["fleet"] > 100 and one.dropped["stranger"] > 100 and one.dropped["flood"] > 100
            nursery.cancel_scope.cancel()

    virtual(main)


def test_roots_on_loopback_find_each_other():
    async def main():
        network = post.SocketPost()
        async with trio.open_nursery() as nursery:
            first = await nursery.start(service(network, 0, [], "127.0.0.1").run)
            others = [await nursery.start(service(network, n, [first.socket.name], "127.0.0.1").run) for n in (1, 2)]
            await until(lambda: all(len(alive(r)) == 2 for r in (first, *others)), 20)
            first.say("demand", b"1", 60_000_000)
            await until(lambda: all(r.known("demand").get("r0") for r in others), 20)
            nursery.cancel_scope.cancel()

    trio.run(main)


def test_datagrams_need_an_address_of_their_kind():
    async def main():
        with pytest.raises(net.AddressError):
            await post.SocketPost().datagrams("unix:/tmp/x")
        network = post.MemoryPost()
        await network.datagrams("a:1")
        with pytest.raises(OSError):
            await network.datagrams("a:1")

    trio.run(main)


def test_a_root_that_serves_speaks_with_its_peers():
    office = post.MemoryPost()

    async def test(world):
        other = service(office, 9, ["peer:1"])
        await world.nursery.start(other.run)
        await until(lambda: alive(other) == {"a"} and alive(world.root.peers) == {"r9"}, 10)

    play(test, {"peers": {"name": "a", "listen": "peer:1", "fleet": "f", "keys": [KEY.decode()]}}, post=office)
