"""Plays a script: leaves, roots, clients and troubles, over sockets or in memory on a virtual
clock.

Over sockets the roots are processes of their own (`mothnotch serve`), and everything is judged from
this side of their sockets. In memory the same program runs on trio's MockClock: the same seed gives
the same transcript.
"""

import json
import random
import re
import subprocess
import sys
import tempfile
from pathlib import Path

import trio
import trio.testing

from mothnotch import demo, logs, net
from mothnotch.audit import defects
from mothnotch.audit.catalogue_updates import updates_from_catalogue
from mothnotch.audit.rules import DayRecord, QueryRecord
from mothnotch.badday.catalogue import CatalogueNews, CatalogueTroubles
from mothnotch.daemon import Root
from mothnotch.net.memory import MemoryNetwork
from mothnotch.root.endpoint_file import InMemoryEndpointFile
from mothnotch.standins.client import Client, ConnectionLostError
from mothnotch.standins.leaf import Fleet, LeafFaults

LOOKUP = "SELECT count(*), coalesce(sum(qty), 0) FROM orders WHERE bin >= $1::int AND bin < $2::int AND order_id <> $3"
SEARCH = "SELECT count(*), coalesce(sum(qty), 0) FROM stock WHERE item <> $1"
HOLD = "INSERT INTO holds (bin, order_id, item, qty) VALUES ($1::int, $2, 'rice', 1)"
MISSING = re.compile(r"bin ranges missing: (.*)$")
END_S = 3.0  # after the last ask: what is under way ends, late sends show


def configuration(script, me, roster, consul=None):
    """A root's configuration for the day, as plain JSON; its list comes from a roster file or from
    Consul.
    """
    load = script.load
    classes = {name: dict(figures) for name, figures in demo.CONFIG["classes"].items()}
    for figures in classes.values():
        figures["deadline_ms"] = load.timeout_ms
        figures["aim_ms"] = load.timeout_ms / 2
    rules = {
        "cold_from": script.leaves.cold_from,
        "cold_s": script.leaves.cold_s,
        "fall_multiple": script.leaves.fall_multiple,
        "fall_s": script.leaves.fall_s,
        "drain_grace_ms": script.drain_grace_ms,
    }
    if script.budget_share is not None:
        rules |= {
            "budget_share": script.budget_share,
            "budget_free": script.budget_free,
            "budget_window_s": script.budget_window_s,
        }
    source = {"roster": roster} if consul is None else {"roster": None, "consul": consul}
    return {
        **demo.CONFIG,
        **source,
        "classes": classes,
        "rules": rules,
        "seed": 100 + me,
        "root": {"roots": script.roots, "me": me, "zone": demo.ZONES[me % 2]},
        "log": {"format": "json", "level": "warning"},
        "leaves": {"connect_timeout_ms": 300.0},
    }


class Day(CatalogueTroubles):
    """One day under way."""

    def __init__(self, script, seed, network, slack_s):
        self.script, self.seed, self.network = script, seed, network
        self.random = random.Random(f"day {seed}")
        self.record = DayRecord(drain_grace_s=script.drain_grace_ms / 1000, slack_s=slack_s)
        self.config = demo.config(
            **{k: v for k, v in configuration(script, 0, "roster.json5").items()}
        )
        c = self.config
        for name, kind in c.classes.items():
            self.record.min_answer_weights[name], self.record.latency_objectives_s[name] = (
                kind.floor,
                kind.aim_ms / 1000,
            )
            self.record.priority_weights[name] = kind.worth
            if kind.repeat_window_ms:
                self.record.repeat_windows_s[name] = kind.repeat_window_ms / 1000
        self.record.rules = c.settings().rules
        s = script.leaves
        self.store, self.leaves = demo.create_leaves(
            network,
            self.record.leaf_events.append,
            seed=seed,
            rows=script.rows,
            cores=s.cores,
            work_ms=s.work_ms,
            cold_from=s.cold_from,
            cold_s=s.cold_s,
            fall_multiple=s.fall_multiple,
            fall_s=s.fall_s,
            count=s.count,
        )
        self.schema = c.schema()
        self.load, self.retry, self.hot, self.stale = 1.0, script.load.retry, False, False
        self.idle, self.open, self.numbers = {}, 0, 0
        self.rosters, self.addresses = [], []
        self.news = CatalogueNews(self, script.consul) if script.consul is not None else None

    # ---- roster ----

    def tell(self):
        """Writes the roster to every root, unless discovery is stale."""
        if self.news is not None:
            self.news.tell()
            return
        if self.stale:
            return
        now = trio.current_time()
        for name, state in self.fleet.states.items():
            if not self.told or self.told.get(name) != state:
                self.record.endpoint_updates.append((now, name, state, None))
                self.told[name] = state
        text = demo.roster_text(self.fleet)
        if self.script.news_late_s and trio.current_time() > 0:
            self.life.start_soon(self.tell_late, text)
            return
        for write in self.rosters:
            write(text)

    async def tell_late(self, text):
        await trio.sleep(self.script.news_late_s)
        for write in self.rosters:
            write(text)

    # ---- troubles ----

    async def trouble(self, t):
        await trio.sleep(t.at)
        await getattr(self, "do_" + t.kind)(t, self.chosen(t))

    def chosen(self, t):
        names = sorted(self.fleet.leaves)
        if isinstance(t.leaves, list):
            return [n for n in t.leaves if n in self.fleet.leaves]
        return random.Random(f"{self.seed} {t.kind} {t.at}").sample(
            names, min(len(names), t.leaves)
        )

    def each(self, names):
        return [self.fleet.leaves[n] for n in names]

    async def during(self, t, names, **changes):
        for leaf in self.each(names):
            for key, value in changes.items():
                setattr(leaf.faults, key, value)
        await trio.sleep(t.lasts)
        sound = LeafFaults()
        for leaf in self.each(names):
            for key in changes:
                setattr(leaf.faults, key, getattr(sound, key))

    async def do_hang(self, t, names):
        await self.during(t, names, hang=True)

    async def do_slow(self, t, names):
        await self.during(t, names, slow=t.factor)

    async def do_shared_slow(self, t, names):
        await self.during(t, list(self.fleet.leaves), slow=min(t.factor, 2.0))

    async def do_fast_errors(self, t, names):
        await self.during(t, names, errors=t.share)

    async def do_lost_answers(self, t, names):
        """Commits are done and their word is lost: what the keys are for."""
        await self.during(t, names, lose=t.share)

    async def do_idle_reap(self, t, names):
        await self.during(t, names, idle_reap_s=0.2, silent_reap=t.share > 0.9)

    async def do_pauses(self, t, names):
        end = trio.current_time() + t.lasts
        while trio.current_time() < end:
            for leaf in self.each(names):
                leaf.faults.pause_until = trio.current_time() + 0.25
            await trio.sleep(0.8)

    async def do_crash(self, t, names):
        for leaf in self.each(names):
            leaf.stop()
        await trio.sleep(t.lasts)
        for name in names:
            await self.fleet.restart(name)
        self.tell()

    async def do_vanish(self, t, names):
        """Silent to all: connections stay open and say nothing, new ones get no answer; then it
        comes back cold.
        """
        for leaf in self.each(names):
            leaf.faults.hang = True
            if isinstance(self.network, MemoryNetwork):
                self.network.unreachable_addresses.add(leaf.settings.address)
        await trio.sleep(t.lasts)
        for name, leaf in zip(names, self.each(names), strict=True):
            if isinstance(self.network, MemoryNetwork):
                self.network.unreachable_addresses.discard(leaf.settings.address)
            leaf.stop()
            while leaf.up:
                await trio.sleep(0.01)
            await self.fleet.restart(name)
        self.tell()

    async def do_flapping(self, t, names):
        end = trio.current_time() + t.lasts
        while trio.current_time() < end:
            for leaf in self.each(names):
                leaf.stop()
            await trio.sleep(0.3)
            for name in names:
                await self.fleet.restart(name)
            self.tell()
            await trio.sleep(0.7)

    async def do_deploy(self, t, names):
        """Each by turns: told draining, gone, restarted cold, told up."""
        for name in names:
            self.fleet.states[name] = "draining"
            self.tell()
            await trio.sleep(0.6)
            self.fleet.leaves[name].stop()
            while self.fleet.leaves[name].up:
                await trio.sleep(0.01)
            self.fleet.states[name] = "removed"
            self.tell()
            await trio.sleep(max(0.2, t.lasts / max(1, len(names)) - 0.6))
            await self.fleet.restart(name)
            self.fleet.states[name] = "up"
            self.tell()

    async def do_replace(self, t, names):
        """Machines go without a word, and others take their place at new addresses: only the list
        tells which.
        """
        for leaf in self.each(names):
            leaf.faults.hang = True
            if isinstance(self.network, MemoryNetwork):
                self.network.unreachable_addresses.add(leaf.settings.address)
        await trio.sleep(0.2)
        for name, leaf in zip(names, self.each(names), strict=True):
            leaf.stop()
            while leaf.up:
                await trio.sleep(0.01)
            leaf.settings.address = "127.0.0.1:0"
            await self.fleet.restart(name)
        self.tell()

    async def do_burst(self, t, names):
        self.load *= t.factor
        await trio.sleep(t.lasts)
        self.load /= t.factor

    async def do_discovery_stale(self, t, names):
        if self.news is not None:
            await self.do_consul_lag(t, names)
            return
        self.stale = True
        await trio.sleep(t.lasts)
        self.stale = False
        self.tell()

    async def do_retry_abuse(self, t, names):
        self.retry = 1.0
        await trio.sleep(t.lasts)
        self.retry = self.script.load.retry

    async def do_hot_key(self, t, names):
        self.hot = True
        await trio.sleep(t.lasts)
        self.hot = False

    async def do_poison(self, t, names):
        """Statements with a poisoned value end the process that begins them; it comes back cold."""
        for leaf in self.fleet.leaves.values():
            leaf.faults.poison = "id:poison"
        end = trio.current_time() + t.lasts
        while trio.current_time() < end:
            self.nursery.start_soon(self.ask, "order-lookup", "poison-")
            await trio.sleep(0.5)
            for name, leaf in self.fleet.leaves.items():
                if not leaf.up and not leaf.overload_crashed and leaf.poison_crashed:
                    leaf.poison_crashed = False
                    await self.fleet.restart(name)
                    leaf.faults.poison = "id:poison"
            self.tell()
        for leaf in self.fleet.leaves.values():
            leaf.faults.poison = ""

    # ---- clients ----

    async def clients(self):
        """Open loop: asks come by their own clock, however the answers fare."""
        end = trio.current_time() + self.script.seconds
        names, weights = zip(*sorted(self.script.load.mix.items()), strict=True)
        while True:
            await trio.sleep(self.random.expovariate(self.script.load.rate * self.load))
            if trio.current_time() >= end:
                return
            if self.open < self.script.load.clients:
                self.nursery.start_soon(self.ask, self.random.choices(names, weights)[0])

    async def ask(self, kind, mark="", tries=0):
        r, self.open = self.random, self.open + 1
        try:
            root = self.pick()
            self.numbers += 1
            ask = QueryRecord(
                f"id:{mark}{self.numbers}",
                root,
                kind,
                kind == "hold-set",
                0.0,
                self.script.load.timeout_ms / 1000,
            )
            client = await self.client(root, kind)
            if client is None:
                return
            await self.run(ask, client)
        finally:
            self.open -= 1
        if ask.outcome == "refused" and tries < 3 and r.random() < self.retry:
            await self.ask(kind, mark, tries + 1)

    def pick(self):
        """The root that a client turns to."""
        return self.random.randrange(self.script.roots)

    async def client(self, root, kind):
        """A connection for that class at that root: an idle one, or a new one."""
        idle = self.idle.setdefault((root, kind), [])
        if idle:
            return idle.pop()
        client = Client(self.network, self.addresses[root])
        try:
            with trio.fail_after(5):
                await client.connect()
                if kind == "stock-search":
                    await client.query("SET mothnotch.class = 'stock-search'")
        except (ConnectionLostError, OSError, trio.TooSlowError):
            client.close()
            return None
        return client

    def prepare(self, ask):
        """(statement, values) of an ask; fills in what it needs and what each range alone would
        give.
        """
        r = self.random
        if ask.class_name == "stock-search":
            ask.shards = tuple(range(self.schema.shards))
            ask.expected = {
                s: self.alone(s, "SELECT count(*), coalesce(sum(qty), 0) FROM stock")
                for s in ask.shards
            }
            return SEARCH, (ask.id,)
        if ask.class_name == "hold-set":
            bin = 7 if self.hot else r.randrange(demo.BIN_COUNT)
            ask.shards = (self.schema.shard_of(bin),)
            return HOLD, (bin, ask.id)
        first = 0 if self.hot else r.randrange(self.schema.shards - 3)
        count = r.randint(1, 4)
        ask.shards = tuple(range(first, min(self.schema.shards, first + count)))
        ask.expected = {
            s: self.alone(s, "SELECT count(*), coalesce(sum(qty), 0) FROM orders")
            for s in ask.shards
        }
        return LOOKUP, (self.schema.range(first)[0], self.schema.range(ask.shards[-1])[1], ask.id)

    def alone(self, shard, sql):
        return tuple(self.store.ranges[shard].execute(sql).fetchone())

    async def run(self, ask, client):
        r, load = self.random, self.script.load
        sql, values = self.prepare(ask)
        leaves, cancels = r.random() < load.leave, r.random() < load.cancel
        patience, block = r.uniform(0.002, 0.05), ask.is_write and r.random() < load.transactions
        ask.started_at = trio.current_time()
        self.record.queries.append(ask)
        try:
            with trio.move_on_after(patience if leaves else ask.timeout_s + 5) as scope:
                async with trio.open_nursery() as nursery:
                    if cancels and not leaves:
                        nursery.start_soon(self.cancel_later, client, patience)
                    if block:
                        await client.query("BEGIN")
                        reply = await client.query(sql, *values)
                        if reply.error is None:
                            ask.started_at = (
                                trio.current_time()
                            )  # the client's time runs from the COMMIT
                            reply = await client.query("COMMIT")
                        else:
                            await client.query("ROLLBACK")
                    else:
                        reply = await client.query(sql, *values)
                    nursery.cancel_scope.cancel()
        except* (ConnectionLostError, OSError):
            ask.outcome = "lost"
        ask.ended_at = trio.current_time()
        if ask.outcome == "lost":
            client.close()
            return
        if scope.cancelled_caught:
            ask.outcome = "gone" if leaves else ""
            client.close()
            return
        self.take(ask, reply)
        ask.surplus_bytes = await client.surplus_bytes(0.03)
        if ask.surplus_bytes:
            client.close()
        else:
            self.idle.setdefault((ask.root, ask.class_name), []).append(client)

    async def cancel_later(self, client, seconds):
        await trio.sleep(seconds)
        try:
            await client.cancel()
        except OSError:
            pass

    def take(self, ask, reply):
        """What a reply says, by the documented table of SQLSTATEs."""
        ask.reply_count = len(reply.tags) + (reply.error is not None)
        if reply.error is not None:
            ask.sqlstate = reply.error.sqlstate
            ask.outcome = "refused" if ask.sqlstate == "53000" else "failed"
            return
        ask.outcome = "answered"
        if not ask.is_write:
            ask.value = tuple(int(v) for v in reply.rows[0])
            for notice in reply.notices:
                found = MISSING.search(notice.text)
                if notice.sqlstate == "01MN1" and found:
                    lows = [int(part.split("..")[0]) for part in found[1].split(", ")]
                    ask.missing = tuple(self.schema.shard_of(low) for low in lows)

    # ---- the day ----

    async def run_day(self, start_roots):
        """`start_roots(day, nursery)` starts the roots, filling in `rosters` and `addresses`."""
        async with trio.open_nursery() as life:
            self.fleet, self.told = Fleet(self.leaves, life), {}
            self.life = life
            await self.fleet.start(self.script.leaves.fresh)
            if self.news is not None:
                await self.news.start(life)
            await start_roots(self, life)
            async with trio.open_nursery() as self.nursery:
                for trouble in self.script.troubles:
                    self.nursery.start_soon(self.trouble, trouble)
                await self.clients()
            await trio.sleep(END_S)
            for idle in self.idle.values():
                for client in idle:
                    client.close()
            life.cancel_scope.cancel()
        if self.news is not None:
            self.record.endpoint_updates = updates_from_catalogue(self.news.answers)
        for db in self.store.ranges:
            for order_id, n in db.execute("SELECT order_id, count(*) FROM holds GROUP BY order_id"):
                self.record.effect_counts[order_id] = self.record.effect_counts.get(order_id, 0) + n
        return self.record


async def roots_in_memory(day, life):
    for me in range(day.script.roots):
        source = None
        if day.news is None:
            source = InMemoryEndpointFile(demo.roster_text(day.fleet))
            day.rosters.append(lambda text, source=source: setattr(source, "text", text))
        config = demo.config(
            **configuration(day.script, me, "roster.json5", day.news and day.news.config())
        )
        seeded = random.Random(f"root {day.seed} {me}")
        root = Root(
            config,
            day.network,
            logs.null_logger(),
            source,
            seed=day.seed * 100 + me,
            random=seeded.randbytes,
        )
        defects.plant(day.script.breach, root)
        await life.start(root.run)
        day.addresses.append(root.addresses[0])
    day.tell()


def on_virtual_clock(main, seed):
    """Runs a day on a clock that costs no time; the same seed gives the same run."""
    run = trio._core._run
    run._ALLOW_DETERMINISTIC_SCHEDULING = True  # trio's own switch for reproducible runs
    run._r.seed(seed)
    return trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def terminate_all(processes):
    """Ends processes that were started here: all are asked, and after 5 s each is killed."""
    for process in processes:
        process.terminate()
    for process in processes:
        try:
            process.wait(5)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()


def play_virtual(script, seed):
    """The record of a day on a virtual clock."""
    network = MemoryNetwork()

    async def main():
        day = Day(script, seed, network, slack_s=0.0)
        defects.plant_in_leaves(script.breach, day)
        return await day.run_day(roots_in_memory)

    return on_virtual_clock(main, seed)


def play_sockets(script, seed, slack_s=0.15):
    """The record of a day over loopback sockets, each root a process of its own."""
    processes = []

    async def roots(day, life):
        folder = Path(day.folder)
        for me in range(day.script.roots):
            roster = folder / f"roster-{me}.json5"

            def write(text, roster=roster):
                whole = roster.with_suffix(".new")
                whole.write_text(text)
                whole.rename(roster)

            write(demo.roster_text(day.fleet))
            day.rosters.append(write)
            config = folder / f"root-{me}.json5"
            config.write_text(
                json.dumps(
                    configuration(day.script, me, roster.name, day.news and day.news.config())
                )
            )
            process = subprocess.Popen(
                [sys.executable, "-m", "mothnotch", "serve", "--config", str(config)],
                stdin=subprocess.DEVNULL,
                stdout=subprocess.PIPE,
                text=True,
            )
            processes.append(process)
        for process in processes:
            line = await trio.to_thread.run_sync(process.stdout.readline)
            if "postgresql://" not in line:
                raise RuntimeError(f"a root did not start: {line!r}")
            day.addresses.append(line.split("postgresql://")[1].split()[0])
        day.tell()

    async def main(folder):
        day = Day(script, seed, net.SocketNetwork(), slack_s)
        day.folder = folder
        defects.plant_in_leaves(script.breach, day)
        return await day.run_day(roots)

    with tempfile.TemporaryDirectory(prefix="mothnotch-") as folder:
        try:
            return trio.run(main, folder)
        finally:
            terminate_all(processes)


def transcript(record):
    """Every ask and everything the leaves saw, as lines: two runs of a seed must give the same."""
    lines = [
        f"{a.started_at:.6f} {a.id} root={a.root} {a.class_name} {a.outcome} {a.sqlstate} {a.ended_at or 0:.6f} {a.value} {a.missing}"
        for a in record.queries
    ]
    return lines + [f"{s.at:.6f} {s.leaf} {s.what} {s.text} {s.values}" for s in record.leaf_events]
