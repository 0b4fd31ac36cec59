"""The fault schedule of a soak, drawn by seed; most of the time, two or three faults overlap. No
I/O.
"""

from dataclasses import dataclass, field

from mothnotch.soak.bad_clients import KINDS
from mothnotch.soak.settings import CELLS

CALLS = ("accept", "socket", "connect", "setsockopt", "send", "recv", "stderr")
WALL_CLOCK_STEPS_S = (-3600.0, -9.0, -3.0, -0.4, 0.4, 3.0, 9.0, 3600.0)
WARM_UP_S = 1.5  # no fault begins in this time after the start
COOL_DOWN_S = 3.0  # no fault begins in this time before the end
# After SIGTERM a root has the longest deadline (at most KILL_DEADLINE_MAX_S) and KILL_DELAY_S more
# before SIGKILL follows.
KILL_DELAY_S = 0.7
KILL_DEADLINE_MAX_S = 3.0
CHUNKED_LOAD_S = 3.0  # for this long, clients send bodies in small chunks
BAD_CLIENTS_S = 3.0  # the bad clients stay for this long
# Times for which a root that is killed twice is down, and up in between.
KILL_SERIES_DOWN_S = 1.0
KILL_SERIES_UP_S = (0.3, 0.8)
HANG_AFTER_KILL_S = 0.2  # leaves that hang through a shutdown still do so after a kill


@dataclass(frozen=True)
class Fault:
    """One scheduled fault; `target` is the number of a root or of a leaf."""

    at_s: float
    kind: str
    target: int = 0
    parameters: dict = field(default_factory=dict)


def draw_faults(random, deployment, length_s, count):
    """Return `count` faults within the length of a soak, ordered by time."""
    fault_generators = (
        stop_root,
        kill_root,
        suspend_root,
        reload_root,
        reload_root_twice,
        signal_root,
        step_wall_clock,
        fail_calls,
        short_io,
        hang_leaf,
        restart_leaf,
        drain_leaf,
        drain_leaf,
        inject_leaf_errors,
        close_idle,
        reset_leaf,
        stall_route,
        silence_route,
        cut_route,
        refuse_route,
        silence_watch,
        drop_watches,
        discovery_down,
    )
    faults = []
    for _ in range(count):
        at_s = random.uniform(WARM_UP_S, length_s - COOL_DOWN_S)
        faults.append(random.choice(fault_generators)(random, deployment, at_s))
    return sorted(faults, key=lambda fault: fault.at_s)


def draw_drains_during_restarts(random, deployment, length_s):
    """Return faults in which a leaf begins to drain while a root that was killed is down.

    Drawn by a generator of their own, so that the faults of earlier seeds stay as they are.
    """
    at_s = random.uniform(WARM_UP_S, length_s - COOL_DOWN_S)
    return [
        Fault(
            at_s,
            "drain during restart",
            draw_root(random, deployment),
            {
                "leaf": draw_leaf(random, deployment),
                "s": random.uniform(1.5, 3.0),
                "answer_after_s": random.choice((0.0, 0.1, 0.3, 0.8)),
            },
        )
    ]


def draw_stops_during_hangs(random, deployment, length_s):
    """Return a fault in which half of the leaves, with all replicas of some shards, hang from just
    before a root is stopped until after it must have ended.

    Drawn by a generator of their own, so that the faults of earlier seeds stay as they are.
    """
    before_s = random.uniform(0.05, 0.5)
    hang_s = before_s + kill_delay_s(deployment) + HANG_AFTER_KILL_S
    return [
        Fault(
            random.uniform(WARM_UP_S, max(WARM_UP_S, length_s - COOL_DOWN_S - hang_s)),
            "stop during hang",
            draw_root(random, deployment),
            {"cell": random.randrange(CELLS), "before_s": before_s, "s": hang_s},
        )
    ]


def draw_wrong_lengths(random, deployment, length_s):
    """Return faults in which leaves state wrong lengths of their answers' frames.

    Drawn by a generator of their own, as above.
    """
    return [
        Fault(
            random.uniform(WARM_UP_S, length_s - COOL_DOWN_S),
            "leaf mood",
            draw_leaf(random, deployment),
            {"share": random.choice((0.2, 0.7)), "s": random.uniform(0.5, 2.0), "of": outcomes},
        )
        for outcomes in (["too short"], ["too long"], ["too short", "too long", "later"])
    ]


def draw_kill_series(random, deployment, length_s):
    """Return a fault in which a root is killed, started, killed again soon, and started.

    Drawn by a generator of their own, as above.
    """
    series_s = 2 * KILL_SERIES_DOWN_S + KILL_SERIES_UP_S[1]
    last_s = max(WARM_UP_S, length_s - COOL_DOWN_S - series_s)
    return [
        Fault(
            random.uniform(WARM_UP_S, last_s),
            "kill root in series",
            draw_root(random, deployment),
            {"up_s": random.uniform(*KILL_SERIES_UP_S), "down_s": KILL_SERIES_DOWN_S},
        )
    ]


def draw_insisting_clients(random):
    """Return how many more clients of each root use their connections for as long as these are
    open.

    Drawn by a generator of their own, as above.
    """
    return random.choice((0, 10, 40))


@dataclass(frozen=True)
class ChunkedLoad:
    """Clients of one root whose bodies come in small chunks, for a part of a soak."""

    root: int
    clients: int
    chunk_bytes: int
    begin_s: float
    end_s: float


def draw_chunked_load(random, deployment, length_s):
    """Return the clients whose bodies come in small chunks.

    Drawn by a generator of their own, as above.
    """
    begin_s = random.uniform(WARM_UP_S, max(WARM_UP_S, length_s - COOL_DOWN_S - CHUNKED_LOAD_S))
    return ChunkedLoad(
        draw_root(random, deployment),
        random.choice((12, 24)),
        random.choice((1, 4, 16)),
        begin_s,
        begin_s + CHUNKED_LOAD_S,
    )


@dataclass(frozen=True)
class BadClientLoad:
    """Bad clients of one root, for a part of a soak; `kind`: one of `bad_clients.KINDS`."""

    root: int
    kind: str
    clients: int
    begin_s: float
    end_s: float


def draw_bad_clients(random, deployment, length_s):
    """Return the bad clients: from one to more than the descriptors of their root.

    Drawn by a generator of their own, as above.
    """
    begin_s = random.uniform(WARM_UP_S, max(WARM_UP_S, length_s - COOL_DOWN_S - BAD_CLIENTS_S))
    return BadClientLoad(
        draw_root(random, deployment),
        random.choice(sorted(KINDS)),
        random.choice((1, 20, 100, 300, 600)),
        begin_s,
        begin_s + BAD_CLIENTS_S,
    )


def kill_delay_s(deployment):
    """Return the time after SIGTERM after which a root is killed."""
    return min(deployment.deadline_s, KILL_DEADLINE_MAX_S) + KILL_DELAY_S


def draw_root(random, deployment):
    return random.randrange(deployment.roots)


def draw_leaf(random, deployment):
    return random.randrange(deployment.leaves)


def stop_root(random, deployment, at_s):
    return Fault(at_s, "stop root", draw_root(random, deployment))


def kill_root(random, deployment, at_s):
    return Fault(at_s, "kill root", draw_root(random, deployment))


def suspend_root(random, deployment, at_s):
    return Fault(
        at_s,
        "hold root",
        draw_root(random, deployment),
        {"s": random.choice((0.05, 0.12, 0.15, 0.6))},
    )


def reload_root(random, deployment, at_s):
    return Fault(
        at_s, "reload root", draw_root(random, deployment), {"half": random.random() < 0.3}
    )


def reload_root_twice(random, deployment, at_s):
    return Fault(
        at_s,
        "reload root",
        draw_root(random, deployment),
        {"half": False, "again_after_s": random.uniform(0, 0.3)},
    )


# Series of signals, by name: repeated reloads, SIGTERM during a reload, SIGTERM twice, SIGTERM
# before a reload, and reloads around two SIGTERMs.
SIGNAL_SERIES = (
    ("HUP", "HUP", "HUP", "HUP"),
    ("HUP", "TERM"),
    ("TERM", "TERM"),
    ("TERM", "HUP"),
    ("HUP", "TERM", "HUP", "TERM"),
)
SIGNAL_GAP_MAX_S = 0.1  # longest gap between two signals


def signal_root(random, deployment, at_s):
    return Fault(
        at_s,
        "signal root",
        draw_root(random, deployment),
        {
            "series": random.choice(SIGNAL_SERIES),
            "gap_s": random.choice((0.0, random.uniform(0, SIGNAL_GAP_MAX_S))),
            "at_start": random.random() < 0.3,
        },
    )


def step_wall_clock(random, deployment, at_s):
    return Fault(
        at_s,
        "step wall",
        draw_root(random, deployment),
        {"s": random.choice(WALL_CLOCK_STEPS_S), "stamps": random.random() < 0.7},
    )


def fail_calls(random, deployment, at_s):
    call = random.choice(CALLS)
    # If every send or read failed for up to a second, no request could be answered in time.
    share = random.choice((0.05, 0.3) if call in ("send", "recv") else (0.05, 0.3, 1.0))
    return Fault(
        at_s,
        "fail calls",
        draw_root(random, deployment),
        {"call": call, "share": share, "s": random.uniform(0.1, 1.0)},
    )


def short_io(random, deployment, at_s):
    return Fault(
        at_s,
        "short io",
        draw_root(random, deployment),
        {"share": 0.2, "s": random.uniform(0.3, 1.5)},
    )


def hang_leaf(random, deployment, at_s):
    return Fault(at_s, "hang leaf", draw_leaf(random, deployment), {"s": random.uniform(0.2, 2.5)})


def restart_leaf(random, deployment, at_s):
    return Fault(
        at_s, "restart leaf", draw_leaf(random, deployment), {"down_s": random.uniform(0.1, 1.0)}
    )


def drain_leaf(random, deployment, at_s):
    return Fault(at_s, "drain leaf", draw_leaf(random, deployment), {"s": random.uniform(0.5, 2.5)})


def inject_leaf_errors(random, deployment, at_s):
    return Fault(
        at_s,
        "leaf mood",
        draw_leaf(random, deployment),
        {
            "share": random.choice((0.2, 0.7)),
            "s": random.uniform(0.5, 2.0),
            "of": random.choice(
                (["bad"], ["later"], ["spoilt", "endless"], ["bad", "later", "spoilt"])
            ),
        },
    )


def close_idle(random, deployment, at_s):
    return Fault(at_s, "close idle", draw_leaf(random, deployment))


def reset_leaf(random, deployment, at_s):
    return Fault(at_s, "reset leaf", draw_leaf(random, deployment))


def stall_route(random, deployment, at_s):
    return Fault(
        at_s, "stall route", draw_leaf(random, deployment), {"s": random.uniform(0.1, 1.5)}
    )


def silence_route(random, deployment, at_s):
    return Fault(at_s, "silence route", draw_leaf(random, deployment))


def cut_route(random, deployment, at_s):
    return Fault(at_s, "cut route", draw_leaf(random, deployment))


def refuse_route(random, deployment, at_s):
    return Fault(
        at_s, "refuse route", draw_leaf(random, deployment), {"s": random.uniform(0.2, 1.5)}
    )


def silence_watch(random, deployment, at_s):
    return Fault(at_s, "silence watch", random.choice((None, draw_root(random, deployment))))


def drop_watches(random, deployment, at_s):
    return Fault(at_s, "drop watches")


def discovery_down(random, deployment, at_s):
    return Fault(at_s, "discovery down", parameters={"s": random.uniform(0.5, 2.5)})
