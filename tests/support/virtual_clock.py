"""A root and a demo fleet in memory on a virtual clock, for tests that need exact times."""

import random

import trio
import trio.testing

from mothnotch import demo, logs
from mothnotch.daemon import Root
from mothnotch.net.memory import MemoryNetwork
from mothnotch.root.endpoint_file import InMemoryEndpointFile
from mothnotch.standins.client import Client
from mothnotch.standins.leaf import Fleet


class World:
    """What a test gets. `seen` is what the leaves saw."""

    def __init__(self):
        self.network, self.seen = MemoryNetwork(), []

    async def client(self, user="desk"):
        client = Client(self.network, self.root.addresses[0], user)
        await client.connect()
        return client

    def arrived(self, word):
        return [s for s in self.seen if s.what == "arrived" and word in s.text]

    def tell(self):
        self.roster.text = demo.roster_text(self.fleet)


def play(test, changes=None, **options):
    """Runs `await test(world)` with a root on the demo's configuration, on a clock that costs no
    time.
    """
    trio._core._run._ALLOW_DETERMINISTIC_SCHEDULING = True
    trio._core._run._r.seed(1)
    world = World()

    async def main():
        async with trio.open_nursery() as nursery:
            world.nursery = nursery
            world.store, leaves = demo.create_leaves(
                world.network, world.seen.append, **{"rows": 10, **options}
            )
            world.fleet = Fleet(leaves, nursery)
            await world.fleet.start()
            world.roster = InMemoryEndpointFile(demo.roster_text(world.fleet))
            world.root = Root(
                demo.config(**(changes or {})),
                world.network,
                logs.null_logger(),
                world.roster,
                seed=1,
                random=random.Random(1).randbytes,
            )
            await nursery.start(world.root.run)
            await test(world)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    return world
