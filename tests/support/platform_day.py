"""A real root on the platform in memory, on a virtual clock, with the stand-ins of
mothnotch/standins/platform.py.
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


def config(discovery, known, sockets=256, **changes):
    text = json.dumps(
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
    return node_config.parse(text.encode())


class Kept:
    """A log that a test reads."""

    def __init__(self):
        self.lines = []

    def info(self, event, **fields):
        self.lines.append((event, fields))

    warning = error = info


class Day:
    def __init__(self):
        self.network, self.world, self.log = MemoryNetwork(), platform.World(), Kept()
        record = self.world.record
        record.floors, record.windows = {"read": 0.5, "hold": 1.0}, {"hold": 1.2}
        record.aims, record.worths = {"read": 0.8, "hold": 0.8}, {"read": 5.0, "hold": 1.0}
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

    def tell(self, leaf, state):
        self.world.record.told.append(
            (trio.current_time(), leaf.name, {"Ready": "up"}.get(state, "gone"), None)
        )
        self.discovery.say(False, self.target(leaf, state))


def play(test, sockets=256, work_s=0.05, silent=False, **changes):
    """Runs `await test(day)` with a root and a leaf for each cell, on a clock that costs no time."""
    trio._core._run._ALLOW_DETERMINISTIC_SCHEDULING = True
    trio._core._run._r.seed(1)
    day = Day()

    async def main():
        async with trio.open_nursery() as nursery:
            day.nursery = nursery
            day.leaves = [
                platform.Leaf(day.world, day.network, f"s{n}", n % CELLS, CELLS, REACH, work_s)
                for n in range(CELLS)
            ]
            for leaf in day.leaves:
                await nursery.start(leaf.run)
                day.world.record.told.append((0.0, leaf.name, "up", None))
            targets = [day.target(leaf) for leaf in day.leaves]
            day.discovery = platform.Discovery(day.network, targets)
            day.discovery.silent = silent
            await nursery.start(day.discovery.run)
            known = {"rev": 40, "all": True, "targets": targets}
            found = config(day.discovery.address, known, sockets, **changes)
            assert isinstance(found.initial_listing, listing.Listing)
            day.root = NodeRoot(found, day.network, day.log)
            await nursery.start(day.root.run)
            with trio.fail_after(600):
                await test(day)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    return day
