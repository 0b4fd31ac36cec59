"""Measurements of the membership: departures, silence, flapping, staleness, load on the catalogue,
the list on disk.
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

T = scripts.FaultSpec


def parallel(function, items, most=None):
    """Results in order, over processes of their own."""
    context = multiprocessing.get_context("spawn")
    with concurrent.futures.ProcessPoolExecutor(
        most or max(1, (os.cpu_count() or 2) - 1), mp_context=context
    ) as pool:
        yield from pool.map(function, items)


def quantile(values, q):
    return sorted(values)[min(len(values) - 1, int(len(values) * q))] if values else 0.0


# ---- departures ----


def one_day(item):
    seed, sockets = item
    script = scripts.random_departures(seed)
    record = play.play_sockets(script, seed) if sockets else play.play_virtual(script, seed)
    broken = [f"{v.rule}: {line}" for v in evaluate_rules(record) for line in v.violations[:3]]
    return (
        seed,
        departures(record),
        broken,
        len(record.queries),
        served_worth(record).get("all", 0.0),
    )


def study_departures(days=500, sockets=False, seed=0):
    """Random days with departures: how long after a root was told did the last new part reach the
    leaf.
    """
    times, asks, failed, busy = [], 0, [], 0
    for n, found, broken, count, _ in parallel(
        one_day, [(k, sockets) for k in range(seed, seed + days)], 2 if sockets else None
    ):
        times += [late for _, _, _, late, _ in found]
        busy += sum(sent for *_, sent in found)
        asks += count
        failed += [f"seed {n}: {line}" for line in broken]
        failed += [
            f"seed {n}: root {root} sent to {leaf} {late:.3f} s after it was told"
            for root, leaf, _, late, _ in found
            if late > 0.25
        ]
    ms = [1000 * t for t in times]
    print(
        f"{days} days {'over sockets' if sockets else 'in virtual time'}, {asks} asks, {len(ms)} departures told ({busy} of "
        f"leaves that the root had sent to in the second before); last new part after the root was told: "
        f"p50 {quantile(ms, 0.5):.1f} ms, p99 {quantile(ms, 0.99):.1f} ms, max {max(ms, default=0):.1f} ms"
    )
    for line in failed:
        print(f"  broken: {line}")
    return not failed


# ---- silence, wipe ----


def long_day(name):
    """Ten minutes and a bit, with leaves that crash and depart; the catalogue fails as `name` says."""
    base = [T("crash", 200.0, 20.0, ["leaf-2"]), T("depart", 630.0, 60.0, ["leaf-5"])]
    wrong = {
        "sound": [],
        "silent": [T("consul_silent", 30.0, 600.0, 3)],
        "errors": [T("consul_errors", 30.0, 600.0, 3)],
        "hidden": [T("consul_hidden", 30.0, 600.0, 3)],
        "wiped": [T("consul_wipe", 30.0, 600.0, 3)],
    }[name]
    script = scripts.Scenario(
        700.0,
        1,
        8,
        scripts.LoadSpec(rate=8.0),
        troubles=base + wrong,
        consul=scripts.ConsulSpec(3, 2, 10.0),
    )
    record = play.play_virtual(script, 1)
    told = [
        at
        for at, leaf, state, _ in record.endpoint_updates
        if leaf == "leaf-5" and state != "up" and at >= 630.0
    ]
    return (
        name,
        served_worth(record)["all"],
        sum(a.outcome == "answered" for a in record.queries),
        len(record.queries),
        min(told, default=float("nan")) - 630.0,
        sum(len(v.violations) for v in evaluate_rules(record)),
    )


def study_silence():
    """Service over 700 s of which the catalogue is silent, failing, hidden or wiped for 600,
    against a sound one.
    """
    print(
        "catalogue for 600 s | service | of sound | answered | asked | s to the true list after | rules broken"
    )
    rows = list(parallel(long_day, ("sound", "silent", "errors", "hidden", "wiped")))
    sound = rows[0][1]
    for name, share, answered, asked, back, broken in rows:
        print(
            f"{name:19} | {share:.4f} | {share / sound:.4f} | {answered} | {asked} | {back:.2f} | {broken}"
        )


# ---- flapping ----


def flapping_day(item):
    """What flaps: a check of a sound leaf, or its process. `told`: whether the root hears of it."""
    what, hz, told = item
    seconds, script = 30.0, None
    trouble = (
        T("health_flapping", 2.0, 20.0, ["leaf-3"], hz)
        if what == "check"
        else T("flapping", 2.0, 20.0, ["leaf-3"], hz)
    )
    script = scripts.Scenario(
        seconds,
        1,
        8,
        scripts.LoadSpec(rate=40.0),
        troubles=[trouble],
        consul=scripts.ConsulSpec(2, 2, 5.0),
    )
    if not told:
        script = msgspec.structs.replace(
            script, consul=None, troubles=[trouble] if what != "check" else []
        )
    record = play.play_virtual(script, 1)
    sends = sum(
        s.what == "arrived" and s.leaf == "leaf-3" and 2.0 <= s.at < 22.0 and s.shard is not None
        for s in record.leaf_events
    )
    return (
        what,
        hz,
        told,
        sends / 20.0,
        served_worth(record)["all"],
        sum(len(v.violations) for v in evaluate_rules(record)),
    )


def study_flapping():
    """Sends a second to a flapping leaf, and service kept; the oracle's list names the leaf as up
    for as long as its process is sound, whatever its check says.
    """
    items = [("check", hz, told) for hz in (1.0, 2.0, 5.0, 10.0) for told in (True, False)]
    items += [("process", 1.0, True), ("process", 1.0, False)]
    rows = list(parallel(flapping_day, items))
    print("flaps | Hz | sends/s to it | oracle's | service | oracle's | ratio | rules broken")
    for (what, hz, _, sends, share, broken), (*_, oracle_sends, oracle, _) in zip(
        rows[::2], rows[1::2], strict=True
    ):
        print(
            f"{what:7} | {hz:4.0f} | {sends:6.1f} | {oracle_sends:6.1f} | {share:.4f} | {oracle:.4f} | "
            f"{share / oracle:.4f} | {broken}"
        )


def body(count, sick=()):
    """A health answer's bytes for so many instances."""
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
            f"node-{n}", "disk", "critical" if n in sick else "passing", service_id="leaf"
        )
    return msgspec.json.encode(catalogue.entries("stock-leaf"))


def study_watch_cpu():
    """CPU of one answer, from its bytes to the entries for the module, by the size of the fleet."""
    print("leaves | bytes | read ms | decide ms | share of a core at 10 answers/s")
    for count in (8, 32, 130, 1000):
        bodies = [body(count), body(count, (3,))]
        settings = demo.config(
            roster=None, consul={"agents": ["127.0.0.1:1"], "service": "s"}
        ).consul.membership(8, 2)
        m, read, decide, rounds = LeafMembership(settings), 0.0, 0.0, 200
        for n in range(rounds):
            begun = time.thread_time()
            answer = api.parse_answer(200, {"x-consul-index": str(n + 1)}, bodies[n % 2], 0, n)
            between = time.thread_time()
            m.on_answer(n * 100_000, 1.8e9, answer)
            m.on_tick(n * 100_000, {})
            m.entries()
            read, decide = read + between - begun, decide + time.thread_time() - between
        each = (read + decide) / rounds
        print(
            f"{count:6} | {len(bodies[0]):7} | {1000 * read / rounds:7.2f} | {1000 * decide / rounds:9.2f} | {10 * each:.3f}"
        )


# ---- staleness ----


def stale_day(item):
    """A third of the fleet changes, the news late by so much: a rolling deploy, or machines
    replaced without a word.
    """
    leaves, late, kind = item
    third = [f"leaf-{n}" for n in range(leaves) if n % 3 == 0]
    groups = [g for g in (third[k::4] for k in range(4)) if g]
    troubles = [
        T(kind, 3.0 + 2 * k, 1.6 * len(g) if kind == "deploy" else 1.0, g)
        for k, g in enumerate(groups)
    ]
    script = scripts.Scenario(
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
        news_late_s=late,
        troubles=troubles,
    )
    record = play.play_virtual(script, 2)
    lookups = {a.id: len(a.shards) for a in record.queries if a.class_name == "order-lookup"}
    sent = sum(
        s.what == "arrived" and s.shard is not None and query_id_of(s) in lookups
        for s in record.leaf_events
    )
    return (
        leaves,
        late,
        kind,
        served_worth(record)["all"],
        sent / sum(lookups.values()),
        sum(len(v.violations) for v in evaluate_rules(record) if not v.rule.startswith("3")),
    )


def study_staleness():
    """Service against how late the list is, by the size of the fleet."""
    lates, kinds = (0.0, 0.25, 1.0, 5.0, 20.0), ("deploy", "replace")
    items = [(leaves, late, kind) for leaves in (130, 40, 10) for kind in kinds for late in lates]
    rows = {row[:3]: row[3:] for row in parallel(stale_day, items)}
    print(
        "trouble | leaves | "
        + " | ".join(f"{late:g} s late" for late in lates)
        + "   (service; sends a part that arrived)"
    )
    for kind in kinds:
        for leaves in (10, 40, 130):
            print(
                f"{kind:7} | {leaves:6} | "
                + " | ".join(
                    f"{rows[leaves, late, kind][0]:.3f}; {rows[leaves, late, kind][1]:.2f}"
                    for late in lates
                )
            )
    print(f"rules broken besides drains told late: {sum(row[2] for row in rows.values())}")


class Nobody:
    """A core that hears news and has no queries."""

    def __init__(self):
        self.subscribe, self.heard = trio.Event(), 0

    def on_watch_event(self, event):
        self.heard += 1


def watchers(item):
    """So many roots' watches on a catalogue of so many leaves, in virtual time: requests and bytes
    a second a root.
    """
    roots, leaves, change_s = item
    out = {}

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
            conf = demo.config(
                roster=None, consul={"agents": [a.address for a in agents], "service": "stock-leaf"}
            )
            cores = [Nobody() for _ in range(roots)]
            for me, core in enumerate(cores):
                watch = ConsulWatch(
                    conf.consul,
                    conf.consul.membership(8, 2),
                    me,
                    core,
                    LeafPools(network, conf.pool(), logs.null_logger()),
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
            out["rates"] = [(b - a) / 60 / roots for a, b in zip(before, after, strict=True)]
            out["heard"] = sum(core.heard for core in cores) / roots
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    return roots, leaves, change_s, *out["rates"], out["heard"]


def study_watchers():
    """Load on the catalogue by roots and leaves: calm, and with a change every second."""
    items = [
        (roots, leaves, change)
        for change in (0.0, 1.0)
        for leaves in (10, 130)
        for roots in (1, 10, 75)
    ]
    print("roots | leaves | changes/s | requests/s a root | KB/s a root | lists told in 60 s")
    for roots, leaves, change, requests, size, heard in parallel(watchers, items):
        print(
            f"{roots:5} | {leaves:6} | {1 / change if change else 0:9.0f} | {requests:.2f} | {size / 1024:.1f} | {heard:.0f}"
        )


STUDIES = {
    "departures": study_departures,
    "silence": study_silence,
    "flapping": study_flapping,
    "watch-cpu": study_watch_cpu,
    "staleness": study_staleness,
    "watchers": study_watchers,
}
