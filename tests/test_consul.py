"""The watch over Consul's agents, in memory on a virtual clock: news, failures, doubts, the list on
disk, registration.
"""

import random

import pytest
import trio
import trio.testing

from mothnotch import demo, logs
from mothnotch.consul.inspect_agents import inspect_agents
from mothnotch.daemon import Root
from mothnotch.decisions import interface as i
from mothnotch.net.memory import MemoryNetwork
from mothnotch.standins.client import Client
from mothnotch.standins.consul import Catalogue, ConsulAgent
from mothnotch.standins.leaf import Fleet

SERVICE = "stock-leaf"


class World:
    """Leaves, a catalogue behind three agents, and one root that follows it."""

    def __init__(self):
        self.network, self.seen, self.told = MemoryNetwork(), [], []
        self.catalogue = Catalogue()
        self.agents = [
            ConsulAgent(
                self.catalogue, self.network, f"consul:{8500 + n}", f"agent-{n}", self.told.append
            )
            for n in range(3)
        ]

    def leaf_in(self, n, **changes):
        leaf = self.fleet.leaves[f"leaf-{n}"]
        host, _, port = leaf.s.address.rpartition(":")
        meta = {
            "cell": str(n),
            "zone": leaf.s.zone,
            "started": f"{leaf.started_wall:.3f}",
            **changes.pop("meta", {}),
        }
        self.catalogue.register_node(f"node-{n}", host)
        self.catalogue.register(f"node-{n}", SERVICE, "leaf", "", int(port), meta=meta, **changes)

    async def start_root(self, nursery, me=0, **consul):
        agents = consul.pop("agents", [a.address for a in self.agents])
        conf = demo.config(roster=None, consul={"agents": agents, "service": SERVICE, **consul})
        self.root = Root(
            conf, self.network, logs.silent(), seed=1, random=random.Random(me).randbytes
        )
        await nursery.start(self.root.run)
        return self.root

    def up(self):
        return {e.server for e in self.root.watch.entries if e.state == "up"}

    async def ask(self, times=1, gap=0.01):
        """How many of so many queries were answered whole."""
        client, got = Client(self.network, self.root.addresses[0], "desk"), 0
        await client.connect()
        for _ in range(times):
            reply = await client.query("SELECT count(*) FROM stock")
            got += reply.error is None
            await trio.sleep(gap)
        client.close()
        return got

    def last_new(self, n):
        mine = [
            s.at
            for s in self.seen
            if s.what == "arrived" and s.leaf == f"leaf-{n}" and "stock" in s.text
        ]
        return max(mine, default=0.0)


ALL = {f"node-{n}/leaf" for n in range(8)}


def play(test, prepare=lambda world: None, **consul):
    trio._core._run._ALLOW_DETERMINISTIC_SCHEDULING = True
    trio._core._run._r.seed(1)
    world = World()

    async def main():
        async with trio.open_nursery() as nursery:
            world.nursery = nursery
            world.store, leaves = demo.leaves(world.network, world.seen.append, rows=5)
            world.fleet = Fleet(leaves, nursery)
            await world.fleet.start()
            nursery.start_soon(world.catalogue.run)
            for agent in world.agents:
                await nursery.start(agent.run)
            for n in range(8):
                world.leaf_in(n)
            prepare(world)
            await world.start_root(nursery, **consul)
            await test(world)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    return world


def test_root_serves_from_the_catalogue_and_its_connections_say_who_answers():
    async def test(world):
        assert world.up() == ALL and await world.ask(5) == 5
        assert world.root.watch.kind is i.WatchEventKind.SNAPSHOT
        assert any(own.last_answered_us for own in world.root.leaves.own().values())

    play(test)


DEPARTURES = {
    "service maintenance": lambda w: w.catalogue.maintenance("node-3", True, "leaf"),
    "node maintenance": lambda w: w.catalogue.maintenance("node-3", True),
    "tag": lambda w: w.leaf_in(3, tags=("draining",)),
    "meta": lambda w: w.leaf_in(3, meta={"state": "draining"}),
    "weight": lambda w: w.leaf_in(3, weights={"Passing": 0, "Warning": 0}),
    "deregistered": lambda w: w.catalogue.deregister("node-3", "leaf"),
    "node deregistered": lambda w: w.catalogue.deregister_node("node-3"),
}


@pytest.mark.parametrize("leave", DEPARTURES.values(), ids=DEPARTURES)
def test_departing_leaf_gets_nothing_new_once_the_root_was_told(leave):
    async def test(world):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(world.ask, 100)
            await trio.sleep(0.5)
            assert world.last_new(3) > trio.current_time() - 0.2
            leave(world)
            at = trio.current_time()
        assert at < world.last_new(0) and world.last_new(3) <= at + 0.01
        assert world.up() == ALL - {"node-3/leaf"}

    play(test)


def test_whole_zone_that_deregisters_at_once_is_gone_when_the_leader_confirms():
    async def test(world):
        for n in range(0, 8, 2):
            world.catalogue.deregister(f"node-{n}", "leaf")
        await trio.sleep(0.1)
        assert world.up() == {f"node-{n}/leaf" for n in range(1, 8, 2)} and await world.ask(5) == 5

    play(test)


def test_ten_silent_minutes_lose_no_service_and_the_true_list_is_back_at_once_after():
    async def test(world):
        for agent in world.agents:
            agent.faults.silent = True
        assert await world.ask(30, gap=20) == 30
        world.catalogue.deregister("node-5", "leaf")
        for agent in world.agents:
            agent.faults.silent = False
        at = trio.current_time()
        while "node-5/leaf" in world.up():
            await trio.sleep(0.01)
            assert trio.current_time() < at + 35

    play(test)


def test_wiped_catalogue_loses_no_service_and_heals_as_leaves_come_back():
    async def test(world):
        world.catalogue.maintenance("node-6", True, "leaf")
        await trio.sleep(0.1)
        world.catalogue.wipe()
        assert await world.ask(30, gap=20) == 30
        assert world.up() == ALL - {"node-6/leaf"} and world.root.watch.membership.incarnation == 1
        for n in range(7):
            world.leaf_in(n)
        await trio.sleep(0.1)
        world.catalogue.deregister("node-0", "leaf")
        await trio.sleep(0.1)
        assert world.up() == {f"node-{n}/leaf" for n in (1, 2, 3, 4, 5, 6, 7)}
        assert await world.ask(5) == 5

    play(test)


def test_wiped_catalogue_with_a_lagging_agent_and_a_restored_old_state():
    async def test(world):
        world.agents[2].lag(True)
        await trio.sleep(0.1)
        world.catalogue.wipe()
        await trio.sleep(12)
        assert world.up() == ALL
        for n in range(8):
            world.leaf_in(n)
        world.catalogue.maintenance("node-1", True)
        await trio.sleep(1)
        assert world.up() == ALL - {"node-1/leaf"}
        await trio.sleep(30)
        assert world.up() == ALL - {"node-1/leaf"}

    play(test)


@pytest.mark.parametrize("garbage", ["json", "huge", "cut", "deep", "headers"])
def test_broken_answers_never_end_the_watch(garbage):
    async def test(world):
        for agent in world.agents:
            agent.faults.garbage = garbage
        world.catalogue.deregister("node-5", "leaf")
        await trio.sleep(20)
        assert world.up() == ALL and await world.ask(3) == 3
        for agent in world.agents:
            agent.faults.garbage = ""
        await trio.sleep(35)
        assert world.up() == ALL - {"node-5/leaf"}

    play(test, answer_limit=1 << 17)


def test_failing_agents_are_left_for_the_next_and_a_leaderless_one_is_heard_in_stale_mode_only():
    async def test(world):
        world.agents[0].faults.status = 500
        world.agents[1].faults.status = 429
        world.catalogue.maintenance("node-2", True)
        await trio.sleep(0.5)
        assert world.up() == ALL - {"node-2/leaf"}
        world.agents[2].stop()
        await trio.sleep(1)
        world.agents[0].faults.status = 0
        world.catalogue.maintenance("node-2", False)
        await trio.sleep(35)
        assert world.up() == ALL

    play(test)


def test_access_list_that_hides_everything_takes_nobody_away():
    async def test(world):
        for agent in world.agents:
            agent.faults.filtered = True
        world.catalogue.maintenance("node-2", True)
        await trio.sleep(15)
        assert world.up() == ALL
        for agent in world.agents:
            agent.faults.filtered = False
        await trio.sleep(15)
        assert world.up() == ALL - {"node-2/leaf"}

    play(test)


def test_root_that_starts_while_no_agent_answers_begins_from_its_list_on_disk(tmp_path):
    held = str(tmp_path / "last.db")

    async def test(world):
        world.catalogue.maintenance("node-4", True)
        await trio.sleep(3)
        async with trio.open_nursery() as nursery:
            for agent in world.agents:
                agent.faults.silent = True
            await world.start_root(nursery, held=held)
            assert world.root.watch.kind is i.WatchEventKind.CACHED and world.up() == ALL - {
                "node-4/leaf"
            }
            assert await world.ask(5) == 5
            for agent in world.agents:
                agent.faults.silent = False
            world.catalogue.maintenance("node-4", False)
            await trio.sleep(60)
            assert world.root.watch.kind is i.WatchEventKind.SNAPSHOT and world.up() == ALL
            nursery.cancel_scope.cancel()

    play(test, held=held)


def test_roots_find_their_peers_in_the_catalogue_and_leave_what_it_does_not_name_any_more():
    async def test(world):
        def peers(n):
            return {
                "name": f"r{n}",
                "listen": f"root-{n}:0",
                "fleet": "f",
                "keys": ["a key of these tests"],
            }

        async with trio.open_nursery() as nursery:
            roots = []
            for n in range(3):
                conf = demo.config(
                    roster=None,
                    peers=peers(n),
                    root={"roots": 3, "me": n},
                    consul={
                        "agents": [a.address for a in world.agents],
                        "service": SERVICE,
                        "register": {"ttl_s": 3},
                    },
                )
                roots.append(
                    Root(
                        conf,
                        world.network,
                        logs.silent(),
                        seed=1,
                        random=random.Random(n).randbytes,
                    )
                )
                await nursery.start(roots[-1].run)

            def together():
                return all(
                    sum(b.state == "alive" for b in r.peers.member_statuses()) == 2 for r in roots
                )

            with trio.fail_after(30):
                while not together():
                    await trio.sleep(0.1)
            for agent in world.agents:
                agent.stop()  # the catalogue is needed for addresses alone
            await trio.sleep(30)
            assert together()
            views = [root.peers.protocol.swim.seeds for root in roots]
            assert (
                all(view.discovered <= set(view.next_ping_us) for view in views)
                and sum(len(view.discovered) for view in views) >= 2
            )
            nursery.cancel_scope.cancel()

    play(test)


def test_root_registers_beats_comes_back_where_it_was_forgotten_and_leaves_nothing_behind():
    def roots(world):
        return [s for s in world.catalogue.services.values() if s["Service"] == "mothnotch"]

    async def test(world):
        async with trio.open_nursery() as nursery:
            await world.start_root(nursery, register={"ttl_s": 3})
            await trio.sleep(30)
            (entry,) = roots(world)
            assert (entry["Address"], entry["Port"]) == (
                "127.0.0.1",
                int(world.root.addresses[0].split(":")[1]),
            )
            (check,) = [
                c for c in world.catalogue.checks.values() if c["ServiceName"] == "mothnotch"
            ]
            assert check["Status"] == "passing"
            world.catalogue.deregister("agent-0", entry["ID"])
            await trio.sleep(3)
            assert len(roots(world)) == 1
            world.agents[0].stop()
            await trio.sleep(15)
            assert {
                node
                for (node, id), s in world.catalogue.services.items()
                if s["Service"] == "mothnotch"
            } == {"agent-0", "agent-1"}
            await world.nursery.start(world.agents[0].run)
            nursery.cancel_scope.cancel()
        assert not roots(world)

    play(test)


def test_module_says_when_a_silent_catalogue_is_asked_again():
    async def test(world):
        for agent in world.agents:
            agent.faults.status = 500
        await trio.sleep(60)
        asked = sum(agent.counts["requests"] for agent in world.agents)
        await trio.sleep(600)
        more = sum(agent.counts["requests"] for agent in world.agents) - asked
        assert 600 / 60 < more < 600

    play(test)


def test_token_and_filter_go_with_every_query():
    async def test(world):
        assert world.up() == ALL - {"node-3/leaf"}
        async with trio.open_nursery() as nursery:
            await world.start_root(nursery, token="wrong", first_s=1.0)
            assert not world.root.watch.entries
            nursery.cancel_scope.cancel()

    def lock(world):
        for agent in world.agents:
            agent.token = "s3"

    play(test, prepare=lock, token="s3", filter='Service.Meta.cell != "3"')


def test_look_says_what_each_agent_says():
    async def test(world):
        world.agents[1].faults.status = 500
        world.agents[2].lag(True)
        world.catalogue.maintenance("node-3", True)
        world.leaf_in(4, meta={"cell": "x"})
        lines = await inspect_agents(world.root.config, world.network)
        text = "\n".join(lines)
        assert (
            "consul:8501: status 500" in text
            and "consul:8502: index" in text
            and "NOT known" in text
        )
        assert [line for line in lines if "node-3/leaf" in line][0].endswith(
            "state draining, health passing; effective state draining"
        )
        assert "node-4/leaf" in text and "not usable" in text

    play(test)
