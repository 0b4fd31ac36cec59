"""The benchmark: ratios measured within one run over the same stand-in leaves.

It compares (a) a direct connection to one leaf that reads one part, (b) a hand-written asyncio
scatter/gather of 8 parts in the process of the client, and (c) the same 8 parts through the root.
The root and each leaf are separate processes. It is a benchmark, not a test: no time is asserted.
"""

import asyncio
import cProfile
import json
import os
import pstats
import subprocess
import sys
import time

import trio

from mothnotch import demo, logs, net
from mothnotch.daemon import Root
from mothnotch.pgwire import client as wire
from mothnotch.root.endpoint_file import EndpointFile
from mothnotch.standins.client import Client

PART_QUERY = (
    "SELECT count(*) AS c0, sum(stock.qty) AS c1 FROM stock "
    "WHERE stock.bin >= $1 AND stock.bin < $2"
)
FULL_QUERY = "SELECT count(*), sum(qty) FROM stock WHERE bin < 800"
INT4_OID = 23


def percentile_ms(times, fraction):
    """Return a percentile, given as a fraction, of times in seconds, in milliseconds."""
    times = sorted(times)
    return times[min(len(times) - 1, int(len(times) * fraction))] * 1000


def process_cpu_s(pid):
    """Return the CPU time that a process has used, in seconds."""
    with open(f"/proc/{pid}/stat") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


# ---- (b): hand-written asyncio scatter/gather ----


class LeafConnection:
    """An asyncio connection to a leaf, with one query at a time."""

    async def open(self, address):
        """Connect to the leaf and return this connection once it is ready for a query."""
        host, port = address.split(":")
        self.reader, self.writer = await asyncio.open_connection(host, int(port))
        self.wire = wire.ClientConnection(1 << 24)
        self.writer.write(wire.startup({"user": "b", "database": "stock"}))
        await self.read_until_ready()
        return self

    async def read_until_ready(self):
        """Return the rows that the leaf sends until it is ready for the next query."""
        rows = []
        while True:
            event = self.wire.next_event()
            if event is None:
                data = await self.reader.read(1 << 16)
                if not data:
                    raise EOFError
                self.wire.receive(data)
            elif type(event) is wire.DataRow:
                rows.append(event.values)
            elif type(event) is wire.ReadyForQuery:
                return rows

    async def query_shard(self, shard):
        """Return the rows of the part of the query for a shard."""
        low, high = shard * 100, shard * 100 + 100
        self.writer.write(
            wire.statement(
                f"/*mothnotch range={shard}*/ {PART_QUERY}",
                (INT4_OID, INT4_OID),
                (str(low).encode(), str(high).encode()),
            )
            + wire.SYNC
        )
        return await self.read_until_ready()


async def measure_scatter_gather(addresses, seconds, workers):
    """Return (latencies, CPU seconds) of scatter/gathers by a number of concurrent workers.

    Each worker has a connection to every leaf.
    """
    times = []

    async def worker():
        connections = [await LeafConnection().open(address) for address in addresses]
        end = time.perf_counter() + seconds
        while time.perf_counter() < end:
            started = time.perf_counter()
            parts = await asyncio.gather(
                *(connection.query_shard(shard) for shard, connection in enumerate(connections))
            )
            count = sum(int(rows[0][0]) for rows in parts)
            times.append(time.perf_counter() - started)
        for connection in connections:
            connection.writer.close()
        return count

    cpu_started = time.process_time()
    await asyncio.gather(*(worker() for _ in range(workers)))
    return times, time.process_time() - cpu_started


# ---- (a) and (c): one connection for each worker ----


async def measure_latencies(address, run_query, seconds, workers):
    """Return the latencies of queries by a number of concurrent workers, in seconds."""
    network, times = net.SocketNetwork(), []

    async def worker():
        client = Client(network, address)
        await client.connect()
        end = time.perf_counter() + seconds
        while time.perf_counter() < end:
            started = time.perf_counter()
            await run_query(client)
            times.append(time.perf_counter() - started)
        client.close()

    async with trio.open_nursery() as nursery:
        for _ in range(workers):
            nursery.start_soon(worker)
    return times


async def query_one_part(client):
    """Query the part of shard 0 from a leaf."""
    await client.send(
        wire.statement(f"/*mothnotch range=0*/ {PART_QUERY}", (INT4_OID, INT4_OID), (b"0", b"100"))
        + wire.SYNC
    )
    assert (await client.read_reply()).error is None


async def query_all_parts(client):
    """Send the query of 8 parts to the root."""
    reply = await client.query(FULL_QUERY)
    assert reply.error is None, reply.error


def run(folder, rosters, seconds, clients, profile):
    """Run the benchmark and print its figures; `rosters` are the (file, process) of each leaf."""
    entries = []
    for index, (path, process) in enumerate(rosters):
        while not path.exists():
            if process.poll() is not None:
                raise RuntimeError(f"leaf {index} ended with status {process.returncode}")
            time.sleep(0.05)
        entries.append(json.loads(path.read_text())[index])
    roster = folder / "roster.json5"
    roster.write_text(json.dumps(entries))
    config = folder / "root.json5"
    config.write_text(json.dumps({**demo.CONFIG, "roster": roster.name, "log": {"level": "error"}}))
    addresses = [entry["address"] for entry in entries]
    process = subprocess.Popen(
        [sys.executable, "-m", "mothnotch", "serve", "--config", str(config)],
        stdin=subprocess.DEVNULL,
        stdout=subprocess.PIPE,
        text=True,
    )
    try:
        root_address = process.stdout.readline().split("postgresql://")[1].strip()
        # Warm up the connections, the plans and the latency statistics.
        trio.run(measure_latencies, root_address, query_all_parts, 1.0, clients)
        trio.run(measure_latencies, addresses[0], query_one_part, 0.5, 1)
        print(
            f"8 parts a query, {len(addresses)} leaf processes, {seconds:g} s a figure, "
            f"{os.cpu_count()} cores"
        )
        print(f"{'':44}{'p50 ms':>9}{'p99 ms':>9}{'queries/s':>11}{'q/s/core':>10}")
        figures = {}
        for workers in (1, clients):
            variants = (
                (
                    "a straight to one leaf, 1 part",
                    lambda w=workers: (
                        trio.run(measure_latencies, addresses[0], query_one_part, seconds, w),
                        None,
                    ),
                ),
                (
                    "b asyncio scatter/gather, 8 parts",
                    lambda w=workers: asyncio.run(measure_scatter_gather(addresses, seconds, w)),
                ),
                (
                    "c through the root, 8 parts",
                    lambda w=workers: measure_root(root_address, process, seconds, w),
                ),
            )
            for name, measure in variants:
                times, cpu = measure()
                rate = len(times) / seconds
                per_core = f"{len(times) / cpu:10.0f}" if cpu else f"{'':10}"
                print(
                    f"{name + f', {workers} at once':44}{percentile_ms(times, 0.5):9.2f}"
                    f"{percentile_ms(times, 0.99):9.2f}{rate:11.0f}"
                    f"{per_core}"
                )
                figures[name[0], workers] = (
                    percentile_ms(times, 0.5),
                    rate,
                    len(times) / cpu if cpu else None,
                )
        gather, root = figures["b", 1], figures["c", 1]
        print(
            f"root's p50 over scatter/gather: {root[0] - gather[0]:+.2f} ms "
            f"(ratio {root[0] / gather[0]:.2f})"
        )
        gather, root = figures["b", clients], figures["c", clients]
        print(
            f"root's throughput over scatter/gather: {root[1] / gather[1]:.2f}; "
            f"per core {root[2] / gather[2]:.2f}"
        )
    finally:
        process.terminate()
        process.wait(10)
    if profile:
        print_cpu_shares(roster, min(3.0, seconds))


def measure_root(address, process, seconds, workers):
    """Return (latencies, CPU seconds of the root) of queries through the root."""
    before = process_cpu_s(process.pid)
    times = trio.run(measure_latencies, address, query_all_parts, seconds, workers)
    return times, process_cpu_s(process.pid) - before


def print_cpu_shares(roster, seconds):
    """Print how the CPU time of the root divides among packages.

    The root runs in this process under the profiler, which slows it down: only the shares are
    meaningful.
    """

    async def main():
        async with trio.open_nursery() as nursery:
            root = await nursery.start(
                Root(
                    demo.config(), net.SocketNetwork(), logs.null_logger(), EndpointFile(roster)
                ).run
            )
            await measure_latencies(root.addresses[0], query_all_parts, 0.5, 2)
            profiler.enable()
            await measure_latencies(root.addresses[0], query_all_parts, seconds, 8)
            profiler.disable()
            nursery.cancel_scope.cancel()

    profiler = cProfile.Profile()
    trio.run(main)
    seconds_by_component = {}
    for (path, _, name), (_, _, own_s, _, _) in pstats.Stats(profiler).stats.items():
        if "mothnotch/" in path:
            path_parts = path.split("mothnotch/")[-1].split("/")
            component = path_parts[0] if len(path_parts) > 1 else path_parts[-1]
        elif "/trio/" in path:
            component = "trio"
        elif "select.epoll" in name or "poll" in name:
            continue
        else:
            component = "sockets" if "socket" in name else "built-ins and library"
        if component not in ("standins", "bench.py"):
            seconds_by_component[component] = seconds_by_component.get(component, 0) + own_s
    total_s = sum(seconds_by_component.values())
    print(
        "where the root's CPU goes (profiled): "
        + ", ".join(
            f"{package} {own_s / total_s:.0%}"
            for package, own_s in sorted(seconds_by_component.items(), key=lambda item: -item[1])
            if own_s / total_s > 0.005
        )
    )
