"""Fleet days: scenarios of several roots that are peers, with faults of roots and links.

A fleet day has the load, leaves, faults and six rules of a bad day, and in addition faults of roots
and of the links between them, and records what the roots believe of one another. Over sockets,
every root is a process (`python -m mothnotch.badday.root`) that is killed, stopped and continued by
its process id, and every link has a relay. In memory, the same classes run on the virtual clock.
There, a pause holds back all that a root sends and receives, but the root's clock continues, unlike
that of a stopped process.
"""

import dataclasses
import json
import random
import signal
import subprocess
import sys
import tempfile
import time
from functools import partial
from pathlib import Path

import trio

from mothnotch import demo, logs, net
from mothnotch.audit import defects
from mothnotch.audit.peers import PeersRecord, ViewSample
from mothnotch.audit.rules import query_id_of
from mothnotch.badday.links import LeafRelays, Link, Links, Relays
from mothnotch.badday.play import ScenarioRun, root_config, run_on_virtual_clock, terminate_all
from mothnotch.daemon import Root
from mothnotch.net.memory import MemoryNetwork
from mothnotch.peers import exchange
from mothnotch.peers.codec import Codec
from mothnotch.root.endpoint_file import InMemoryEndpointFile

KEY, FLEET = "a key of the fleet day", "fleet day"
VIEW_INTERVAL_S = 0.25  # between two requests for a root's view
START_TIMEOUT_S = 20.0  # for a root's process until it serves
FACT_LIFETIME_US = 60_000_000


def root_host(n):
    """Return the loopback host of root n."""
    return f"127.0.1.{n + 1}"


def peers_section(scenario, n, listen, seeds):
    """Return the `peers` section of root n's configuration."""
    return {
        "name": f"r{n}",
        "listen": listen,
        "seeds": seeds,
        "fleet": FLEET,
        "keys": [KEY],
        "period_ms": scenario.peers.period_ms,
    }


async def publish_timestamps(root, clock):
    """Publish a fact every second whose value is the time of its publication.

    So the age that other roots state for it can be checked from outside.
    """
    while True:
        root.peers.publish("day", f"{clock():.6f}".encode(), FACT_LIFETIME_US)
        await trio.sleep(1)


class FleetScenarioRun(ScenarioRun):
    """One run of a scenario with peers; `runner` starts, ends and pauses the roots."""

    def __init__(self, scenario, seed, network, slack_s, runner):
        super().__init__(scenario, seed, network, slack_s)
        period = scenario.peers.period_ms / 1000
        self.peers = PeersRecord(
            [f"r{n}" for n in range(scenario.roots)],
            gone_bound_s=scenario.peers.gone * period,
            agreement_bound_s=scenario.peers.agree * period,
            fact_bound_s=scenario.peers.fact * period,
        )
        self.links = Links([root_host(n) for n in range(scenario.roots)], seed)
        self.codec, self.runner, self.view_request_id = Codec(FLEET, [KEY.encode()]), runner, 0
        self.is_up = [False] * scenario.roots
        self.datagram_counts = {}  # root -> (datagrams sent, received), as it last reported
        runner.run = self

    def clock(self):
        """Return the time of the clock that the record and the roots' facts use.

        It is not a wall clock, which may be set during the run.
        """
        return self.runner.clock()

    def pick_root(self):
        """Return a root that is up, as a load balancer in front of the roots would."""
        up = [n for n, is_up in enumerate(self.is_up) if is_up]
        return self.random.choice(up) if up else super().pick_root()

    async def run_query(self, query, client):
        """Run a query; one that was lost with its root counts as if its client had left."""
        begin, start_count = self.clock(), self.runner.start_counts[query.root]
        await super().run_query(query, client)
        if not self.is_up[query.root] or self.runner.start_counts[query.root] != start_count:
            # The connection became idle while the root went down.
            self.drop_client(client, query.root)
        outages = [
            (a, b)
            for n, a, b in (*self.peers.down_intervals, *self.peers.paused_intervals)
            if n == query.root and b > begin
        ]
        if (
            outages
            and query.outcome in ("lost", "")
            or query.outcome == "lost"
            and self.runner.start_counts[query.root] != start_count
        ):
            query.outcome = "gone"  # lost with its root: no other root can answer for it
            query.ended_at = float("inf")
        elif outages and query.ended_at - query.started_at > query.timeout_s:
            query.outcome = "gone"

    # ---- faults ----

    def begin_interval(self, intervals, *key):
        """Begin an interval of the record, and return the function that ends it."""
        intervals.append((*key, self.clock(), float("inf")))

        def end_interval():
            index = next(
                i
                for i in range(len(intervals) - 1, -1, -1)
                if intervals[i][: len(key)] == key and intervals[i][-1] == float("inf")
            )
            intervals[index] = (*intervals[index][:-1], self.clock())

        return end_interval

    def take_down(self, n):
        """Mark root n as down, and close the idle connections to it."""
        self.is_up[n] = False
        for (root, _), idle in self.idle_clients.items():
            while root == n and idle:
                idle.pop().close()

    def drop_client(self, client, n):
        """Close a connection to root n, and remove it from the idle ones."""
        client.close()
        for (root, _), idle in self.idle_clients.items():
            if root == n and client in idle:
                idle.remove(client)

    async def do_root_kill(self, fault, names):
        await self.stop_roots(fault, self.runner.kill)

    async def do_root_restart(self, fault, names):
        await self.stop_roots(fault, self.runner.end)

    async def stop_roots(self, fault, stop):
        """Stop the roots, and start them again after the fault's duration."""
        end_intervals = [self.begin_interval(self.peers.down_intervals, n) for n in fault.roots]
        for n in fault.roots:
            self.take_down(n)
            await stop(n)
        await trio.sleep(fault.lasts)
        for n, end_interval in zip(fault.roots, end_intervals, strict=True):
            await self.runner.start(n)
            end_interval()
            self.is_up[n] = True

    async def do_root_pause(self, fault, names):
        end_intervals = [self.begin_interval(self.peers.paused_intervals, n) for n in fault.roots]
        for n in fault.roots:
            self.take_down(n)
            self.runner.pause(n, fault.lasts)
        await trio.sleep(fault.lasts)
        for n, end_interval in zip(fault.roots, end_intervals, strict=True):
            self.runner.resume(n)
            end_interval()
            self.is_up[n] = True

    def affected_links(self, fault, both):
        """Return [(pair of roots, link)] that a fault concerns; if `both`, in both directions."""
        others = (
            [n for n in range(self.scenario.roots) if n not in fault.roots or len(fault.roots) > 1]
            if fault.to is None
            else fault.to
        )
        return [
            (pair, link)
            for pair, link in self.links.links.items()
            if pair[0] in fault.roots
            and pair[1] in others
            or both
            and pair[1] in fault.roots
            and pair[0] in others
        ]

    async def set_link_faults(self, fault, both, **changes):
        """Set these faults of links between roots while the fault lasts."""
        affected = self.affected_links(fault, both)
        end_intervals = (
            [self.begin_interval(self.peers.cut_intervals, *pair) for pair, _ in affected]
            if "cut" in changes
            else [self.begin_interval(self.peers.degraded_intervals)]
        )
        for _, link in affected:
            for name, value in changes.items():
                setattr(link, name, value)
        await trio.sleep(fault.lasts)
        for _, link in affected:
            for name in changes:
                setattr(link, name, getattr(Link(), name))
        await trio.sleep(
            changes.get("delay_s", 0.0) + changes.get("jitter_s", 0.0) + changes.get("late_s", 0.0)
        )
        for end_interval in end_intervals:
            end_interval()

    async def do_link_cut(self, fault, names):
        await self.set_link_faults(fault, True, cut=True)

    async def do_link_oneway(self, fault, names):
        await self.set_link_faults(fault, False, cut=True)

    async def do_link_loss(self, fault, names):
        await self.set_link_faults(fault, True, loss=fault.share)

    async def do_link_twice(self, fault, names):
        """Duplicates of datagrams arrive up to `ms` late, even from an incarnation that ended."""
        await self.set_link_faults(fault, True, twice=fault.share, late_s=fault.ms / 1000)

    async def do_link_delay(self, fault, names):
        """Datagrams and streams are delayed from these roots, not to them."""
        await self.set_link_faults(fault, False, delay_s=fault.ms / 1000, jitter_s=fault.ms / 1000)

    async def set_leaf_link_faults(self, fault, names, links, **changes):
        """Set these faults of links between roots and leaves while the fault lasts."""
        affected = [
            direction[n, name] for direction in links for n in fault.roots for name in names
        ]
        for link in affected:
            for name, value in changes.items():
                setattr(link, name, value)
        await trio.sleep(fault.lasts)
        for link in affected:
            for name in changes:
                setattr(link, name, getattr(Link(), name))

    async def do_leaf_cut(self, fault, names):
        """Links between these roots and leaves are cut in both directions, without a reset."""
        await self.set_leaf_link_faults(
            fault, names, (self.leaf_links.there, self.leaf_links.back), cut=True
        )

    async def do_leaf_oneway(self, fault, names):
        """The leaves receive and execute statements, but their replies do not arrive."""
        await self.set_leaf_link_faults(fault, names, (self.leaf_links.back,), cut=True)

    async def do_leaf_delay(self, fault, names):
        await self.set_leaf_link_faults(
            fault, names, (self.leaf_links.back,), delay_s=fault.ms / 1000, jitter_s=fault.ms / 1000
        )

    async def do_leaf_reset(self, fault, names):
        """All connections between these roots and leaves are reset twice a second."""
        end = trio.current_time() + fault.lasts
        while trio.current_time() < end:
            for n in fault.roots:
                for name in names:
                    self.leaf_links.streams.reset((n, name))
            await trio.sleep(0.5)

    # ---- views ----

    async def sample_views(self, n):
        """Request root n's view periodically, bypassing the links."""
        while True:
            await trio.sleep(VIEW_INTERVAL_S)
            if not self.is_up[n]:
                continue
            self.view_request_id += 1
            asked, start_count = self.clock(), self.runner.start_counts[n]
            try:
                view = await exchange.request_view(
                    self.network, self.runner.addresses[n], self.codec, self.view_request_id
                )
            except exchange.EXCHANGE_ERRORS:
                continue
            if self.is_up[n] and self.runner.start_counts[n] == start_count:
                self.peers.samples.append(ViewSample(n, asked, self.clock(), view))

    async def play(self, start_roots=None):
        """Play the scenario and return its record."""
        await super().play(self.start_roots)
        # The rules concern the time at which a root sent something, not when the link delivered it.
        roots = {query.id: query.root for query in self.record.queries}
        for n, event in enumerate(self.record.leaf_events):
            if event.what == "arrived" and query_id_of(event) in roots:
                at = self.leaf_links.streams.sent_at(
                    (roots[query_id_of(event)], event.leaf), event.at
                )
                if at != event.at:
                    self.record.leaf_events[n] = dataclasses.replace(event, at=at)
        return self.record

    async def start_roots(self, run, background):
        """Start the roots, and wait until they have found each other."""
        self.background, end_interval = (
            background,
            self.begin_interval(self.peers.degraded_intervals),
        )
        self.leaf_links = LeafRelays(
            self.network, self.scenario.roots, self.fleet.leaves, self.seed, "127.0.0.1"
        )
        await background.start(self.leaf_links.run)
        await self.runner.prepare(background)
        for n in range(self.scenario.roots):
            await self.runner.start(n)
            self.is_up[n] = True
            background.start_soon(self.sample_views, n)
        self.publish_roster()
        with trio.move_on_after(self.peers.agreement_bound_s):
            while not all(
                any(
                    v.root == n
                    and sum(p.state == "alive" for p in v.view.peers) == self.scenario.roots - 1
                    for v in self.peers.samples
                )
                for n in range(self.scenario.roots)
            ):
                await trio.sleep(0.1)
        end_interval()


class RootRunner:
    """Base class for starting, ending and pausing roots."""

    def __init__(self, scenario, breach):
        self.scenario, self.breach, self.run = scenario, breach, None
        self.start_counts, self.addresses = [0] * scenario.roots, [""] * scenario.roots

    def record_start(self, n, address):
        """Record that root n serves clients at the address."""
        self.start_counts[n] += 1
        while len(self.run.root_addresses) <= n:
            self.run.root_addresses.append("")
        self.run.root_addresses[n] = address


class InMemoryRoots(RootRunner):
    """Roots in this process, on the network and clock of the run."""

    clock = staticmethod(trio.current_time)

    def __init__(self, scenario, breach):
        super().__init__(scenario, breach)
        self.scopes, self.endpoint_files, self.paused_until = {}, {}, {}

    async def prepare(self, nursery):
        """Connect the links to the network, and create the endpoint file of each root."""
        self.nursery = nursery
        links, delivery_delays = self.run.links, self.run.links.delivery_delays
        links.attach(self.run.network)

        def delays_with_pauses(a, b):
            pause_s = max(
                0.0, *(self.paused_until.get(n, 0.0) - trio.current_time() for n in (a, b))
            )
            return tuple(delay + pause_s for delay in delivery_delays(a, b))

        may_connect = self.run.network.may_connect
        links.delivery_delays = delays_with_pauses
        self.run.network.may_connect = lambda host, target: may_connect(host, target) and not any(
            links.numbers.get(a.partition(":")[0]) in self.paused_until for a in (host, target)
        )
        for n in range(self.scenario.roots):
            rewrite = partial(self.run.leaf_links.roster, n)
            self.endpoint_files[n] = InMemoryEndpointFile(rewrite(demo.roster_text(self.run.fleet)))
            self.run.roster_writers.append(
                lambda text, n=n, rewrite=rewrite: setattr(
                    self.endpoint_files[n], "text", rewrite(text)
                )
            )
            self.addresses[n] = f"{root_host(n)}:7400"

    async def start(self, n):
        """Start root n."""
        seeds = [address for m, address in enumerate(self.addresses) if m != n]
        rng = random.Random(f"root {self.run.seed} {n} {self.start_counts[n]}")
        config = demo.config(
            **root_config(self.scenario, n, "roster.json5"),
            peers=peers_section(self.scenario, n, self.addresses[n], seeds),
        )
        root = Root(
            config,
            self.run.network,
            logs.null_logger(),
            self.endpoint_files[n],
            seed=self.run.seed * 100 + n,
            random=rng.randbytes,
        )
        defects.plant(self.breach, root)

        async def run_root(task_status):
            with trio.CancelScope() as self.scopes[n]:
                async with trio.open_nursery() as nursery:
                    await nursery.start(root.run)
                    nursery.start_soon(publish_timestamps, root, self.run.clock)
                    task_status.started()

        await self.nursery.start(run_root)
        self.record_start(n, root.addresses[0])

    async def kill(self, n):
        """End root n at once."""
        self.scopes[n].cancel()
        await trio.sleep(0.001)

    end = kill

    def pause(self, n, duration_s):
        """Hold back all that root n sends and receives."""
        self.paused_until[n] = trio.current_time() + duration_s

    def resume(self, n):
        """End the pause of root n."""
        self.paused_until.pop(n, None)


class RootProcesses(RootRunner):
    """Roots as processes, with the relays in this process.

    Only processes started here are signalled, by their id.
    """

    clock = staticmethod(time.monotonic)  # the same for all processes of a machine

    def __init__(self, scenario, breach, folder):
        super().__init__(scenario, breach)
        self.folder, self.processes = Path(folder), {}

    async def prepare(self, nursery):
        """Choose the addresses, start the relays, and write each root's configuration."""
        # Each root gets a port that is free for datagrams and streams.
        for n in range(self.scenario.roots):
            datagram_socket = await self.run.network.bind_datagrams(f"{root_host(n)}:0")
            self.addresses[n] = datagram_socket.address
            datagram_socket.close()
        self.relays = Relays(self.run.links, self.run.network, self.addresses)
        await nursery.start(self.relays.run)
        for n in range(self.scenario.roots):
            roster = self.folder / f"roster-{n}.json5"

            def write(text, roster=roster, n=n):
                temporary = roster.with_suffix(".new")
                temporary.write_text(self.run.leaf_links.roster(n, text))
                temporary.rename(roster)

            write(demo.roster_text(self.run.fleet))
            self.run.roster_writers.append(write)
            seeds = [self.relays.address(n, m) for m in range(self.scenario.roots) if m != n]
            config = {
                **root_config(self.scenario, n, roster.name),
                "peers": peers_section(self.scenario, n, self.addresses[n], seeds),
            }
            (self.folder / f"root-{n}.json5").write_text(json.dumps(config))

    async def start(self, n):
        """Start the process of root n, and wait until it serves."""
        command = [
            sys.executable,
            "-m",
            "mothnotch.badday.root",
            str(self.folder / f"root-{n}.json5"),
            self.breach,
        ]
        process = self.processes[n] = subprocess.Popen(
            command, stdin=subprocess.DEVNULL, stdout=subprocess.PIPE, text=True
        )
        with trio.fail_after(START_TIMEOUT_S):
            line = await trio.to_thread.run_sync(process.stdout.readline, abandon_on_cancel=True)
        if "postgresql://" not in line:
            raise RuntimeError(f"root {n} did not start; its first line of output: {line!r}")
        self.record_start(n, line.split("postgresql://")[1].split()[0])

    async def kill(self, n):
        """Kill root n."""
        self.processes[n].kill()
        await trio.to_thread.run_sync(self.processes[n].wait)

    async def end(self, n):
        """Terminate root n in an orderly way."""
        self.processes[n].terminate()
        await trio.to_thread.run_sync(self.processes[n].wait)

    def pause(self, n, duration_s):
        """Stop the process of root n."""
        self.processes[n].send_signal(signal.SIGSTOP)

    def resume(self, n):
        """Continue the process of root n."""
        self.processes[n].send_signal(signal.SIGCONT)

    def close(self):
        """Terminate all processes."""
        for process in self.processes.values():
            if process.poll() is None:
                # A stopped process does not handle SIGTERM.
                process.send_signal(signal.SIGCONT)
        terminate_all(self.processes.values())


def play_virtual(scenario, seed):
    """Play a fleet day on a virtual clock; return its record and the peers' record."""

    async def main():
        run = FleetScenarioRun(
            scenario, seed, MemoryNetwork(), 0.0, InMemoryRoots(scenario, scenario.breach)
        )
        return await run.play(), run.peers

    return run_on_virtual_clock(main, seed)


def play_sockets(scenario, seed, slack_s=0.15):
    """Play a fleet day over loopback sockets, with a process for each root."""

    async def main(folder):
        runner = RootProcesses(scenario, scenario.breach, folder)
        try:
            run = FleetScenarioRun(scenario, seed, net.SocketNetwork(), slack_s, runner)
            return await run.play(), run.peers
        finally:
            runner.close()

    with tempfile.TemporaryDirectory(prefix="mothnotch-") as folder:
        return trio.run(main, folder)
