"""Measure the CPU time of a platform root per request, by component.

Usage: `python -m benchmarks.node_cpu [SECONDS] [QUERIES_A_SECOND]`.

The root runs alone in this process; the stand-in leaves, discovery and clients run in another one,
over loopback. Each component counts the CPU time of the thread between its entry and exit, without
that of the components it calls. The latency of an attempt as the root reports it, from the last
byte of the call sent to the kernel's time stamp of the answer, is printed beside the delay between
that time stamp and the moment when the root reads the answer.
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

CALL_STACK, CPU_BY_COMPONENT = [], {}


def instrument(owner, method, component):
    """Replace a method by one that adds its own CPU time to that of the component."""
    original = getattr(owner, method)

    def wrapper(*args, **kwargs):
        CALL_STACK.append([time.thread_time(), 0.0])
        try:
            return original(*args, **kwargs)
        finally:
            started, callees_s = CALL_STACK.pop()
            elapsed_s = time.thread_time() - started
            CPU_BY_COMPONENT[component] = (
                CPU_BY_COMPONENT.get(component, 0.0) + elapsed_s - callees_s
            )
            if CALL_STACK:
                CALL_STACK[-1][1] += elapsed_s

    setattr(owner, method, wrapper)


def run_peers(pipe, seconds, rate):
    """Run the leaves, discovery and clients in this process until all queries have ended."""

    async def main():
        world, network = platform.World(), SocketNetwork()
        async with trio.open_nursery() as nursery:
            leaves = [
                platform.Leaf(world, network, f"s{cell}", cell, CELLS, REACH, 0.02, "127.0.0.1:0")
                for cell in range(CELLS)
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
            idle_clients = []

            async def send_query(number):
                client = (
                    idle_clients.pop()
                    if idle_clients
                    else await platform.Client(world, network, address).connect()
                )
                await client.ask(f"r{number}", "read", tuple(range(4)), f"t{number}")
                idle_clients.append(client)

            started = trio.current_time()
            for number in range(int(seconds * rate)):
                await trio.sleep_until(started + number / rate)
                nursery.start_soon(send_query, number)
            await trio.sleep(1)
            answered = sum(ask.outcome == "answered" for ask in world.record.queries)
            pipe.send((len(world.record.queries), answered))
            nursery.cancel_scope.cancel()

    trio.run(main)


def main(seconds=10.0, rate=100.0):
    """Measure a root under that many queries a second, and print the figures."""
    pipe, peers_pipe = multiprocessing.Pipe()
    process = multiprocessing.Process(
        target=run_peers, args=(peers_pipe, seconds, rate), daemon=True
    )
    process.start()
    discovery, targets = pipe.recv()
    config_text = json.dumps(
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
    for owner, method, component in (
        (Balancer, "handle", "module"),
        (client_connection.ClientConnection, "feed", "HTTP"),
        (client_connection.ClientConnection, "answer", "HTTP"),
        (call_writer.CallWriter, "write", "frames"),
        (answer_reader.AnswerReader, "take_frame", "frames"),
        (Dispatcher, "_turn", "core"),
    ):
        instrument(owner, method, component)
    latencies, measured = [], {}

    async def run():
        async with trio.open_nursery() as nursery:
            node_root = root.NodeRoot(parse(config_text.encode()), SocketNetwork(), log.Log())
            await nursery.start(node_root.run)
            take_frame, post = node_root.pool.answer_reader.take_frame, node_root.core.post

            def observe_frame(connection, frame_type, body, at_us):
                measured["at"], measured["now"] = at_us, int(trio.current_time() * 1e6)
                take_frame(connection, frame_type, body, at_us)

            def observe_event(event):
                if hasattr(event, "latency_us") and measured:
                    latencies.append((event.latency_us, measured["now"] - measured["at"]))
                post(event)

            node_root.pool.answer_reader.take_frame, node_root.core.post = (
                observe_frame,
                observe_event,
            )
            pipe.send(node_root.addresses[0])
            CPU_BY_COMPONENT.clear()
            started = time.process_time()
            if not await trio.to_thread.run_sync(pipe.poll, seconds + 30):
                raise SystemExit("the process of the clients and leaves has not finished in time")
            measured["ended"] = pipe.recv()
            measured["total"] = time.process_time() - started
            nursery.cancel_scope.cancel()

    trio.run(run)
    process.join(5)
    query_count, answered_count = measured["ended"]
    CPU_BY_COMPONENT["trio, sockets and the rest"] = measured["total"] - sum(
        CPU_BY_COMPONENT.values()
    )
    print(
        f"{query_count} queries of 4 parts, {answered_count} answered; "
        f"{measured['total'] / query_count * 1e6:.0f} microseconds of CPU a query"
    )
    for component, cpu_s in sorted(CPU_BY_COMPONENT.items(), key=lambda item: -item[1]):
        print(
            f"  {cpu_s / measured['total']:5.0%}  {cpu_s / query_count * 1e6:6.0f} us  {component}"
        )
    if latencies:
        latencies.sort()
        delays = sorted(delay for _, delay in latencies)
        ranks = [int(len(latencies) * fraction) for fraction in (0.5, 0.99)]
        print(
            "latency reported to the balancer, us (p50, p99):",
            [latencies[rank][0] for rank in ranks],
            "; delay from the kernel's time stamp to the read:",
            [delays[rank] for rank in ranks],
        )


if __name__ == "__main__":
    main(*(float(argument) for argument in sys.argv[1:]))
