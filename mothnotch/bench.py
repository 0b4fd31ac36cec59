"""The benchmark: ratios within one run, over the same stand-in leaves, each a process of its own.

(a) one connection straight to one leaf, one part; (b) a hand-written asyncio scatter/gather of 8
parts in the client's own process; (c) the same 8 parts through the root, a process of its own. A
benchmark, not a timed test.
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

PART_QUERY = "SELECT count(*) AS c0, sum(stock.qty) AS c1 FROM stock WHERE stock.bin >= $1 AND stock.bin < $2"
FULL_QUERY = "SELECT count(*), sum(qty) FROM stock WHERE bin < 800"
INT4 = 23


def percentile_ms(times, share):
    times = sorted(times)
    return times[min(len(times) - 1, int(len(times) * share))] * 1000


def process_cpu_s(pid):
    """CPU seconds that a process has used."""
    with open(f"/proc/{pid}/stat") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


# ---- (b): asyncio, by hand ----


class Link:
    """One asyncio connection to a leaf, a call at a time."""

    async def open(self, address):
        host, port = address.split(":")
        self.reader, self.writer = await asyncio.open_connection(host, int(port))
        self.wire = wire.ClientConnection(1 << 24)
        self.writer.write(wire.startup({"user": "b", "database": "stock"}))
        await self.until_ready()
        return self

    async def until_ready(self):
        rows = []
        while True:
            event = self.wire.next_event()
            if event is None:
                data = await self.reader.read(1 << 16)
                if not data:
                    raise EOFError
                self.wire.receive(data)
            elif type(event) is wire.Row:
                rows.append(event.values)
            elif type(event) is wire.Ready:
                return rows

    async def ask(self, shard):
        low, high = shard * 100, shard * 100 + 100
        self.writer.write(
            wire.statement(
                f"/*mothnotch range={shard}*/ {PART_QUERY}",
                (INT4, INT4),
                (str(low).encode(), str(high).encode()),
            )
            + wire.SYNC
        )
        return await self.until_ready()


async def gathered(addresses, seconds, workers):
    """(times, CPU seconds) of scatter/gathers by so many workers, each with a connection to every
    leaf.
    """
    times = []

    async def worker():
        links = [await Link().open(a) for a in addresses]
        end = time.perf_counter() + seconds
        while time.perf_counter() < end:
            begun = time.perf_counter()
            parts = await asyncio.gather(*(link.ask(n) for n, link in enumerate(links)))
            count = sum(int(rows[0][0]) for rows in parts)
            times.append(time.perf_counter() - begun)
        for link in links:
            link.writer.close()
        return count

    cpu = time.process_time()
    await asyncio.gather(*(worker() for _ in range(workers)))
    return times, time.process_time() - cpu


# ---- (a) and (c): one connection a worker ----


async def measure_latencies(address, statement, seconds, workers):
    network, times = net.SocketNetwork(), []

    async def worker():
        c = Client(network, address)
        await c.connect()
        end = time.perf_counter() + seconds
        while time.perf_counter() < end:
            begun = time.perf_counter()
            await statement(c)
            times.append(time.perf_counter() - begun)
        c.close()

    async with trio.open_nursery() as nursery:
        for _ in range(workers):
            nursery.start_soon(worker)
    return times


async def one_part(c):
    await c.send(
        wire.statement(f"/*mothnotch range=0*/ {PART_QUERY}", (INT4, INT4), (b"0", b"100"))
        + wire.SYNC
    )
    assert (await c.reply()).error is None


async def whole(c):
    reply = await c.query(FULL_QUERY)
    assert reply.error is None, reply.error


def run(folder, rosters, seconds, clients, profile):
    """Runs the benchmark and prints it. `rosters`: (file, process) of each leaf, in order."""
    entries = []
    for n, (path, process) in enumerate(rosters):
        while not path.exists():
            if process.poll() is not None:
                raise RuntimeError(f"leaf {n} ended with status {process.returncode}")
            time.sleep(0.05)
        entries.append(json.loads(path.read_text())[n])
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
        root = process.stdout.readline().split("postgresql://")[1].strip()
        trio.run(measure_latencies, root, whole, 1.0, clients)  # warm: connections, plans, medians
        trio.run(measure_latencies, addresses[0], one_part, 0.5, 1)
        print(
            f"8 parts a query, {len(addresses)} leaf processes, {seconds:g} s a figure, {os.cpu_count()} cores"
        )
        print(f"{'':44}{'p50 ms':>9}{'p99 ms':>9}{'queries/s':>11}{'q/s/core':>10}")
        figures = {}
        for workers in (1, clients):
            rows = (
                (
                    "a straight to one leaf, 1 part",
                    lambda w=workers: (
                        trio.run(measure_latencies, addresses[0], one_part, seconds, w),
                        None,
                    ),
                ),
                (
                    "b asyncio scatter/gather, 8 parts",
                    lambda w=workers: asyncio.run(gathered(addresses, seconds, w)),
                ),
                (
                    "c through the root, 8 parts",
                    lambda w=workers: through(root, process, seconds, w),
                ),
            )
            for name, measure in rows:
                times, cpu = measure()
                rate = len(times) / seconds
                per_core = f"{len(times) / cpu:10.0f}" if cpu else f"{'':10}"
                print(
                    f"{name + f', {workers} at once':44}{percentile_ms(times, 0.5):9.2f}{percentile_ms(times, 0.99):9.2f}{rate:11.0f}"
                    f"{per_core}"
                )
                figures[name[0], workers] = (
                    percentile_ms(times, 0.5),
                    rate,
                    len(times) / cpu if cpu else None,
                )
        b, c = figures["b", 1], figures["c", 1]
        print(f"root's p50 over scatter/gather: {c[0] - b[0]:+.2f} ms (ratio {c[0] / b[0]:.2f})")
        b, c = figures["b", clients], figures["c", clients]
        print(
            f"root's throughput over scatter/gather: {c[1] / b[1]:.2f}; per core {c[2] / b[2]:.2f}"
        )
    finally:
        process.terminate()
        process.wait(10)
    if profile:
        shares(roster, min(3.0, seconds))


def through(root, process, seconds, workers):
    before = process_cpu_s(process.pid)
    times = trio.run(measure_latencies, root, whole, seconds, workers)
    return times, process_cpu_s(process.pid) - before


def shares(roster, seconds):
    """Where the root's CPU goes, by package: it runs in this process, under the profiler, so only
    shares count.
    """

    async def main():
        async with trio.open_nursery() as nursery:
            root = await nursery.start(
                Root(
                    demo.config(), net.SocketNetwork(), logs.null_logger(), EndpointFile(roster)
                ).run
            )
            await measure_latencies(root.addresses[0], whole, 0.5, 2)
            profiler.enable()
            await measure_latencies(root.addresses[0], whole, seconds, 8)
            profiler.disable()
            nursery.cancel_scope.cancel()

    profiler = cProfile.Profile()
    trio.run(main)
    found = {}
    for (path, _, name), (_, _, own, _, _) in pstats.Stats(profiler).stats.items():
        if "mothnotch/" in path:
            bits = path.split("mothnotch/")[-1].split("/")
            where = bits[0] if len(bits) > 1 else bits[-1]
        elif "/trio/" in path:
            where = "trio"
        elif "select.epoll" in name or "poll" in name:
            continue
        else:
            where = "sockets" if "socket" in name else "built-ins and library"
        if where not in ("standins", "bench.py"):
            found[where] = found.get(where, 0) + own
    total = sum(found.values())
    print(
        "where the root's CPU goes (profiled): "
        + ", ".join(
            f"{name} {own / total:.0%}"
            for name, own in sorted(found.items(), key=lambda f: -f[1])
            if own / total > 0.005
        )
    )
