"""A fleet day: roots that speak with one another, with faults of theirs and of the links between
them.

One script, one meaning: a bad day's load, leaves, troubles and six rules, and beside them what
befalls roots and links, and what the roots believed of one another. Over sockets every root is a
process (`python -m mothnotch.badday.root`) that is killed, stopped and continued by its id, and a
relay stands on every link; in memory the same classes run on the virtual clock. There a pause holds
back all that a root says and hears; its own clock goes on, which a stopped process's does not.
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
from mothnotch.badday.play import Day, configuration, on_virtual_clock, terminate_all
from mothnotch.daemon import Root
from mothnotch.net.memory import MemoryNetwork
from mothnotch.peers import exchange
from mothnotch.peers.codec import Codec
from mothnotch.root.endpoint_file import InMemoryEndpointFile

KEY, FLEET = "a key of the fleet day", "fleet day"
LOOK_S = 0.25  # how often each root is asked what it believes
STARTED_S = 20.0  # that a root's process may take to serve
FACT_SPAN_US = 60_000_000


def root_host(n):
    return f"127.0.1.{n + 1}"


def peers_section(script, n, listen, seeds):
    return {
        "name": f"r{n}",
        "listen": listen,
        "seeds": seeds,
        "fleet": FLEET,
        "keys": [KEY],
        "period_ms": script.peers.period_ms,
    }


async def chatter(root, clock):
    """States a fact each second whose value is when it was said, so that its age can be checked
    from outside.
    """
    while True:
        root.peers.publish("day", f"{clock():.6f}".encode(), FACT_SPAN_US)
        await trio.sleep(1)


class FleetDay(Day):
    """`runner` starts, ends and holds roots: Processes or InMemory."""

    def __init__(self, script, seed, network, slack_s, runner):
        super().__init__(script, seed, network, slack_s)
        period = script.peers.period_ms / 1000
        self.peers = PeersRecord(
            [f"r{n}" for n in range(script.roots)],
            gone_bound_s=script.peers.gone * period,
            agreement_bound_s=script.peers.agree * period,
            fact_bound_s=script.peers.fact * period,
        )
        self.links = Links([root_host(n) for n in range(script.roots)], seed)
        self.codec, self.runner, self.look = Codec(FLEET, [KEY.encode()]), runner, 0
        self.up = [False] * script.roots
        self.bytes = {}  # root -> (datagrams sent, read) as it last said
        runner.day = self

    def clock(self):
        """The clock that roots stamp their facts by, and the record's: no wall clock, which may be
        set meanwhile.
        """
        return self.runner.clock()

    def pick(self):
        """Clients come to roots that run, as a balancer in front sends them."""
        up = [n for n, runs in enumerate(self.up) if runs]
        return self.random.choice(up) if up else super().pick()

    async def run(self, ask, client):
        begun, asked_of = self.clock(), self.runner.lives[ask.root]
        await super().run(ask, client)
        if not self.up[ask.root] or self.runner.lives[ask.root] != asked_of:
            self.leave_client(
                client, ask.root
            )  # it was put back for the next ask while the root went
        held = [
            (a, b)
            for n, a, b in (*self.peers.down_intervals, *self.peers.paused_intervals)
            if n == ask.root and b > begun
        ]
        if (
            held
            and ask.outcome in ("lost", "")
            or ask.outcome == "lost"
            and self.runner.lives[ask.root] != asked_of
        ):
            ask.outcome = "gone"  # with its root: no root can answer for a dead one
            ask.ended_at = float("inf")
        elif held and ask.ended_at - ask.started_at > ask.timeout_s:
            ask.outcome = "gone"

    # ---- troubles ----

    def mark(self, spans, *key):
        """Begins a span of the record; gives what ends it."""
        spans.append((*key, self.clock(), float("inf")))

        def ended():
            at = next(
                i
                for i in range(len(spans) - 1, -1, -1)
                if spans[i][: len(key)] == key and spans[i][-1] == float("inf")
            )
            spans[at] = (*spans[at][:-1], self.clock())

        return ended

    def leave(self, n):
        """Clients let go of a root's connections."""
        self.up[n] = False
        for (root, _), idle in self.idle.items():
            while root == n and idle:
                idle.pop().close()

    def leave_client(self, client, n):
        client.close()
        for (root, _), idle in self.idle.items():
            if root == n and client in idle:
                idle.remove(client)

    async def do_root_kill(self, t, names):
        await self.without(t, self.runner.kill)

    async def do_root_restart(self, t, names):
        await self.without(t, self.runner.end)

    async def without(self, t, end):
        ended = [self.mark(self.peers.down_intervals, n) for n in t.roots]
        for n in t.roots:
            self.leave(n)
            await end(n)
        await trio.sleep(t.lasts)
        for n, over in zip(t.roots, ended, strict=True):
            await self.runner.start(n)
            over()
            self.up[n] = True

    async def do_root_pause(self, t, names):
        ended = [self.mark(self.peers.paused_intervals, n) for n in t.roots]
        for n in t.roots:
            self.leave(n)
            self.runner.pause(n, t.lasts)
        await trio.sleep(t.lasts)
        for n, over in zip(t.roots, ended, strict=True):
            self.runner.resume(n)
            over()
            self.up[n] = True

    def affected(self, t, both):
        to = (
            [n for n in range(self.script.roots) if n not in t.roots or len(t.roots) > 1]
            if t.to is None
            else t.to
        )
        return [
            (pair, link)
            for pair, link in self.links.links.items()
            if pair[0] in t.roots and pair[1] in to or both and pair[1] in t.roots and pair[0] in to
        ]

    async def on_links(self, t, both, **changes):
        found = self.affected(t, both)
        ended = (
            [self.mark(self.peers.cut_intervals, *pair) for pair, _ in found]
            if "cut" in changes
            else [self.mark(self.peers.degraded_intervals)]
        )
        for _, link in found:
            for name, value in changes.items():
                setattr(link, name, value)
        await trio.sleep(t.lasts)
        for _, link in found:
            for name in changes:
                setattr(link, name, getattr(Link(), name))
        await trio.sleep(
            changes.get("delay_s", 0.0) + changes.get("jitter_s", 0.0) + changes.get("late_s", 0.0)
        )
        for over in ended:
            over()

    async def do_link_cut(self, t, names):
        await self.on_links(t, True, cut=True)

    async def do_link_oneway(self, t, names):
        await self.on_links(t, False, cut=True)

    async def do_link_loss(self, t, names):
        await self.on_links(t, True, loss=t.share)

    async def do_link_twice(self, t, names):
        """Second copies, up to `ms` late: long after a life has ended, its word comes again."""
        await self.on_links(t, True, twice=t.share, late_s=t.ms / 1000)

    async def do_link_delay(self, t, names):
        """Of what these roots say, not of what they hear."""
        await self.on_links(t, False, delay_s=t.ms / 1000, jitter_s=t.ms / 1000)

    async def on_leaf_links(self, t, names, links, **changes):
        found = [side[n, name] for side in links for n in t.roots for name in names]
        for link in found:
            for name, value in changes.items():
                setattr(link, name, value)
        await trio.sleep(t.lasts)
        for link in found:
            for name in changes:
                setattr(link, name, getattr(Link(), name))

    async def do_leaf_cut(self, t, names):
        """Silence between these roots and these leaves, both ways, and no reset."""
        await self.on_leaf_links(t, names, (self.leaf_links.there, self.leaf_links.back), cut=True)

    async def do_leaf_oneway(self, t, names):
        """The leaves hear and do what is asked; no answer comes."""
        await self.on_leaf_links(t, names, (self.leaf_links.back,), cut=True)

    async def do_leaf_delay(self, t, names):
        await self.on_leaf_links(
            t, names, (self.leaf_links.back,), delay_s=t.ms / 1000, jitter_s=t.ms / 1000
        )

    async def do_leaf_reset(self, t, names):
        """Each connection is reset twice a second."""
        end = trio.current_time() + t.lasts
        while trio.current_time() < end:
            for n in t.roots:
                for name in names:
                    self.leaf_links.streams.reset((n, name))
            await trio.sleep(0.5)

    # ---- what the roots believe ----

    async def watch(self, n):
        """Asks one root, again and again, beside all links."""
        while True:
            await trio.sleep(LOOK_S)
            if not self.up[n]:
                continue
            self.look += 1
            asked, life = self.clock(), self.runner.lives[n]
            try:
                view = await exchange.request_view(
                    self.network, self.runner.targets[n], self.codec, self.look
                )
            except exchange.EXCHANGE_ERRORS:
                continue
            if self.up[n] and self.runner.lives[n] == life:
                self.peers.samples.append(ViewSample(n, asked, self.clock(), view))

    async def run_day(self, start_roots=None):
        await super().run_day(self.start_roots)
        # The rules are about what roots send: what a link held back counts from when it came there.
        roots = {ask.id: ask.root for ask in self.record.queries}
        for n, seen in enumerate(self.record.leaf_events):
            if seen.what == "arrived" and query_id_of(seen) in roots:
                at = self.leaf_links.streams.sent((roots[query_id_of(seen)], seen.leaf), seen.at)
                if at != seen.at:
                    self.record.leaf_events[n] = dataclasses.replace(seen, at=at)
        return self.record

    async def start_roots(self, day, life):
        self.life, begun = life, self.mark(self.peers.degraded_intervals)
        self.leaf_links = LeafRelays(
            self.network, self.script.roots, self.fleet.leaves, self.seed, "127.0.0.1"
        )
        await life.start(self.leaf_links.run)
        await self.runner.begin(life)
        for n in range(self.script.roots):
            await self.runner.start(n)
            self.up[n] = True
            life.start_soon(self.watch, n)
        self.tell()
        with trio.move_on_after(
            self.peers.agreement_bound_s
        ):  # the day begins once they have found each other
            while not all(
                any(
                    v.root == n
                    and sum(p.state == "alive" for p in v.view.peers) == self.script.roots - 1
                    for v in self.peers.samples
                )
                for n in range(self.script.roots)
            ):
                await trio.sleep(0.1)
        begun()


class Runner:
    def __init__(self, script, breach):
        self.script, self.breach, self.day = script, breach, None
        self.lives, self.targets = [0] * script.roots, [""] * script.roots

    def served(self, n, address):
        self.lives[n] += 1
        while len(self.day.addresses) <= n:
            self.day.addresses.append("")
        self.day.addresses[n] = address


class InMemory(Runner):
    """Roots in this process, on the network and clock of the day."""

    clock = staticmethod(trio.current_time)

    def __init__(self, script, breach):
        super().__init__(script, breach)
        self.scopes, self.sources, self.paused = {}, {}, {}

    async def begin(self, life):
        self.nursery = life
        links, fates = self.day.links, self.day.links.fates
        links.attach(self.day.network)

        def held(a, b):
            wait = max(0.0, *(self.paused.get(n, 0.0) - trio.current_time() for n in (a, b)))
            return tuple(delay + wait for delay in fates(a, b))

        passes = self.day.network.may_connect
        links.fates = held
        self.day.network.may_connect = lambda host, target: passes(host, target) and not any(
            links.numbers.get(a.partition(":")[0]) in self.paused for a in (host, target)
        )
        for n in range(self.script.roots):
            via = partial(self.day.leaf_links.roster, n)
            self.sources[n] = InMemoryEndpointFile(via(demo.roster_text(self.day.fleet)))
            self.day.rosters.append(
                lambda text, n=n, via=via: setattr(self.sources[n], "text", via(text))
            )
            self.targets[n] = f"{root_host(n)}:7400"

    async def start(self, n):
        seeds = [t for m, t in enumerate(self.targets) if m != n]
        seeded = random.Random(f"root {self.day.seed} {n} {self.lives[n]}")
        config = demo.config(
            **configuration(self.script, n, "roster.json5"),
            peers=peers_section(self.script, n, self.targets[n], seeds),
        )
        root = Root(
            config,
            self.day.network,
            logs.null_logger(),
            self.sources[n],
            seed=self.day.seed * 100 + n,
            random=seeded.randbytes,
        )
        defects.plant(self.breach, root)

        async def life(task_status):
            with trio.CancelScope() as self.scopes[n]:
                async with trio.open_nursery() as nursery:
                    await nursery.start(root.run)
                    nursery.start_soon(chatter, root, self.day.clock)
                    task_status.started()

        await self.nursery.start(life)
        self.served(n, root.addresses[0])

    async def kill(self, n):
        self.scopes[n].cancel()
        await trio.sleep(0.001)

    end = kill

    def pause(self, n, lasts):
        self.paused[n] = trio.current_time() + lasts

    def resume(self, n):
        self.paused.pop(n, None)


class Processes(Runner):
    """Each root a process, the relays in this one. Only processes started here are signalled, by
    their id.
    """

    clock = staticmethod(time.monotonic)  # one for all processes of a machine

    def __init__(self, script, breach, folder):
        super().__init__(script, breach)
        self.folder, self.processes = Path(folder), {}

    async def begin(self, life):
        for n in range(self.script.roots):  # a port of each root's, free for datagrams and streams
            box = await self.day.network.bind_datagrams(f"{root_host(n)}:0")
            self.targets[n] = box.address
            box.close()
        self.relays = Relays(self.day.links, self.day.network, self.targets)
        await life.start(self.relays.run)
        for n in range(self.script.roots):
            roster = self.folder / f"roster-{n}.json5"

            def write(text, roster=roster, n=n):
                whole = roster.with_suffix(".new")
                whole.write_text(self.day.leaf_links.roster(n, text))
                whole.rename(roster)

            write(demo.roster_text(self.day.fleet))
            self.day.rosters.append(write)
            seeds = [self.relays.address(n, m) for m in range(self.script.roots) if m != n]
            config = {
                **configuration(self.script, n, roster.name),
                "peers": peers_section(self.script, n, self.targets[n], seeds),
            }
            (self.folder / f"root-{n}.json5").write_text(json.dumps(config))

    async def start(self, n):
        words = [
            sys.executable,
            "-m",
            "mothnotch.badday.root",
            str(self.folder / f"root-{n}.json5"),
            self.breach,
        ]
        process = self.processes[n] = subprocess.Popen(
            words, stdin=subprocess.DEVNULL, stdout=subprocess.PIPE, text=True
        )
        with trio.fail_after(STARTED_S):
            line = await trio.to_thread.run_sync(process.stdout.readline, abandon_on_cancel=True)
        if "postgresql://" not in line:
            raise RuntimeError(f"root {n} did not start: {line!r}")
        self.served(n, line.split("postgresql://")[1].split()[0])

    async def kill(self, n):
        self.processes[n].kill()
        await trio.to_thread.run_sync(self.processes[n].wait)

    async def end(self, n):
        self.processes[n].terminate()
        await trio.to_thread.run_sync(self.processes[n].wait)

    def pause(self, n, lasts):
        self.processes[n].send_signal(signal.SIGSTOP)

    def resume(self, n):
        self.processes[n].send_signal(signal.SIGCONT)

    def close(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(
                    signal.SIGCONT
                )  # one that stands still would not hear that it is to end
        terminate_all(self.processes.values())


def play_virtual(script, seed):
    """(record, peers' record) of a fleet day on a virtual clock."""

    async def main():
        day = FleetDay(script, seed, MemoryNetwork(), 0.0, InMemory(script, script.breach))
        return await day.run_day(), day.peers

    return on_virtual_clock(main, seed)


def play_sockets(script, seed, slack_s=0.15):
    """The same over loopback sockets, each root a process of its own."""

    async def main(folder):
        runner = Processes(script, script.breach, folder)
        try:
            day = FleetDay(script, seed, net.SocketNetwork(), slack_s, runner)
            return await day.run_day(), day.peers
        finally:
            runner.close()

    with tempfile.TemporaryDirectory(prefix="mothnotch-") as folder:
        return trio.run(main, folder)
