"""A root and a demo fleet in memory on a virtual clock, for tests that need exact timing."""

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
    """The environment of a test. `leaf_events`: the events that the leaves recorded."""

    def __init__(self):
        self.network, self.leaf_events = MemoryNetwork(), []

    async def client(self, user="desk"):
        """Return a connected client."""
        client = Client(self.network, self.root.addresses[0], user)
        await client.connect()
        return client

    def arrivals(self, word):
        """Return the statements containing `word` that have arrived at the leaves."""
        return [
            event for event in self.leaf_events if event.what == "arrived" and word in event.text
        ]

    def publish_roster(self):
        """Write the fleet's current state to the roster file of the root."""
        self.roster.text = demo.roster_text(self.fleet)


def run_in_world(test, changes=None, **options):
    """Run `await test(world)` with a root on the demo configuration and a virtual clock.

    `changes` are applied to the configuration; `options` are passed to the leaves.
    """
    trio._core._run._ALLOW_DETERMINISTIC_SCHEDULING = True
    trio._core._run._r.seed(1)
    world = World()

    async def main():
        async with trio.open_nursery() as nursery:
            world.nursery = nursery
            world.store, leaves = demo.create_leaves(
                world.network, world.leaf_events.append, **{"rows": 10, **options}
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
