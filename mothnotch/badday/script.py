"""Scenarios of injected faults: read from JSON5 and validated, built in, or random from a seed."""

import random
from typing import Literal

import msgspec

from mothnotch.config import ConfigError, Strict, decode

FAULT_KINDS = (
    "crash",
    "vanish",
    "hang",
    "slow",
    "shared_slow",
    "pauses",
    "fast_errors",
    "flapping",
    "deploy",
    "burst",
    "discovery_stale",
    "retry_abuse",
    "hot_key",
    "idle_reap",
    "poison",
    "lost_answers",
)


# Not part of random scenarios: a seed keeps giving the scenario that it gave before.
EXTRA_FAULT_KINDS = ("replace",)
# Faults of the catalogue, for scenarios with `consul`.
CONSUL_FAULT_KINDS = (
    "consul_slow",
    "consul_silent",
    "consul_errors",
    "consul_garbage",
    "consul_hidden",
    "consul_lag",
    "consul_crash",
    "consul_wipe",
    "health_flapping",
    "depart",
)


# Faults of the roots, of the links between them and of their links to `leaves`, for scenarios with
# `peers`. `roots` are the roots concerned, `to` the roots at the other end of the links.
FLEET_FAULT_KINDS = (
    "root_kill",
    "root_restart",
    "root_pause",
    "link_cut",
    "link_oneway",
    "link_loss",
    "link_delay",
    "link_twice",
    "leaf_cut",
    "leaf_oneway",
    "leaf_delay",
    "leaf_reset",
)


class PeersSpec(Strict):
    """The roots exchange their state as peers. The bounds are in protocol periods."""

    period_ms: float = 200.0
    gone: float = 30.0  # until all consider a dead root gone
    agree: float = 25.0  # until all agree after the last fault has ended
    fact: float = 25.0  # until all know a fact that is published anew every second


class ConsulSpec(Strict):
    """The endpoint list comes from a stand-in for Consul."""

    agents: int = 3
    follow: int = 2  # agents that a root watches
    wait_s: float = 5.0


class FaultSpec(Strict):
    """One fault to inject. Times are seconds from the start of the scenario."""

    kind: str
    at: float
    lasts: float = msgspec.field(default=2.0, name="for")
    leaves: int | list[str] = 1  # names, or the number of leaves to choose
    factor: float = 8.0  # by which latency or load grows; some kinds use it otherwise
    share: float = 0.9  # probability of a failure
    roots: list[int] = []
    to: list[int] | None = None  # other ends of the links; None: all other roots
    ms: float = 0.0  # delay on links, and the maximum of the jitter on top


class LoadSpec(Strict):
    """The load of the clients."""

    rate: float = 40.0  # queries a second of all clients together, open loop
    clients: int = 64  # maximum number of connections
    mix: dict[str, float] = msgspec.field(
        default_factory=lambda: {"order-lookup": 0.6, "stock-search": 0.2, "hold-set": 0.2}
    )
    transactions: float = 0.4  # share of the writes in BEGIN ... COMMIT
    leave: float = 0.02  # share of the clients that disconnect during a query
    cancel: float = 0.02  # share of the queries that are cancelled
    retry: float = 0.0  # share of the refused clients that retry at once
    timeout_ms: float = 1500.0  # the clients' timeout


class LeavesSpec(Strict):
    """The stand-in leaves."""

    count: int = 8
    cores: int = 2
    work_ms: float = 4.0
    cold_from: float = 0.3  # share of its capacity that a leaf has just after a start
    cold_s: float = 4.0  # until it has its full capacity
    # A cold leaf fails if it is sent more than this multiple of its capacity within `fall_s`.
    fall_multiple: float = 3.0
    fall_s: float = 2.0
    fresh: bool = False  # whether all leaves have only just started when the scenario begins


class Scenario(Strict):
    """A load, the faults injected meanwhile, and the settings of roots and leaves."""

    seconds: float = 10.0
    roots: int = 2
    rows: int = 20  # stock rows in a range
    load: LoadSpec = LoadSpec()
    leaves: LeavesSpec = LeavesSpec()
    budget_share: float | None = 0.2
    budget_free: int = 10
    budget_window_s: float = 5.0
    drain_grace_ms: float = 250.0
    news_late_s: float = 0.0  # delay of updates of the roster
    consul: ConsulSpec | None = None
    troubles: list[FaultSpec] = []
    breach: Literal[
        "",
        "late_sends",
        "keys_dropped",
        "ignores_drains",
        "half_as_whole",
        "many_attempts",
        "no_cold",
        "silent",
        "double",
        "late_news",
        "old_life",
        "young_facts",
        "never_gone",
        "hasty",
        "without_health",
        "without_streams",
    ] = ""
    peers: PeersSpec | None = None


def load(text, path="script"):
    """Return the scenario of a JSON5 text; raise ConfigError with all errors of its values."""
    scenario = decode(text, Scenario, path)
    errors = []
    for n, fault in enumerate(scenario.troubles):
        where = f"{path}: troubles[{n}]"
        kinds = (
            FAULT_KINDS
            + EXTRA_FAULT_KINDS
            + (CONSUL_FAULT_KINDS if scenario.consul is not None else ())
            + (FLEET_FAULT_KINDS if scenario.peers is not None else ())
        )
        if any(not 0 <= root < scenario.roots for root in [*fault.roots, *(fault.to or ())]):
            errors.append(f"{where}.roots: must be from 0 to {scenario.roots - 1}")
        if fault.kind in FLEET_FAULT_KINDS and not fault.roots:
            errors.append(f"{where}.roots: must not be empty")
        if fault.kind not in kinds:
            errors.append(f"{where}.kind: {fault.kind!r} is not one of {', '.join(kinds)}")
        if not 0 <= fault.at < scenario.seconds:
            errors.append(
                f"{where}.at: {fault.at:g} s is not within the scenario's {scenario.seconds:g} s"
            )
        if not 0 <= fault.share <= 1:
            errors.append(f"{where}.share: must be between 0 and 1")
    if scenario.leaves.count < 8:
        errors.append(f"{path}: leaves.count: must be at least 8, for the ranges of the demo")
    if scenario.seconds <= 0 or scenario.load.rate <= 0 or scenario.roots < 1:
        errors.append(f"{path}: seconds, load.rate and roots must be greater than 0")
    for name in scenario.load.mix:
        if name not in ("order-lookup", "stock-search", "hold-set"):
            errors.append(f"{path}: load.mix: class {name!r} is not a class of the demo")
    if errors:
        raise ConfigError(errors)
    return scenario


def random_scenario(seed, seconds=3.0, rate=22.0, fault_count=4):
    """Return a random scenario with that number of overlapping faults, each of another kind."""
    rng = random.Random(f"bad day {seed}")
    faults = []
    for kind in rng.sample(FAULT_KINDS, fault_count):
        at = rng.uniform(0.2, seconds * 0.6)
        faults.append(
            FaultSpec(
                kind,
                round(at, 3),
                round(rng.uniform(0.3, seconds - at), 3),
                1 if kind in ("crash", "vanish", "flapping") else rng.randint(1, 3),
                round(rng.uniform(1.5, 2.5) if kind == "burst" else rng.uniform(3, 12), 1),
                round(rng.uniform(0.4, 1.0), 2),
            )
        )
    has_budget = rng.random() < 0.7
    return Scenario(
        seconds,
        rng.choice([1, 2, 3]),
        8,
        LoadSpec(
            rate=rate,
            transactions=0.5,
            leave=0.04,
            cancel=0.04,
            retry=0.1,
            timeout_ms=rng.choice([600.0, 1000.0, 1500.0]),
        ),
        LeavesSpec(),
        0.2 if has_budget else None,
        10,
        2.0,
        250.0,
        0.0,
        None,
        faults,
    )


def random_departures(seed, seconds=4.0, rate=30.0):
    """Return a random scenario with a catalogue in which leaves depart by various means.

    At the same time it has faults of the agents, of health checks and of the leaves themselves.
    """
    rng = random.Random(f"departures {seed}")

    def make_fault(kind, leaves=1, factor=None, latest=seconds * 0.7):
        at = rng.uniform(0.3, latest)
        return FaultSpec(
            kind,
            round(at, 3),
            round(rng.uniform(0.3, seconds - at), 3),
            leaves,
            round(rng.uniform(1, 10) if factor is None else factor, 1),
            round(rng.uniform(0.4, 1.0), 2),
        )

    agents = rng.choice([1, 2, 3])
    faults = [make_fault("depart", rng.choice([1, 1, 1, 2, 4])) for _ in range(2)]
    faults += [
        make_fault(kind, rng.randint(1, agents)) for kind in rng.sample(CONSUL_FAULT_KINDS[:8], 2)
    ]
    faults += [make_fault("health_flapping", 1)] if rng.random() < 0.5 else []
    faults += [
        make_fault(
            rng.choice(("deploy", "slow", "hang", "pauses", "crash", "burst", "fast_errors")),
            1,
            rng.uniform(2, 6),
        )
    ]
    return Scenario(
        seconds,
        rng.choice([1, 2, 3]),
        8,
        LoadSpec(rate=rate, transactions=0.4, timeout_ms=rng.choice([1000.0, 1500.0])),
        LeavesSpec(),
        0.2,
        10,
        2.0,
        250.0,
        0.0,
        ConsulSpec(agents, rng.randint(1, min(2, agents)), 2.0),
        faults,
    )


# The faults of a bench day that can be injected over sockets: their kind here, and the meaning of
# their `size`.
BENCH_FAULT_KINDS = {
    "crash": ("crash", "leaves"),
    "vanish": ("vanish", "leaves"),
    "hang": ("hang", "leaves"),
    "slow": ("slow", "leaves"),
    "neighbour": ("slow", "leaves"),
    "heavy_tail": ("slow", "leaves"),
    "shared_slow": ("shared_slow", "factor"),
    "pauses": ("pauses", "leaves"),
    "fast_errors": ("fast_errors", "leaves"),
    "class_fail": ("fast_errors", "leaves"),
    "flapping": ("flapping", "leaves"),
    "deploy": ("deploy", "leaves"),
    "burst": ("burst", "factor"),
    "tenant_burst": ("burst", "factor"),
    "hot_caller": ("burst", ""),
    "hot_key": ("hot_key", ""),
    "discovery_stale": ("discovery_stale", ""),
    "retry_abuse": ("retry_abuse", ""),
    "idle_reap": ("idle_reap", "leaves"),
    "poison": ("poison", ""),
    "answer_lost": ("lost_answers", "leaves"),
    "one_sided": ("vanish", "leaves"),
}


def scenario_from_bench_day(raw, seconds=20.0, leaves=8):
    """Return (scenario, notes) for the faults of a bench day file.

    The scenario has the same kinds of faults in the same order, scaled in time to `seconds`, on the
    leaves of the demo. The notes name the faults that have no counterpart and were left out.
    """
    length, faults, notes = raw["length"], [], []
    for n, entry in enumerate(raw["troubles"]):
        if entry["kind"] not in BENCH_FAULT_KINDS:
            notes.append(
                f"troubles[{n}]: {entry['kind']} cannot be injected over sockets; left out"
            )
            continue
        kind, size_meaning = BENCH_FAULT_KINDS[entry["kind"]]
        at = max(0.1, seconds * entry["at"] / length)
        if at >= seconds:
            notes.append(
                f"troubles[{n}]: {entry['kind']} begins after the end of the day; left out"
            )
            continue
        lasts = min(seconds - at, max(0.3, seconds * entry["len"] / length))
        size, extra = float(entry.get("size") or 0), float(entry.get("extra") or 0)
        fault = FaultSpec(kind, round(at, 3), round(lasts, 3))
        if size_meaning == "leaves":
            fault = msgspec.structs.replace(fault, leaves=min(leaves, max(1, round(size * leaves))))
            if kind == "slow":
                fault = msgspec.structs.replace(fault, factor=max(1.5, extra))
            elif kind in ("fast_errors", "lost_answers"):
                fault = msgspec.structs.replace(fault, share=min(1.0, extra) if extra else 0.8)
        elif size_meaning == "factor":
            fault = msgspec.structs.replace(fault, factor=min(4.0, max(1.1, size)))
        faults.append(fault)
    return Scenario(
        seconds=seconds, roots=min(3, max(1, len(raw.get("balancers", ())))), troubles=faults
    ), notes


DEFAULT = Scenario(
    seconds=20.0,
    roots=2,
    load=LoadSpec(rate=40.0),
    troubles=[
        FaultSpec("slow", 1.0, 5.0, 1, 10.0),
        FaultSpec("fast_errors", 2.0, 4.0, 1, share=0.8),
        FaultSpec("hang", 3.0, 4.0, ["leaf-5"]),
        FaultSpec("burst", 4.0, 3.0, 0, 2.0),
        FaultSpec("crash", 6.0, 2.0, ["leaf-2"]),
        FaultSpec("pauses", 7.0, 4.0, 2),
        FaultSpec("deploy", 8.0, 6.0, 3),
        FaultSpec("idle_reap", 10.0, 3.0, 8),
        FaultSpec("flapping", 11.0, 4.0, ["leaf-7"]),
        FaultSpec("retry_abuse", 12.0, 3.0),
        FaultSpec("discovery_stale", 12.0, 3.0),
        FaultSpec("poison", 14.0, 2.0),
        FaultSpec("lost_answers", 13.0, 3.0, 8, share=0.3),
        FaultSpec("shared_slow", 16.0, 2.0, 8, 2.0),
        FaultSpec("vanish", 16.5, 2.0, ["leaf-1"]),
    ],
)

# Roots as peers, with kills, pauses, one-way cuts, loss, and duplicates of datagrams that arrive
# seconds late, after the incarnation that sent them has ended.
PEERS = Scenario(
    seconds=32.0,
    roots=4,
    load=LoadSpec(rate=16.0),
    peers=PeersSpec(),
    troubles=[
        FaultSpec("root_kill", 3.0, 9.0, roots=[1]),
        FaultSpec("link_loss", 4.0, 5.0, roots=[0, 1, 2, 3], share=0.2),
        FaultSpec("leaf_cut", 6.0, 3.0, 2, roots=[3]),
        FaultSpec("leaf_reset", 10.0, 2.0, 8, roots=[0]),
        FaultSpec("leaf_oneway", 22.0, 3.0, 1, roots=[2, 3]),
        FaultSpec("root_pause", 13.0, 4.0, roots=[2]),
        FaultSpec("link_oneway", 15.0, 4.0, roots=[0], to=[3]),
        FaultSpec("link_twice", 18.0, 4.0, roots=[0, 1, 2, 3], share=0.7, ms=5000.0),
        FaultSpec("link_delay", 19.0, 3.0, roots=[1], ms=50.0),
        FaultSpec("root_restart", 20.0, 0.5, roots=[1]),
    ],
)
FLEET_SCENARIOS = {"peers": PEERS}
REMOVABLE_PARTS = {"peers": ("health", "streams")}  # parts of roots that can be disabled
PLANTED_DEFECTS = {"peers": ("old_life", "young_facts", "never_gone", "hasty")}
