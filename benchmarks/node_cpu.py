"""CPU of a platform root a request, split by what it is spent on: `python -m benchmarks.node_cpu
[SECONDS] [QUERIES_A_SECOND]`.

The root runs alone in this process; stand-in leaves, discovery and clients run in another, over
loopback. Each piece counts the thread's CPU time between its entry and exit, less the pieces it
calls. What the root believes of latency is set beside what its sockets saw: from the last byte of a
call taken to the kernel's time of the answer.
"""

import json
import multiprocessing
import sys
import time

import trio

from mothnotch.decisions.balancer import Balancer
from mothnotch.net import SocketNetwork
from mothnotch.node import answer_reader, call_writer, client_connection, log, root
from mothnotch.node.config import parse
from mothnotch.root.dispatcher import Dispatcher
from mothnotch.standins import platform
from mothnotch.standins.platform_settings import CELLS, REACH, options

STACK, SPENT = [], {}


def counted(owner, method, name):
    """Counts a method's own CPU time under a name."""
    inner = getattr(owner, method)

    def outer(*args, **more):
        STACK.append([time.thread_time(), 0.0])
        try:
            return inner(*args, **more)
        finally:
            began, below = STACK.pop()
            took = time.thread_time() - began
            SPENT[name] = SPENT.get(name, 0.0) + took - below
            if STACK:
                STACK[-1][1] += took

    setattr(owner, method, outer)


def peers(pipe, seconds, rate):
    """Leaves, discovery and clients, in a process of their own."""

    async def main():
        world, network = platform.World(), SocketNetwork()
        async with trio.open_nursery() as nursery:
            leaves = [
                platform.Leaf(world, network, f"s{n}", n, CELLS, REACH, 0.02, "127.0.0.1:0")
                for n in range(CELLS)
            ]
            for leaf in leaves:
                await nursery.start(leaf.run)
            targets = [
                {"uid": leaf.name, "endpoint": leaf.address, "az": "a", "pod_group": leaf.cell}
                for leaf in leaves
            ]
            discovery = platform.Discovery(network, targets, "127.0.0.1:0")
            await nursery.start(discovery.run)
            pipe.send((discovery.address, targets))
            address = await trio.to_thread.run_sync(pipe.recv)
            idle = []

            async def ask(n):
                client = (
                    idle.pop() if idle else await platform.Client(world, network, address).connect()
                )
                await client.ask(f"r{n}", "read", tuple(range(4)), f"t{n}")
                idle.append(client)

            began = trio.current_time()
            for n in range(int(seconds * rate)):
                await trio.sleep_until(began + n / rate)
                nursery.start_soon(ask, n)
            await trio.sleep(1)
            answered = sum(a.final == "answered" for a in world.record.asks)
            pipe.send((len(world.record.asks), answered))
            nursery.cancel_scope.cancel()

    trio.run(main)


def main(seconds=10.0, rate=100.0):
    ours, theirs = multiprocessing.Pipe()
    process = multiprocessing.Process(target=peers, args=(theirs, seconds, rate), daemon=True)
    process.start()
    discovery, targets = ours.recv()
    text = json.dumps(
        {
            "name": "n0",
            "listen": "127.0.0.1:0",
            "discovery": discovery,
            "seed": "1",
            "known": {"rev": 1, "all": True, "targets": targets},
            "limits": {"sockets": 1024, "memory_mb": 192},
            "settings": options(limits={"openCap": 400}),
        }
    )
    for owner, method, name in (
        (Balancer, "handle", "module"),
        (client_connection.ClientConnection, "feed", "HTTP"),
        (client_connection.ClientConnection, "answer", "HTTP"),
        (call_writer.CallWriter, "write", "frames"),
        (answer_reader.AnswerReader, "take_frame", "frames"),
        (Dispatcher, "_turn", "core"),
    ):
        counted(owner, method, name)
    told, found = [], {}

    async def run():
        async with trio.open_nursery() as nursery:
            made = root.NodeRoot(parse(text.encode()), SocketNetwork(), log.Log())
            await nursery.start(made.run)
            take, post = made.pool.answer_reader.take_frame, made.core.post

            def taking(link, letter, rest, at_us):
                found["at"], found["now"] = at_us, int(trio.current_time() * 1e6)
                take(link, letter, rest, at_us)

            def posting(event):
                if hasattr(event, "latency_us") and found:
                    told.append((event.latency_us, found["now"] - found["at"]))
                post(event)

            made.pool.answer_reader.take_frame, made.core.post = taking, posting
            ours.send(made.addresses[0])
            SPENT.clear()
            began = time.process_time()
            if not await trio.to_thread.run_sync(ours.poll, seconds + 30):
                raise SystemExit("the peers did not come to an end")
            found["ended"] = ours.recv()
            found["total"] = time.process_time() - began
            nursery.cancel_scope.cancel()

    trio.run(run)
    process.join(5)
    asked, answered = found["ended"]
    SPENT["trio, sockets and the rest"] = found["total"] - sum(SPENT.values())
    print(
        f"{asked} queries of 4 parts, {answered} answered; {found['total'] / asked * 1e6:.0f} microseconds of CPU a query"
    )
    for name, took in sorted(SPENT.items(), key=lambda pair: -pair[1]):
        print(f"  {took / found['total']:5.0%}  {took / asked * 1e6:6.0f} us  {name}")
    if told:
        told.sort()
        lag = sorted(late for _, late in told)
        at = [int(len(told) * q) for q in (0.5, 0.99)]
        print(
            "latency told to the module, us (p50, p99):",
            [told[n][0] for n in at],
            "; read that much after the kernel had it:",
            [lag[n] for n in at],
        )


if __name__ == "__main__":
    main(*(float(word) for word in sys.argv[1:]))
