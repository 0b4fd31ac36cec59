"""The script of a bad day: JSON5, checked as a whole; and random ones, from a seed."""

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


EXTRA_FAULT_KINDS = ("replace",)  # not drawn: the drawn days stay as they are
# Troubles of the catalogue, for days with `consul`.
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


# Troubles of the roots, of the links between them, and of theirs to `leaves`, for days with
# `peers`. `roots` names the roots, `to` whom they reach.
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
    """Roots speak with one another. The bounds are in periods: by when one that is dead is held for
    gone by all, by when all agree once nothing is wrong any more, by when all know a fact that is
    stated anew each second.
    """

    period_ms: float = 200.0
    gone: float = 30.0
    agree: float = 25.0
    fact: float = 25.0


class ConsulSpec(Strict):
    """The roster comes from a stand-in Consul of so many agents, of which a root watches `follow`."""

    agents: int = 3
    follow: int = 2
    wait_s: float = 5.0


class FaultSpec(Strict):
    """One trouble. `leaves`: names, or how many of them; `factor`: of slowness or load; `share`: of
    failures.
    """

    kind: str
    at: float
    lasts: float = msgspec.field(default=2.0, name="for")
    leaves: int | list[str] = 1
    factor: float = 8.0
    share: float = 0.9
    roots: list[int] = []
    to: list[int] | None = None  # of links: all others
    ms: float = 0.0  # of links: delay, and as much again of jitter


class LoadSpec(Strict):
    rate: float = 40.0  # asks a second, all clients together, open loop
    clients: int = 64  # connections at most
    mix: dict[str, float] = msgspec.field(
        default_factory=lambda: {"order-lookup": 0.6, "stock-search": 0.2, "hold-set": 0.2}
    )
    transactions: float = 0.4  # of the writes: BEGIN ... COMMIT
    leave: float = 0.02  # clients that leave midway
    cancel: float = 0.02
    retry: float = 0.0  # refused clients that ask again at once
    timeout_ms: float = 1500.0  # the client's time


class LeavesSpec(Strict):
    count: int = 8
    cores: int = 2
    work_ms: float = 4.0
    cold_from: float = 0.3
    cold_s: float = 4.0
    fall_multiple: float = 3.0
    fall_s: float = 2.0
    fresh: bool = False  # all have only just started as the day begins


class Scenario(Strict):
    seconds: float = 10.0
    roots: int = 2
    rows: int = 20  # of stock in a range
    load: LoadSpec = LoadSpec()
    leaves: LeavesSpec = LeavesSpec()
    budget_share: float | None = 0.2
    budget_free: int = 10
    budget_window_s: float = 5.0
    drain_grace_ms: float = 250.0
    news_late_s: float = 0.0  # the roster is told to roots so late
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
    """The checked script of a JSON5 text."""
    script = decode(text, Scenario, path)
    errors = []
    for n, trouble in enumerate(script.troubles):
        where = f"{path}: troubles[{n}]"
        kinds = (
            FAULT_KINDS
            + EXTRA_FAULT_KINDS
            + (CONSUL_FAULT_KINDS if script.consul is not None else ())
            + (FLEET_FAULT_KINDS if script.peers is not None else ())
        )
        if any(not 0 <= n < script.roots for n in [*trouble.roots, *(trouble.to or ())]):
            errors.append(f"{where}.roots: there are roots 0 to {script.roots - 1}")
        if trouble.kind in FLEET_FAULT_KINDS and not trouble.roots:
            errors.append(f"{where}.roots: names none")
        if trouble.kind not in kinds:
            errors.append(f"{where}.kind: {trouble.kind!r} is not one of {', '.join(kinds)}")
        if not 0 <= trouble.at < script.seconds:
            errors.append(
                f"{where}.at: {trouble.at:g} s is not within the day's {script.seconds:g} s"
            )
        if not 0 <= trouble.share <= 1:
            errors.append(f"{where}.share: must lie between 0 and 1")
    if script.leaves.count < 8:
        errors.append(f"{path}: leaves.count: the sample's ranges need 8 at least")
    if script.seconds <= 0 or script.load.rate <= 0 or script.roots < 1:
        errors.append(f"{path}: seconds, load.rate and roots must be above 0")
    for name in script.load.mix:
        if name not in ("order-lookup", "stock-search", "hold-set"):
            errors.append(f"{path}: load.mix: class {name!r} is not one of the sample's")
    if errors:
        raise ConfigError(errors)
    return script


def random_scenario(seed, seconds=3.0, rate=22.0, troubles=4):
    """A random script: so many overlapping troubles of different kinds."""
    r = random.Random(f"bad day {seed}")
    found = []
    for kind in r.sample(FAULT_KINDS, troubles):
        at = r.uniform(0.2, seconds * 0.6)
        found.append(
            FaultSpec(
                kind,
                round(at, 3),
                round(r.uniform(0.3, seconds - at), 3),
                1 if kind in ("crash", "vanish", "flapping") else r.randint(1, 3),
                round(r.uniform(1.5, 2.5) if kind == "burst" else r.uniform(3, 12), 1),
                round(r.uniform(0.4, 1.0), 2),
            )
        )
    budget = r.random() < 0.7
    return Scenario(
        seconds,
        r.choice([1, 2, 3]),
        8,
        LoadSpec(
            rate=rate,
            transactions=0.5,
            leave=0.04,
            cancel=0.04,
            retry=0.1,
            timeout_ms=r.choice([600.0, 1000.0, 1500.0]),
        ),
        LeavesSpec(),
        0.2 if budget else None,
        10,
        2.0,
        250.0,
        0.0,
        None,
        found,
    )


def random_departures(seed, seconds=4.0, rate=30.0):
    """A random day with a catalogue: leaves that depart by whatever means, troubles of the agents,
    of health checks and of the leaves themselves, all at once.
    """
    r = random.Random(f"departures {seed}")

    def trouble(kind, leaves=1, factor=None, last=seconds * 0.7):
        at = r.uniform(0.3, last)
        return FaultSpec(
            kind,
            round(at, 3),
            round(r.uniform(0.3, seconds - at), 3),
            leaves,
            round(r.uniform(1, 10) if factor is None else factor, 1),
            round(r.uniform(0.4, 1.0), 2),
        )

    agents = r.choice([1, 2, 3])
    found = [trouble("depart", r.choice([1, 1, 1, 2, 4])) for _ in range(2)]
    found += [trouble(kind, r.randint(1, agents)) for kind in r.sample(CONSUL_FAULT_KINDS[:8], 2)]
    found += [trouble("health_flapping", 1)] if r.random() < 0.5 else []
    found += [
        trouble(
            r.choice(("deploy", "slow", "hang", "pauses", "crash", "burst", "fast_errors")),
            1,
            r.uniform(2, 6),
        )
    ]
    return Scenario(
        seconds,
        r.choice([1, 2, 3]),
        8,
        LoadSpec(rate=rate, transactions=0.4, timeout_ms=r.choice([1000.0, 1500.0])),
        LeavesSpec(),
        0.2,
        10,
        2.0,
        250.0,
        0.0,
        ConsulSpec(agents, r.randint(1, min(2, agents)), 2.0),
        found,
    )


# Kinds of trouble of a bench day, as a socket can show them: (kind here, what `size` is).
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
    """(script, notes) of a bench day file's troubles: the same kinds, in the same order and
    proportion of the day, over a day of `seconds` on the sample's leaves. Notes name what has no
    counterpart and was left out.
    """
    length, troubles, notes = raw["length"], [], []
    for n, t in enumerate(raw["troubles"]):
        if t["kind"] not in BENCH_FAULT_KINDS:
            notes.append(f"troubles[{n}]: {t['kind']} cannot be shown over sockets here; left out")
            continue
        kind, size = BENCH_FAULT_KINDS[t["kind"]]
        at = max(0.1, seconds * t["at"] / length)
        if at >= seconds:
            notes.append(f"troubles[{n}]: {t['kind']} begins after the day's end; left out")
            continue
        lasts = min(seconds - at, max(0.3, seconds * t["len"] / length))
        share, extra = float(t.get("size") or 0), float(t.get("extra") or 0)
        made = FaultSpec(kind, round(at, 3), round(lasts, 3))
        if size == "leaves":
            made = msgspec.structs.replace(made, leaves=min(leaves, max(1, round(share * leaves))))
            if kind == "slow":
                made = msgspec.structs.replace(made, factor=max(1.5, extra))
            elif kind in ("fast_errors", "lost_answers"):
                made = msgspec.structs.replace(made, share=min(1.0, extra) if extra else 0.8)
        elif size == "factor":
            made = msgspec.structs.replace(made, factor=min(4.0, max(1.1, share)))
        troubles.append(made)
    return Scenario(
        seconds=seconds, roots=min(3, max(1, len(raw.get("balancers", ())))), troubles=troubles
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

# Roots together: kills, pauses, one-way cuts, loss, and word of an old life that comes again
# seconds after it ended.
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
REMOVABLE_PARTS = {"peers": ("health", "streams")}  # what a day can be played without
PLANTED_DEFECTS = {"peers": ("old_life", "young_facts", "never_gone", "hasty")}
