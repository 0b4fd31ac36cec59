"""Measure the leaf membership: departures, Consul failures, flapping and staleness.

The CPU time of processing the catalogue's answers and the load on the catalogue are measured too.
"""

import concurrent.futures
import multiprocessing
import os
import random
import time

import msgspec
import trio
import trio.testing

from mothnotch import demo, logs
from mothnotch.audit.rules import departures, evaluate_rules, query_id_of, served_worth
from mothnotch.badday import play
from mothnotch.badday import script as scripts
from mothnotch.consul import api
from mothnotch.consul.watch import ConsulWatch
from mothnotch.decisions.leaf_membership.membership import LeafMembership
from mothnotch.leaves.pool import LeafPools
from mothnotch.net.memory import MemoryNetwork
from mothnotch.standins.consul import Catalogue, ConsulAgent

FaultSpec = scripts.FaultSpec


def run_parallel(function, items, worker_count=None):
    """Yield the results of `function` for the items, in order, from worker processes."""
    context = multiprocessing.get_context("spawn")
    with concurrent.futures.ProcessPoolExecutor(
        worker_count or max(1, (os.cpu_count() or 2) - 1), mp_context=context
    ) as pool:
        yield from pool.map(function, items)


def quantile(values, q):
    """Return the quantile `q` of the values, 0.0 if there are none."""
    return sorted(values)[min(len(values) - 1, int(len(values) * q))] if values else 0.0


# ---- departures ----


def run_departure_day(item):
    """Run a random day with departures of leaves.

    `item`: (seed, whether to run over sockets). Return the seed, the departures, up to three
    violations of each rule, the number of queries and the fraction of the queries' worth that was
    served.
    """
    seed, sockets = item
    scenario = scripts.random_departures(seed)
    record = play.play_sockets(scenario, seed) if sockets else play.play_virtual(scenario, seed)
    violations = [f"{v.rule}: {line}" for v in evaluate_rules(record) for line in v.violations[:3]]
    return (
        seed,
        departures(record),
        violations,
        len(record.queries),
        served_worth(record).get("all", 0.0),
    )


def study_departures(days=500, sockets=False, seed=0):
    """Print how long roots send new parts to a leaf after they are told of its departure.

    The days are random. Return whether no rule was violated and no part was sent more than 250 ms
    after the root was told.
    """
    delays_s, query_count, failures, busy_count = [], 0, [], 0
    for day_seed, departures_of_day, violations, count, _ in run_parallel(
        run_departure_day, [(k, sockets) for k in range(seed, seed + days)], 2 if sockets else None
    ):
        delays_s += [delay_s for _, _, _, delay_s, _ in departures_of_day]
        busy_count += sum(busy for *_, busy in departures_of_day)
        query_count += count
        failures += [f"seed {day_seed}: {line}" for line in violations]
        failures += [
            f"seed {day_seed}: root {root} sent to {leaf} {delay_s:.3f} s after it was told"
            for root, leaf, _, delay_s, _ in departures_of_day
            if delay_s > 0.25
        ]
    delays_ms = [1000 * t for t in delays_s]
    print(
        f"{days} days {'over sockets' if sockets else 'in virtual time'}, {query_count} queries, {len(delays_ms)} departures told ({busy_count} of "
        f"leaves that the root had sent to in the second before); last new part after the root was told: "
        f"p50 {quantile(delays_ms, 0.5):.1f} ms, p99 {quantile(delays_ms, 0.99):.1f} ms, max {max(delays_ms, default=0):.1f} ms"
    )
    for line in failures:
        print(f"  broken: {line}")
    return not failures


# ---- failures of the catalogue ----


def run_outage_day(name):
    """Run 700 s in which leaves crash and depart; `name`: how the catalogue fails for 600 s."""
    leaf_faults = [
        FaultSpec("crash", 200.0, 20.0, ["leaf-2"]),
        FaultSpec("depart", 630.0, 60.0, ["leaf-5"]),
    ]
    catalogue_faults = {
        "sound": [],
        "silent": [FaultSpec("consul_silent", 30.0, 600.0, 3)],
        "errors": [FaultSpec("consul_errors", 30.0, 600.0, 3)],
        "hidden": [FaultSpec("consul_hidden", 30.0, 600.0, 3)],
        "wiped": [FaultSpec("consul_wipe", 30.0, 600.0, 3)],
    }[name]
    scenario = scripts.Scenario(
        700.0,
        1,
        8,
        scripts.LoadSpec(rate=8.0),
        troubles=leaf_faults + catalogue_faults,
        consul=scripts.ConsulSpec(3, 2, 10.0),
    )
    record = play.play_virtual(scenario, 1)
    told_at = [
        at
        for at, leaf, state, _ in record.endpoint_updates
        if leaf == "leaf-5" and state != "up" and at >= 630.0
    ]
    return (
        name,
        served_worth(record)["all"],
        sum(a.outcome == "answered" for a in record.queries),
        len(record.queries),
        min(told_at, default=float("nan")) - 630.0,
        sum(len(v.violations) for v in evaluate_rules(record)),
    )


def study_silence():
    """Print the service over 700 s with a catalogue that is faulty for 600 s of them.

    The faults are: silent, answering with errors, hiding instances, and wiped. The reference is a
    sound catalogue.
    """
    print(
        "catalogue for 600 s | service | of sound | answered | asked | s to the true list after | rules broken"
    )
    rows = list(run_parallel(run_outage_day, ("sound", "silent", "errors", "hidden", "wiped")))
    reference = rows[0][1]
    for name, share, answered, query_count, recovery_s, violations in rows:
        print(
            f"{name:19} | {share:.4f} | {share / reference:.4f} | {answered} | {query_count} | {recovery_s:.2f} | {violations}"
        )


# ---- flapping ----


def run_flapping_day(item):
    """Run 30 s in which a sound leaf's health check or a leaf's process flaps.

    `item`: ("check" or "process", frequency in Hz, whether the root gets the catalogue's updates).
    """
    target, hz, uses_catalogue = item
    seconds, scenario = 30.0, None
    fault = (
        FaultSpec("health_flapping", 2.0, 20.0, ["leaf-3"], hz)
        if target == "check"
        else FaultSpec("flapping", 2.0, 20.0, ["leaf-3"], hz)
    )
    scenario = scripts.Scenario(
        seconds,
        1,
        8,
        scripts.LoadSpec(rate=40.0),
        troubles=[fault],
        consul=scripts.ConsulSpec(2, 2, 5.0),
    )
    if not uses_catalogue:
        scenario = msgspec.structs.replace(
            scenario, consul=None, troubles=[fault] if target != "check" else []
        )
    record = play.play_virtual(scenario, 1)
    sends = sum(
        s.what == "arrived" and s.leaf == "leaf-3" and 2.0 <= s.at < 22.0 and s.shard is not None
        for s in record.leaf_events
    )
    return (
        target,
        hz,
        uses_catalogue,
        sends / 20.0,
        served_worth(record)["all"],
        sum(len(v.violations) for v in evaluate_rules(record)),
    )


def study_flapping():
    """Print the sends per second to a flapping leaf, and the service.

    The reference ("oracle") is a list that contains the leaf whenever its process is sound,
    whatever its check reports.
    """
    items = [
        ("check", hz, uses_catalogue)
        for hz in (1.0, 2.0, 5.0, 10.0)
        for uses_catalogue in (True, False)
    ]
    items += [("process", 1.0, True), ("process", 1.0, False)]
    rows = list(run_parallel(run_flapping_day, items))
    print("flaps | Hz | sends/s to it | oracle's | service | oracle's | ratio | rules broken")
    for (target, hz, _, sends, share, violations), (*_, oracle_sends, oracle, _) in zip(
        rows[::2], rows[1::2], strict=True
    ):
        print(
            f"{target:7} | {hz:4.0f} | {sends:6.1f} | {oracle_sends:6.1f} | {share:.4f} | {oracle:.4f} | "
            f"{share / oracle:.4f} | {violations}"
        )


def health_response(count, critical=()):
    """Return a health answer's body for `count` instances; those in `critical` fail a check."""
    catalogue = Catalogue()
    for n in range(count):
        catalogue.register_node(f"node-{n}", f"127.0.{n // 250}.{n % 250 + 1}")
        catalogue.register(
            f"node-{n}",
            "stock-leaf",
            "leaf",
            "",
            5432,
            meta={"cell": str(n % 8), "zone": "z", "started": "1800000000.0"},
        )
        catalogue.set_check(f"node-{n}", "serfHealth", "passing")
        catalogue.set_check(
            f"node-{n}", "disk", "critical" if n in critical else "passing", service_id="leaf"
        )
    return msgspec.json.encode(catalogue.entries("stock-leaf"))


def study_watch_cpu():
    """Print the CPU time to process one answer, from bytes to endpoint entries, by fleet size."""
    print("leaves | bytes | read ms | decide ms | share of a core at 10 answers/s")
    for count in (8, 32, 130, 1000):
        bodies = [health_response(count), health_response(count, (3,))]
        settings = demo.config(
            roster=None, consul={"agents": ["127.0.0.1:1"], "service": "s"}
        ).consul.membership(8, 2)
        membership, parse_s, update_s, rounds = LeafMembership(settings), 0.0, 0.0, 200
        for n in range(rounds):
            started = time.thread_time()
            answer = api.parse_answer(200, {"x-consul-index": str(n + 1)}, bodies[n % 2], 0, n)
            parsed = time.thread_time()
            membership.on_answer(n * 100_000, 1.8e9, answer)
            membership.on_tick(n * 100_000, {})
            membership.entries()
            parse_s, update_s = parse_s + parsed - started, update_s + time.thread_time() - parsed
        mean_s = (parse_s + update_s) / rounds
        print(
            f"{count:6} | {len(bodies[0]):7} | {1000 * parse_s / rounds:7.2f} | {1000 * update_s / rounds:9.2f} | {10 * mean_s:.3f}"
        )


# ---- staleness ----


def run_stale_day(item):
    """Run a day in which a third of the leaves change and the root is told late.

    `item`: (number of leaves, delay of the updates in seconds, "deploy" for a rolling deploy or
    "replace" for machines that are replaced without notice).
    """
    leaves, delay_s, kind = item
    third = [f"leaf-{n}" for n in range(leaves) if n % 3 == 0]
    groups = [g for g in (third[k::4] for k in range(4)) if g]
    faults = [
        FaultSpec(kind, 3.0 + 2 * k, 1.6 * len(g) if kind == "deploy" else 1.0, g)
        for k, g in enumerate(groups)
    ]
    scenario = scripts.Scenario(
        20.0,
        1,
        8,
        scripts.LoadSpec(
            rate=3.0 * leaves,
            clients=600,
            mix={"order-lookup": 0.85, "hold-set": 0.15},
            leave=0.0,
            cancel=0.0,
        ),
        scripts.LeavesSpec(count=leaves, cores=1, work_ms=60.0),
        budget_share=0.1,
        budget_free=10,
        budget_window_s=5.0,
        news_late_s=delay_s,
        troubles=faults,
    )
    record = play.play_virtual(scenario, 2)
    lookups = {a.id: len(a.shards) for a in record.queries if a.class_name == "order-lookup"}
    sent = sum(
        s.what == "arrived" and s.shard is not None and query_id_of(s) in lookups
        for s in record.leaf_events
    )
    return (
        leaves,
        delay_s,
        kind,
        served_worth(record)["all"],
        sent / sum(lookups.values()),
        sum(len(v.violations) for v in evaluate_rules(record) if not v.rule.startswith("3")),
    )


def study_staleness():
    """Print the service by the delay of the endpoint list and the size of the fleet."""
    delays_s, kinds = (0.0, 0.25, 1.0, 5.0, 20.0), ("deploy", "replace")
    items = [
        (leaves, delay_s, kind)
        for leaves in (130, 40, 10)
        for kind in kinds
        for delay_s in delays_s
    ]
    rows = {row[:3]: row[3:] for row in run_parallel(run_stale_day, items)}
    print(
        "trouble | leaves | "
        + " | ".join(f"{delay_s:g} s late" for delay_s in delays_s)
        + "   (service; sends a part that arrived)"
    )
    for kind in kinds:
        for leaves in (10, 40, 130):
            print(
                f"{kind:7} | {leaves:6} | "
                + " | ".join(
                    f"{rows[leaves, delay_s, kind][0]:.3f}; {rows[leaves, delay_s, kind][1]:.2f}"
                    for delay_s in delays_s
                )
            )
    print(f"rules broken besides drains told late: {sum(row[2] for row in rows.values())}")


class CountingCore:
    """A core without queries that counts the changes of its endpoint list."""

    def __init__(self):
        self.endpoints_requested, self.event_count = trio.Event(), 0

    def on_watch_event(self, event):
        self.event_count += 1


def measure_watch_load(item):
    """Run the watches of many roots on one catalogue, in virtual time.

    `item`: (roots, leaves, seconds between changes or 0 for none). Return these, then the requests
    and bytes per second and root, and the list changes that each root received.
    """
    roots, leaves, change_s = item
    results = {}

    async def main():
        network, catalogue = MemoryNetwork(), Catalogue()
        agents = [ConsulAgent(catalogue, network, f"consul:{n}", f"agent-{n}") for n in range(3)]
        async with trio.open_nursery() as nursery:
            for agent in agents:
                await nursery.start(agent.run)
            for n in range(leaves):
                catalogue.register_node(f"node-{n}", "127.0.0.1")
                catalogue.register(
                    f"node-{n}", "stock-leaf", "leaf", "", 5432 + n, meta={"cell": str(n % 8)}
                )
            config = demo.config(
                roster=None, consul={"agents": [a.address for a in agents], "service": "stock-leaf"}
            )
            cores = [CountingCore() for _ in range(roots)]
            for me, core in enumerate(cores):
                watch = ConsulWatch(
                    config.consul,
                    config.consul.membership(8, 2),
                    me,
                    core,
                    LeafPools(network, config.pool(), logs.null_logger()),
                    network,
                    logs.null_logger(),
                    None,
                    random.Random(me).random,
                )
                nursery.start_soon(watch.run)
            await trio.sleep(5)
            before = [sum(a.counts[k] for a in agents) for k in ("requests", "bytes")]
            end, n = trio.current_time() + 60, 0
            while change_s and trio.current_time() < end:
                catalogue.maintenance(f"node-{n // 2 % leaves}", n % 2 == 0)
                n += 1
                await trio.sleep(change_s)
            await trio.sleep(max(0.0, end - trio.current_time()))
            after = [sum(a.counts[k] for a in agents) for k in ("requests", "bytes")]
            results["rates"] = [(b - a) / 60 / roots for a, b in zip(before, after, strict=True)]
            results["events"] = sum(core.event_count for core in cores) / roots
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    return roots, leaves, change_s, *results["rates"], results["events"]


def study_watchers():
    """Print the load on the catalogue by number of roots and leaves, with and without changes."""
    items = [
        (roots, leaves, change_s)
        for change_s in (0.0, 1.0)
        for leaves in (10, 130)
        for roots in (1, 10, 75)
    ]
    print("roots | leaves | changes/s | requests/s a root | KB/s a root | lists told in 60 s")
    for roots, leaves, change_s, requests, size, event_count in run_parallel(
        measure_watch_load, items
    ):
        print(
            f"{roots:5} | {leaves:6} | {1 / change_s if change_s else 0:9.0f} | {requests:.2f} | {size / 1024:.1f} | {event_count:.0f}"
        )


STUDIES = {
    "departures": study_departures,
    "silence": study_silence,
    "flapping": study_flapping,
    "watch-cpu": study_watch_cpu,
    "staleness": study_staleness,
    "watchers": study_watchers,
}
