"""A platform root on an in-memory network and a virtual clock, with the simulated leaves, clients
and discovery of mothnotch/standins/platform.py.
"""

import json

import trio
import trio.testing

from mothnotch.decisions import interface as i
from mothnotch.net.memory import MemoryNetwork
from mothnotch.node import config as node_config
from mothnotch.node import listing
from mothnotch.node.root import NodeRoot
from mothnotch.standins import platform
from mothnotch.standins.platform_settings import CELLS, REACH, options


def make_config(discovery, known, sockets=256, **changes):
    raw = json.dumps(
        {
            "name": "n0",
            "listen": "root:80",
            "discovery": discovery,
            "seed": "8c1f",
            "known": known,
            "limits": {"cores": 1.0, "memory_mb": 64, "sockets": sockets},
            "settings": options(**changes),
        }
    )
    return node_config.parse(raw.encode())


class RecordingLog:
    """A log that keeps its lines for the test."""

    def __init__(self):
        self.lines = []

    def info(self, event, **fields):
        self.lines.append((event, fields))

    warning = error = info


class Environment:
    """A root with its network, leaves and discovery, and the record of what happened."""

    def __init__(self):
        self.network, self.world, self.log = MemoryNetwork(), platform.World(), RecordingLog()
        record = self.world.record
        record.min_answer_weights, record.repeat_windows_s = (
            {"read": 0.5, "hold": 1.0},
            {"hold": 1.2},
        )
        record.latency_objectives_s, record.priority_weights = (
            {"read": 0.8, "hold": 0.8},
            {"read": 5.0, "hold": 1.0},
        )
        record.rules = i.Rules(20000, 0.2, 9_000_000, 3.0, 3_000_000, None, 0, None)
        record.slack_s = 0.05

    async def client(self):
        return await platform.Client(self.world, self.network, self.root.addresses[0]).connect()

    def target(self, leaf, state="Ready", boot_ms=0):
        return {
            "uid": leaf.name,
            "endpoint": leaf.address,
            "az": "a",
            "pod_group": leaf.cell,
            "state": state,
            "capacity_hint": 1.0,
            "boot_ms": boot_ms,
        }

    def spoil_first_answer(self, reply_kind):
        """Have the leaves give a reply of this kind to the first part that they get, and good ones
        to all others; return the list of the requests to which they reply.
        """
        replied = []

        def choose(request_id, _shard):
            replied.append(request_id)
            return reply_kind if len(replied) == 1 else "good"

        for leaf in self.leaves:
            leaf.reply_kind = choose
        return replied

    def set_leaf_state(self, leaf, state):
        """Have discovery announce a state of a leaf, and record it for the auditor."""
        self.world.record.endpoint_updates.append(
            (trio.current_time(), leaf.name, {"Ready": "up"}.get(state, "gone"), None)
        )
        self.discovery.publish(False, self.target(leaf, state))


def run_on_virtual_clock(
    test, sockets=256, work_s=0.05, silent=False, wait_until_ready=True, **changes
):
    """Run `await test(env)` with a root and one leaf per cell; waiting takes no real time.

    `silent`: discovery does not answer the root's watch. `wait_until_ready`: the test begins once
    the root accepts queries, as clients are sent to it from then on.
    """
    trio._core._run._ALLOW_DETERMINISTIC_SCHEDULING = True
    trio._core._run._r.seed(1)
    env = Environment()

    async def main():
        async with trio.open_nursery() as nursery:
            env.nursery = nursery
            env.leaves = [
                platform.Leaf(env.world, env.network, f"s{n}", n % CELLS, CELLS, REACH, work_s)
                for n in range(CELLS)
            ]
            for leaf in env.leaves:
                await nursery.start(leaf.run)
                env.world.record.endpoint_updates.append((0.0, leaf.name, "up", None))
            targets = [env.target(leaf) for leaf in env.leaves]
            env.discovery = platform.Discovery(env.network, targets)
            env.discovery.silent = silent
            await nursery.start(env.discovery.run)
            known = {"rev": 40, "all": True, "targets": targets}
            root_config = make_config(env.discovery.address, known, sockets, **changes)
            assert isinstance(root_config.initial_listing, listing.Listing)
            env.root = NodeRoot(root_config, env.network, env.log)
            await nursery.start(env.root.run)
            while wait_until_ready and not env.root.watch.is_ready():
                await trio.sleep(0.001)
            with trio.fail_after(600):
                await test(env)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    return env
