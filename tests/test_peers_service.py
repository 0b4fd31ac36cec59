"""Gossip between root services: in memory on a virtual clock, and over loopback sockets."""

import random

import pytest
import trio
import trio.testing

from mothnotch import net
from mothnotch.decisions.fleet.swim_messages import ALIVE
from mothnotch.net.memory import MemoryNetwork
from mothnotch.peers import exchange
from mothnotch.peers.codec import Codec
from mothnotch.peers.service import PeerService, now_us
from tests.support.virtual_clock import run_in_world

KEY = b"a key of these tests"


class RecordedLog:
    def __init__(self):
        self.lines = []

    def info(self, event, **fields):
        self.lines.append((event, fields))

    warning = info


def service(network, number, seeds, host="root", key=KEY):
    return PeerService(
        network,
        RecordedLog(),
        f"r{number}",
        (1, number),
        f"{host}:{0 if host != 'root' else 100 + number}",
        seeds,
        "f",
        [key],
        random.Random(number),
    )


def alive(root):
    return {status.name for status in root.member_statuses() if status.state == ALIVE}


async def until(condition, seconds):
    with trio.fail_after(seconds):
        while not condition():
            await trio.sleep(0.05)


def run_on_virtual_clock(main):
    trio._core._run._ALLOW_DETERMINISTIC_SCHEDULING = True
    trio._core._run._r.seed(1)
    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def test_roots_in_memory_join_spread_facts_and_detect_a_stopped_root():
    async def main():
        network, generator = MemoryNetwork(), random.Random(1)
        network.datagram_delays_s = (
            lambda a, b: ()
            if generator.random() < 0.2
            else (generator.random() * 0.05,) * (1 + (generator.random() < 0.1))
        )
        roots = [service(network, n, ["root:100"]) for n in range(5)]
        async with trio.open_nursery() as nursery:
            scopes = [await nursery.start(run_in_scope, root) for root in roots]
            await until(lambda: all(len(alive(r)) == 4 for r in roots), 30)
            roots[2].publish("demand", b"7", 60_000_000)
            await until(lambda: all(r.known_facts("demand").get("r2") for r in roots), 20)
            assert all(0 <= r.known_facts("demand")["r2"].age_us < 25_000_000 for r in roots)
            scopes[3].cancel()
            remaining = [r for r in roots if r.name != "r3"]
            await until(lambda: all("r3" not in alive(r) for r in remaining), 30)
            nursery.cancel_scope.cancel()

    run_on_virtual_clock(main)


async def run_in_scope(root, task_status):
    with trio.CancelScope() as scope:
        async with trio.open_nursery() as nursery:
            await nursery.start(root.run)
            task_status.started(scope)


def test_noise_and_a_flood_on_the_port_are_counted_and_ignored():
    async def main():
        network = MemoryNetwork()
        root, stranger = (
            service(network, 1, []),
            service(network, 2, ["root:101"], key=b"some other fleet's key"),
        )
        async with trio.open_nursery() as nursery:
            await nursery.start(root.run)
            await nursery.start(stranger.run)
            noise = await network.bind_datagrams("noise:1")
            for n in range(6000):
                noise.send(
                    "root:101",
                    Codec("g", [KEY]).prefix + bytes(40)
                    if n % 2
                    else b"GET / HTTP/1.1" + bytes(30),
                )
                if n % 200 == 0:
                    await trio.sleep(0.001)
            await trio.sleep(5)
            assert root.member_statuses() == [] and root.dropped["tag"] >= 1
            assert (
                root.dropped["fleet"] > 100
                and root.dropped["stranger"] > 100
                and root.dropped["flood"] > 100
            )
            nursery.cancel_scope.cancel()

    run_on_virtual_clock(main)


def test_a_late_joiner_gets_all_facts_over_a_stream_with_valid_ages():
    """Guards against a slow join: an envelope carries 700 bytes of facts, so the 480 facts of 12
    roots would take minutes by datagrams alone.
    """

    async def main():
        network = MemoryNetwork()
        async with trio.open_nursery() as nursery:
            roots = [await nursery.start(service(network, n, ["root:100"]).run) for n in range(12)]
            for root in roots:
                for key in range(40):
                    root.publish(f"k{key}", b"x" * 200, 300_000_000)
            await trio.sleep(100)
            joiner = await nursery.start(service(network, 50, ["root:100"]).run)
            started = trio.current_time()
            await until(lambda: len(alive(joiner)) == 12, 5)
            await until(lambda: sum(len(joiner.known_facts(f"k{n}")) for n in range(40)) == 480, 5)
            ages = [f.age_us / 1e6 for n in range(40) for f in joiner.known_facts(f"k{n}").values()]
            elapsed = trio.current_time() - started
            assert (
                min(ages) >= 100 and max(ages) <= (100 + elapsed) * 1.05 + 1
            )  # allows for clock drift over two hops
            nursery.cancel_scope.cancel()

    run_on_virtual_clock(main)


def test_a_replayed_full_state_is_rejected():
    """Guards against replays that understate the age of facts.

    A full state must answer a stamp of the current exchange.
    """

    async def main():
        network = MemoryNetwork()
        root, other = service(network, 1, []), service(network, 2, [])
        async with trio.open_nursery() as nursery:
            await nursery.start(root.run)
            await nursery.start(other.run)
            other.publish("demand", b"old", 60_000_000)
            protocol, codec = other.protocol, other.codec
            recorded = codec.encode_full_state(
                protocol.full_state(now_us(), answers=now_us() - 1)
            )  # as sent in an earlier exchange
            await trio.sleep(20)
            stream = await network.open("root:101")
            await exchange.write_message(
                stream, codec.encode_full_state(protocol.full_state(now_us()))
            )
            await exchange.read_message(stream)
            await exchange.write_message(stream, recorded)
            await trio.sleep(0.1)
            assert root.dropped["stamp"] == 1
            # The fact may have arrived by datagram in the meantime, with its true age.
            assert all(known.age_us >= 20_000_000 for known in root.known_facts("demand").values())
            nursery.cancel_scope.cancel()

    run_on_virtual_clock(main)


@pytest.mark.parametrize(
    "data, reason",
    [
        (b"\xff\xff\xff\xff" + bytes(100), "long"),
        (b"\x05\0\0\0GET /", "short"),
        (b"\x50\0\0\0" + b"GET / HTTP/1.1\r\n" * 5, "stranger"),
        (b"\x50\0\0\0abc", "broken"),
        (b"", "broken"),
    ],
)
def test_invalid_and_silent_streams_are_counted_and_time_out(data, reason):
    async def main():
        network = MemoryNetwork()
        root = service(network, 1, [])
        async with trio.open_nursery() as nursery:
            await nursery.start(root.run)
            streams = [await network.open("root:101") for _ in range(30)]
            await trio.sleep(0.1)
            assert root.dropped["callers"] == 22
            await streams[0].send_all(data)
            await streams[0].send_eof()
            await trio.sleep(0.1)
            assert root.dropped[reason] == 1
            await trio.sleep(5)  # longer than the timeout of the silent streams
            assert (
                root.dropped["broken"] == 7 + (reason == "broken") and root.member_statuses() == []
            )
            nursery.cancel_scope.cancel()

    run_on_virtual_clock(main)


def test_a_view_contains_member_states_and_fact_ages():
    async def main():
        network = MemoryNetwork()
        async with trio.open_nursery() as nursery:
            roots = [await nursery.start(service(network, n, ["root:100"]).run) for n in range(3)]
            await until(lambda: all(len(alive(r)) == 2 for r in roots), 10)
            roots[1].publish("demand", b"1", 60_000_000)
            await until(lambda: roots[2].known_facts("demand"), 10)
            view = await exchange.request_view(network, "root:102", roots[0].codec, 7)
            assert view.name == "r2" and [(s.name, s.state) for s in view.peers] == [
                ("r0", "alive"),
                ("r1", "alive"),
            ]
            assert view.peers[1].facts == 1 and 0 <= view.peers[1].oldest_us < 10_000_000
            with pytest.raises(exchange.EXCHANGE_ERRORS):
                await exchange.request_view(
                    network, "root:102", Codec("f", [b"another key, 16 bytes"]), 7
                )
            nursery.cancel_scope.cancel()

    run_on_virtual_clock(main)


def test_roots_on_loopback_find_each_other():
    async def main():
        network = net.SocketNetwork()
        async with trio.open_nursery() as nursery:
            first = await nursery.start(service(network, 0, [], "127.0.0.1").run)
            others = [
                await nursery.start(service(network, n, [first.socket.address], "127.0.0.1").run)
                for n in (1, 2)
            ]
            await until(lambda: all(len(alive(r)) == 2 for r in (first, *others)), 20)
            first.publish("demand", b"1", 60_000_000)
            await until(lambda: all(r.known_facts("demand").get("r0") for r in others), 20)
            nursery.cancel_scope.cancel()

    trio.run(main)


def test_a_datagram_socket_needs_a_free_host_and_port():
    async def main():
        with pytest.raises(net.AddressError):
            await net.SocketNetwork().bind_datagrams("unix:/tmp/x")
        network = MemoryNetwork()
        await network.bind_datagrams("a:1")
        with pytest.raises(OSError):
            await network.bind_datagrams("a:1")

    trio.run(main)


def test_a_serving_root_joins_its_peers():
    async def test(world):
        other = service(world.network, 9, ["peer:1"])
        await world.nursery.start(other.run)
        await until(lambda: alive(other) == {"a"} and alive(world.root.peers) == {"r9"}, 10)

    run_in_world(
        test, {"peers": {"name": "a", "listen": "peer:1", "fleet": "f", "keys": [KEY.decode()]}}
    )
