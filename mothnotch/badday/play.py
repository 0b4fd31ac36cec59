"""Play a scenario with leaves, roots, clients and faults, over sockets or in memory.

Over sockets, each root is a process (`mothnotch serve`), and the rules are checked on what is
observed outside these processes. In memory, the same code runs on trio's MockClock, a virtual clock
on which the same seed gives the same transcript.
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
from mothnotch.badday.catalogue import CatalogueFaults, ConsulStandIn
from mothnotch.daemon import Root
from mothnotch.net.memory import MemoryNetwork
from mothnotch.root.endpoint_file import InMemoryEndpointFile
from mothnotch.standins.client import Client, ConnectionLostError
from mothnotch.standins.leaf import Fleet, LeafFaults

LOOKUP = "SELECT count(*), coalesce(sum(qty), 0) FROM orders WHERE bin >= $1::int AND bin < $2::int AND order_id <> $3"
SEARCH = "SELECT count(*), coalesce(sum(qty), 0) FROM stock WHERE item <> $1"
HOLD = "INSERT INTO holds (bin, order_id, item, qty) VALUES ($1::int, $2, 'rice', 1)"
MISSING_RANGES = re.compile(r"bin ranges missing: (.*)$")
# Wait after the last query, in which open queries end and late sends become visible.
SETTLE_S = 3.0


def root_config(scenario, me, roster, consul=None):
    """Return a root's configuration as plain JSON.

    The endpoint list comes from the roster file or, if `consul` is given, from Consul.
    """
    load = scenario.load
    classes = {name: dict(request_class) for name, request_class in demo.CONFIG["classes"].items()}
    for request_class in classes.values():
        request_class["deadline_ms"] = load.timeout_ms
        request_class["aim_ms"] = load.timeout_ms / 2
    rules = {
        "cold_from": scenario.leaves.cold_from,
        "cold_s": scenario.leaves.cold_s,
        "fall_multiple": scenario.leaves.fall_multiple,
        "fall_s": scenario.leaves.fall_s,
        "drain_grace_ms": scenario.drain_grace_ms,
    }
    if scenario.budget_share is not None:
        rules |= {
            "budget_share": scenario.budget_share,
            "budget_free": scenario.budget_free,
            "budget_window_s": scenario.budget_window_s,
        }
    source = {"roster": roster} if consul is None else {"roster": None, "consul": consul}
    return {
        **demo.CONFIG,
        **source,
        "classes": classes,
        "rules": rules,
        "seed": 100 + me,
        "root": {"roots": scenario.roots, "me": me, "zone": demo.ZONES[me % 2]},
        "log": {"format": "json", "level": "warning"},
        "leaves": {"connect_timeout_ms": 300.0},
    }


class ScenarioRun(CatalogueFaults):
    """One run of a scenario. The names of the `do_` methods are the kinds of faults."""

    def __init__(self, scenario, seed, network, slack_s):
        self.scenario, self.seed, self.network = scenario, seed, network
        self.random = random.Random(f"day {seed}")
        self.record = DayRecord(drain_grace_s=scenario.drain_grace_ms / 1000, slack_s=slack_s)
        self.config = demo.config(
            **{k: v for k, v in root_config(scenario, 0, "roster.json5").items()}
        )
        config = self.config
        for name, request_class in config.classes.items():
            self.record.min_answer_weights[name], self.record.latency_objectives_s[name] = (
                request_class.floor,
                request_class.aim_ms / 1000,
            )
            self.record.priority_weights[name] = request_class.worth
            if request_class.repeat_window_ms:
                self.record.repeat_windows_s[name] = request_class.repeat_window_ms / 1000
        self.record.rules = config.settings().rules
        leaves = scenario.leaves
        self.store, self.leaves = demo.create_leaves(
            network,
            self.record.leaf_events.append,
            seed=seed,
            rows=scenario.rows,
            cores=leaves.cores,
            work_ms=leaves.work_ms,
            cold_from=leaves.cold_from,
            cold_s=leaves.cold_s,
            fall_multiple=leaves.fall_multiple,
            fall_s=leaves.fall_s,
            count=leaves.count,
        )
        self.schema = config.schema()
        self.load_factor, self.retry_probability, self.is_key_hot, self.is_discovery_stale = (
            1.0,
            scenario.load.retry,
            False,
            False,
        )
        self.idle_clients, self.open_query_count, self.query_count = {}, 0, 0
        self.roster_writers, self.root_addresses = [], []
        self.consul = ConsulStandIn(self, scenario.consul) if scenario.consul is not None else None

    # ---- roster ----

    def publish_roster(self):
        """Write the roster for every root, unless discovery is stale."""
        if self.consul is not None:
            self.consul.update_registrations()
            return
        if self.is_discovery_stale:
            return
        now = trio.current_time()
        for name, state in self.fleet.states.items():
            if not self.published_states or self.published_states.get(name) != state:
                self.record.endpoint_updates.append((now, name, state, None))
                self.published_states[name] = state
        text = demo.roster_text(self.fleet)
        if self.scenario.news_late_s and trio.current_time() > 0:
            self.background.start_soon(self.publish_roster_late, text)
            return
        for write in self.roster_writers:
            write(text)

    async def publish_roster_late(self, text):
        """Write the roster for every root after the delay of the scenario."""
        await trio.sleep(self.scenario.news_late_s)
        for write in self.roster_writers:
            write(text)

    # ---- faults ----

    async def inject(self, fault):
        """Carry out a fault at its time."""
        await trio.sleep(fault.at)
        await getattr(self, "do_" + fault.kind)(fault, self.chosen_leaves(fault))

    def chosen_leaves(self, fault):
        """Return the names of the leaves that a fault concerns, chosen at random from the seed."""
        names = sorted(self.fleet.leaves)
        if isinstance(fault.leaves, list):
            return [n for n in fault.leaves if n in self.fleet.leaves]
        return random.Random(f"{self.seed} {fault.kind} {fault.at}").sample(
            names, min(len(names), fault.leaves)
        )

    def leaves_named(self, names):
        """Return the leaves with these names."""
        return [self.fleet.leaves[n] for n in names]

    async def set_leaf_faults(self, fault, names, **changes):
        """Set these faults of the leaves while the fault lasts."""
        for leaf in self.leaves_named(names):
            for key, value in changes.items():
                setattr(leaf.faults, key, value)
        await trio.sleep(fault.lasts)
        healthy = LeafFaults()
        for leaf in self.leaves_named(names):
            for key in changes:
                setattr(leaf.faults, key, getattr(healthy, key))

    async def do_hang(self, fault, names):
        await self.set_leaf_faults(fault, names, hang=True)

    async def do_slow(self, fault, names):
        await self.set_leaf_faults(fault, names, slow=fault.factor)

    async def do_shared_slow(self, fault, names):
        """All leaves are slow, by a factor of at most 2."""
        await self.set_leaf_faults(fault, list(self.fleet.leaves), slow=min(fault.factor, 2.0))

    async def do_fast_errors(self, fault, names):
        await self.set_leaf_faults(fault, names, errors=fault.share)

    async def do_lost_answers(self, fault, names):
        """Commits take effect, but their replies are lost; idempotency keys make a retry safe."""
        await self.set_leaf_faults(fault, names, lose=fault.share)

    async def do_idle_reap(self, fault, names):
        """Leaves drop idle connections, without closing them if `share` is above 0.9."""
        await self.set_leaf_faults(fault, names, idle_reap_s=0.2, silent_reap=fault.share > 0.9)

    async def do_pauses(self, fault, names):
        """Leaves pause for 0.25 s, about every 0.8 s."""
        end = trio.current_time() + fault.lasts
        while trio.current_time() < end:
            for leaf in self.leaves_named(names):
                leaf.faults.pause_until = trio.current_time() + 0.25
            await trio.sleep(0.8)

    async def do_crash(self, fault, names):
        for leaf in self.leaves_named(names):
            leaf.stop()
        await trio.sleep(fault.lasts)
        for name in names:
            await self.fleet.restart(name)
        self.publish_roster()

    async def do_vanish(self, fault, names):
        """Open connections stall and new ones are not answered, until the leaves restart cold."""
        for leaf in self.leaves_named(names):
            leaf.faults.hang = True
            if isinstance(self.network, MemoryNetwork):
                self.network.unreachable_addresses.add(leaf.settings.address)
        await trio.sleep(fault.lasts)
        for name, leaf in zip(names, self.leaves_named(names), strict=True):
            if isinstance(self.network, MemoryNetwork):
                self.network.unreachable_addresses.discard(leaf.settings.address)
            leaf.stop()
            while leaf.up:
                await trio.sleep(0.01)
            await self.fleet.restart(name)
        self.publish_roster()

    async def do_flapping(self, fault, names):
        """Leaves stop for 0.3 s and restart, about once a second."""
        end = trio.current_time() + fault.lasts
        while trio.current_time() < end:
            for leaf in self.leaves_named(names):
                leaf.stop()
            await trio.sleep(0.3)
            for name in names:
                await self.fleet.restart(name)
            self.publish_roster()
            await trio.sleep(0.7)

    async def do_deploy(self, fault, names):
        """One leaf after another is drained, removed, restarted cold and listed as up."""
        for name in names:
            self.fleet.states[name] = "draining"
            self.publish_roster()
            await trio.sleep(0.6)
            self.fleet.leaves[name].stop()
            while self.fleet.leaves[name].up:
                await trio.sleep(0.01)
            self.fleet.states[name] = "removed"
            self.publish_roster()
            await trio.sleep(max(0.2, fault.lasts / max(1, len(names)) - 0.6))
            await self.fleet.restart(name)
            self.fleet.states[name] = "up"
            self.publish_roster()

    async def do_replace(self, fault, names):
        """Machines are replaced without notice by others, whose addresses only the roster tells."""
        for leaf in self.leaves_named(names):
            leaf.faults.hang = True
            if isinstance(self.network, MemoryNetwork):
                self.network.unreachable_addresses.add(leaf.settings.address)
        await trio.sleep(0.2)
        for name, leaf in zip(names, self.leaves_named(names), strict=True):
            leaf.stop()
            while leaf.up:
                await trio.sleep(0.01)
            leaf.settings.address = "127.0.0.1:0"
            await self.fleet.restart(name)
        self.publish_roster()

    async def do_burst(self, fault, names):
        self.load_factor *= fault.factor
        await trio.sleep(fault.lasts)
        self.load_factor /= fault.factor

    async def do_discovery_stale(self, fault, names):
        if self.consul is not None:
            await self.do_consul_lag(fault, names)
            return
        self.is_discovery_stale = True
        await trio.sleep(fault.lasts)
        self.is_discovery_stale = False
        self.publish_roster()

    async def do_retry_abuse(self, fault, names):
        """All refused clients retry at once."""
        self.retry_probability = 1.0
        await trio.sleep(fault.lasts)
        self.retry_probability = self.scenario.load.retry

    async def do_hot_key(self, fault, names):
        self.is_key_hot = True
        await trio.sleep(fault.lasts)
        self.is_key_hot = False

    async def do_poison(self, fault, names):
        """Statements with a poisoned value crash the leaf that runs them; it restarts cold."""
        for leaf in self.fleet.leaves.values():
            leaf.faults.poison = "id:poison"
        end = trio.current_time() + fault.lasts
        while trio.current_time() < end:
            self.query_nursery.start_soon(self.send_query, "order-lookup", "poison-")
            await trio.sleep(0.5)
            for name, leaf in self.fleet.leaves.items():
                if not leaf.up and not leaf.overload_crashed and leaf.poison_crashed:
                    leaf.poison_crashed = False
                    await self.fleet.restart(name)
                    leaf.faults.poison = "id:poison"
            self.publish_roster()
        for leaf in self.fleet.leaves.values():
            leaf.faults.poison = ""

    # ---- clients ----

    async def run_clients(self):
        """Start queries at random times, independent of the answers (open loop)."""
        end = trio.current_time() + self.scenario.seconds
        names, weights = zip(*sorted(self.scenario.load.mix.items()), strict=True)
        while True:
            await trio.sleep(self.random.expovariate(self.scenario.load.rate * self.load_factor))
            if trio.current_time() >= end:
                return
            if self.open_query_count < self.scenario.load.clients:
                self.query_nursery.start_soon(
                    self.send_query, self.random.choices(names, weights)[0]
                )

    async def send_query(self, class_name, id_prefix="", attempt=0):
        """Send a query of a class to a root and record it; possibly retry if it is refused."""
        rng, self.open_query_count = self.random, self.open_query_count + 1
        try:
            root = self.pick_root()
            self.query_count += 1
            query = QueryRecord(
                f"id:{id_prefix}{self.query_count}",
                root,
                class_name,
                class_name == "hold-set",
                0.0,
                self.scenario.load.timeout_ms / 1000,
            )
            client = await self.acquire_client(root, class_name)
            if client is None:
                return
            await self.run_query(query, client)
        finally:
            self.open_query_count -= 1
        if query.outcome == "refused" and attempt < 3 and rng.random() < self.retry_probability:
            await self.send_query(class_name, id_prefix, attempt + 1)

    def pick_root(self):
        """Return the root to which a client sends its next query."""
        return self.random.randrange(self.scenario.roots)

    async def acquire_client(self, root, class_name):
        """Return an idle or a new connection to the root for queries of the class, or None."""
        idle = self.idle_clients.setdefault((root, class_name), [])
        if idle:
            return idle.pop()
        client = Client(self.network, self.root_addresses[root])
        try:
            with trio.fail_after(5):
                await client.connect()
                if class_name == "stock-search":
                    await client.query("SET mothnotch.class = 'stock-search'")
        except (ConnectionLostError, OSError, trio.TooSlowError):
            client.close()
            return None
        return client

    def prepare_statement(self, query):
        """Return (statement, values) of a query.

        Set the ranges that the query needs, and the values that each of them alone yields.
        """
        rng = self.random
        if query.class_name == "stock-search":
            query.shards = tuple(range(self.schema.shard_count))
            query.expected = {
                s: self.range_values(s, "SELECT count(*), coalesce(sum(qty), 0) FROM stock")
                for s in query.shards
            }
            return SEARCH, (query.id,)
        if query.class_name == "hold-set":
            bin = 7 if self.is_key_hot else rng.randrange(demo.BIN_COUNT)
            query.shards = (self.schema.shard_of(bin),)
            return HOLD, (bin, query.id)
        first = 0 if self.is_key_hot else rng.randrange(self.schema.shard_count - 3)
        count = rng.randint(1, 4)
        query.shards = tuple(range(first, min(self.schema.shard_count, first + count)))
        query.expected = {
            s: self.range_values(s, "SELECT count(*), coalesce(sum(qty), 0) FROM orders")
            for s in query.shards
        }
        return LOOKUP, (
            self.schema.range(first)[0],
            self.schema.range(query.shards[-1])[1],
            query.id,
        )

    def range_values(self, shard, sql):
        """Return the result of a statement on one range alone."""
        return tuple(self.store.ranges[shard].execute(sql).fetchone())

    async def run_query(self, query, client):
        """Run a query on a connection, and record its outcome."""
        rng, load = self.random, self.scenario.load
        sql, values = self.prepare_statement(query)
        will_leave, will_cancel = rng.random() < load.leave, rng.random() < load.cancel
        delay_s, in_transaction = (
            rng.uniform(0.002, 0.05),
            query.is_write and rng.random() < load.transactions,
        )
        query.started_at = trio.current_time()
        self.record.queries.append(query)
        try:
            with trio.move_on_after(delay_s if will_leave else query.timeout_s + 5) as scope:
                async with trio.open_nursery() as nursery:
                    if will_cancel and not will_leave:
                        nursery.start_soon(self.cancel_after, client, delay_s)
                    if in_transaction:
                        await client.query("BEGIN")
                        reply = await client.query(sql, *values)
                        if reply.error is None:
                            # The client's timeout counts from the COMMIT.
                            query.started_at = trio.current_time()
                            reply = await client.query("COMMIT")
                        else:
                            await client.query("ROLLBACK")
                    else:
                        reply = await client.query(sql, *values)
                    nursery.cancel_scope.cancel()
        except* (ConnectionLostError, OSError):
            query.outcome = "lost"
        query.ended_at = trio.current_time()
        if query.outcome == "lost":
            client.close()
            return
        if scope.cancelled_caught:
            query.outcome = "gone" if will_leave else ""
            client.close()
            return
        self.record_reply(query, reply)
        query.surplus_bytes = await client.surplus_bytes(0.03)
        if query.surplus_bytes:
            client.close()
        else:
            self.idle_clients.setdefault((query.root, query.class_name), []).append(client)

    async def cancel_after(self, client, seconds):
        """Send a cancel request for the client's query after a delay."""
        await trio.sleep(seconds)
        try:
            await client.cancel()
        except OSError:
            pass

    def record_reply(self, query, reply):
        """Record the outcome that a reply states, by the documented table of SQLSTATEs."""
        query.reply_count = len(reply.tags) + (reply.error is not None)
        if reply.error is not None:
            query.sqlstate = reply.error.sqlstate
            query.outcome = "refused" if query.sqlstate == "53000" else "failed"
            return
        query.outcome = "answered"
        if not query.is_write:
            query.value = tuple(int(v) for v in reply.rows[0])
            for notice in reply.notices:
                match = MISSING_RANGES.search(notice.text)
                if notice.sqlstate == "01MN1" and match:
                    lows = [int(part.split("..")[0]) for part in match[1].split(", ")]
                    query.missing = tuple(self.schema.shard_of(low) for low in lows)

    # ---- the run ----

    async def play(self, start_roots):
        """Play the scenario and return its record.

        `start_roots(run, nursery)` starts the roots and fills `roster_writers` and `root_addresses`.
        """
        async with trio.open_nursery() as background:
            self.fleet, self.published_states = Fleet(self.leaves, background), {}
            self.background = background
            await self.fleet.start(self.scenario.leaves.fresh)
            if self.consul is not None:
                await self.consul.start(background)
            await start_roots(self, background)
            async with trio.open_nursery() as self.query_nursery:
                for fault in self.scenario.troubles:
                    self.query_nursery.start_soon(self.inject, fault)
                await self.run_clients()
            await trio.sleep(SETTLE_S)
            for idle in self.idle_clients.values():
                for client in idle:
                    client.close()
            background.cancel_scope.cancel()
        if self.consul is not None:
            self.record.endpoint_updates = updates_from_catalogue(self.consul.answers)
        for db in self.store.ranges:
            for order_id, n in db.execute("SELECT order_id, count(*) FROM holds GROUP BY order_id"):
                self.record.effect_counts[order_id] = self.record.effect_counts.get(order_id, 0) + n
        return self.record


async def start_roots_in_memory(run, background):
    """Start the roots of a run in this process, on its network."""
    for me in range(run.scenario.roots):
        source = None
        if run.consul is None:
            source = InMemoryEndpointFile(demo.roster_text(run.fleet))
            run.roster_writers.append(lambda text, source=source: setattr(source, "text", text))
        config = demo.config(
            **root_config(run.scenario, me, "roster.json5", run.consul and run.consul.config())
        )
        rng = random.Random(f"root {run.seed} {me}")
        root = Root(
            config,
            run.network,
            logs.null_logger(),
            source,
            seed=run.seed * 100 + me,
            random=rng.randbytes,
        )
        defects.plant(run.scenario.breach, root)
        await background.start(root.run)
        run.root_addresses.append(root.addresses[0])
    run.publish_roster()


def run_on_virtual_clock(main, seed):
    """Run `main` on a virtual clock, without waiting; the same seed gives the same run."""
    trio_run = trio._core._run
    trio_run._ALLOW_DETERMINISTIC_SCHEDULING = True  # trio's own switch for reproducible runs
    trio_run._r.seed(seed)
    return trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def terminate_all(processes):
    """Terminate processes started here; kill those that have not ended after 5 s."""
    for process in processes:
        process.terminate()
    for process in processes:
        try:
            process.wait(5)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()


def play_virtual(scenario, seed):
    """Play the scenario in memory on a virtual clock, and return the record."""
    network = MemoryNetwork()

    async def main():
        run = ScenarioRun(scenario, seed, network, slack_s=0.0)
        defects.plant_in_leaves(scenario.breach, run)
        return await run.play(start_roots_in_memory)

    return run_on_virtual_clock(main, seed)


def play_sockets(scenario, seed, slack_s=0.15):
    """Play the scenario over loopback sockets with a process for each root; return the record."""
    processes = []

    async def start_roots(run, background):
        folder = Path(run.folder)
        for me in range(run.scenario.roots):
            roster = folder / f"roster-{me}.json5"

            def write(text, roster=roster):
                temporary = roster.with_suffix(".new")
                temporary.write_text(text)
                temporary.rename(roster)

            write(demo.roster_text(run.fleet))
            run.roster_writers.append(write)
            config = folder / f"root-{me}.json5"
            config.write_text(
                json.dumps(
                    root_config(run.scenario, me, roster.name, run.consul and run.consul.config())
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
                raise RuntimeError(f"root did not start; its first line of output: {line!r}")
            run.root_addresses.append(line.split("postgresql://")[1].split()[0])
        run.publish_roster()

    async def main(folder):
        run = ScenarioRun(scenario, seed, net.SocketNetwork(), slack_s)
        run.folder = folder
        defects.plant_in_leaves(scenario.breach, run)
        return await run.play(start_roots)

    with tempfile.TemporaryDirectory(prefix="mothnotch-") as folder:
        try:
            return trio.run(main, folder)
        finally:
            terminate_all(processes)


def transcript(record):
    """Return all queries and leaf events as lines; they are equal in two runs of the same seed."""
    lines = [
        f"{a.started_at:.6f} {a.id} root={a.root} {a.class_name} {a.outcome} {a.sqlstate} {a.ended_at or 0:.6f} {a.value} {a.missing}"
        for a in record.queries
    ]
    return lines + [f"{s.at:.6f} {s.leaf} {s.what} {s.text} {s.values}" for s in record.leaf_events]
