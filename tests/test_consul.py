"""Tests of the watch of Consul's agents, in memory on a virtual clock.

They cover changes of the catalogue, failures of agents, doubts, the list cached on disk and the
registration of roots.
"""

import random

import pytest
import trio
import trio.testing

from mothnotch import demo, logs
from mothnotch.consul.inspect_agents import inspect_agents
from mothnotch.daemon import Root
from mothnotch.decisions import interface
from mothnotch.net.memory import MemoryNetwork
from mothnotch.standins.client import Client
from mothnotch.standins.consul import Catalogue, ConsulAgent
from mothnotch.standins.leaf import Fleet

SERVICE = "stock-leaf"


class World:
    """Leaves, a catalogue behind three agents, and one root that watches it."""

    def __init__(self):
        self.network, self.leaf_events, self.agent_answers = MemoryNetwork(), [], []
        self.catalogue = Catalogue()
        self.agents = [
            ConsulAgent(
                self.catalogue,
                self.network,
                f"consul:{8500 + number}",
                f"agent-{number}",
                self.agent_answers.append,
            )
            for number in range(3)
        ]

    def register_leaf(self, number, **changes):
        leaf = self.fleet.leaves[f"leaf-{number}"]
        host, _, port = leaf.settings.address.rpartition(":")
        meta = {
            "cell": str(number),
            "zone": leaf.settings.zone,
            "started": f"{leaf.started_wall:.3f}",
            **changes.pop("meta", {}),
        }
        self.catalogue.register_node(f"node-{number}", host)
        self.catalogue.register(
            f"node-{number}", SERVICE, "leaf", "", int(port), meta=meta, **changes
        )

    async def start_root(self, nursery, me=0, **consul):
        agents = consul.pop("agents", [agent.address for agent in self.agents])
        conf = demo.config(roster=None, consul={"agents": agents, "service": SERVICE, **consul})
        self.root = Root(
            conf, self.network, logs.null_logger(), seed=1, random=random.Random(me).randbytes
        )
        await nursery.start(self.root.run)
        return self.root

    def up_names(self):
        return {entry.server for entry in self.root.watch.entries if entry.state == "up"}

    async def count_answered(self, count=1, pause_s=0.01):
        """Send queries one by one and return how many were answered without an error."""
        client, answered = Client(self.network, self.root.addresses[0], "desk"), 0
        await client.connect()
        for _ in range(count):
            reply = await client.query("SELECT count(*) FROM stock")
            answered += reply.error is None
            await trio.sleep(pause_s)
        client.close()
        return answered

    def last_arrival_s(self, number):
        arrivals_s = [
            event.at
            for event in self.leaf_events
            if event.what == "arrived" and event.leaf == f"leaf-{number}" and "stock" in event.text
        ]
        return max(arrivals_s, default=0.0)


ALL_NAMES = {f"node-{number}/leaf" for number in range(8)}


def play(test, prepare=lambda world: None, **consul):
    trio._core._run._ALLOW_DETERMINISTIC_SCHEDULING = True
    trio._core._run._r.seed(1)
    world = World()

    async def main():
        async with trio.open_nursery() as nursery:
            world.nursery = nursery
            world.store, leaves = demo.create_leaves(
                world.network, world.leaf_events.append, rows=5
            )
            world.fleet = Fleet(leaves, nursery)
            await world.fleet.start()
            nursery.start_soon(world.catalogue.run)
            for agent in world.agents:
                await nursery.start(agent.run)
            for number in range(8):
                world.register_leaf(number)
            prepare(world)
            await world.start_root(nursery, **consul)
            await test(world)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    return world


def test_root_serves_from_the_catalogue_and_records_which_leaves_answer():
    async def test(world):
        assert world.up_names() == ALL_NAMES and await world.count_answered(5) == 5
        assert world.root.watch.kind is interface.WatchEventKind.SNAPSHOT
        assert any(own.last_answered_us for own in world.root.leaves.local_evidence().values())

    play(test)


DEPARTURE_WAYS = {
    "service maintenance": lambda world: world.catalogue.maintenance("node-3", True, "leaf"),
    "node maintenance": lambda world: world.catalogue.maintenance("node-3", True),
    "tag": lambda world: world.register_leaf(3, tags=("draining",)),
    "meta": lambda world: world.register_leaf(3, meta={"state": "draining"}),
    "weight": lambda world: world.register_leaf(3, weights={"Passing": 0, "Warning": 0}),
    "deregistered": lambda world: world.catalogue.deregister("node-3", "leaf"),
    "node deregistered": lambda world: world.catalogue.deregister_node("node-3"),
}


@pytest.mark.parametrize("start_departure", DEPARTURE_WAYS.values(), ids=DEPARTURE_WAYS)
def test_departing_leaf_gets_no_new_parts_once_the_root_is_notified(start_departure):
    async def test(world):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(world.count_answered, 100)
            await trio.sleep(0.5)
            assert world.last_arrival_s(3) > trio.current_time() - 0.2
            start_departure(world)
            start_s = trio.current_time()
        assert start_s < world.last_arrival_s(0) and world.last_arrival_s(3) <= start_s + 0.01
        assert world.up_names() == ALL_NAMES - {"node-3/leaf"}

    play(test)


def test_zone_that_deregisters_at_once_is_removed_when_the_leader_confirms():
    async def test(world):
        for number in range(0, 8, 2):
            world.catalogue.deregister(f"node-{number}", "leaf")
        await trio.sleep(0.1)
        assert (
            world.up_names() == {f"node-{number}/leaf" for number in range(1, 8, 2)}
            and await world.count_answered(5) == 5
        )

    play(test)


def test_ten_minutes_without_agents_cost_no_answers_and_the_list_is_then_updated():
    async def test(world):
        for agent in world.agents:
            agent.faults.silent = True
        assert await world.count_answered(30, pause_s=20) == 30
        world.catalogue.deregister("node-5", "leaf")
        for agent in world.agents:
            agent.faults.silent = False
        start_s = trio.current_time()
        while "node-5/leaf" in world.up_names():
            await trio.sleep(0.01)
            assert trio.current_time() < start_s + 35

    play(test)


def test_wiped_catalogue_costs_no_answers_and_recovers_as_leaves_register():
    async def test(world):
        world.catalogue.maintenance("node-6", True, "leaf")
        await trio.sleep(0.1)
        world.catalogue.wipe()
        assert await world.count_answered(30, pause_s=20) == 30
        assert (
            world.up_names() == ALL_NAMES - {"node-6/leaf"}
            and world.root.watch.membership.incarnation == 1
        )
        for number in range(7):
            world.register_leaf(number)
        await trio.sleep(0.1)
        world.catalogue.deregister("node-0", "leaf")
        await trio.sleep(0.1)
        assert world.up_names() == {f"node-{number}/leaf" for number in (1, 2, 3, 4, 5, 6, 7)}
        assert await world.count_answered(5) == 5

    play(test)


def test_wiped_catalogue_with_a_lagging_agent_keeps_leaves_and_then_applies_drains():
    async def test(world):
        world.agents[2].set_lag(True)
        await trio.sleep(0.1)
        world.catalogue.wipe()
        await trio.sleep(12)
        assert world.up_names() == ALL_NAMES
        for number in range(8):
            world.register_leaf(number)
        world.catalogue.maintenance("node-1", True)
        await trio.sleep(1)
        assert world.up_names() == ALL_NAMES - {"node-1/leaf"}
        await trio.sleep(30)
        assert world.up_names() == ALL_NAMES - {"node-1/leaf"}

    play(test)


@pytest.mark.parametrize("garbage", ["json", "huge", "cut", "deep", "headers"])
def test_broken_answers_do_not_end_the_watch(garbage):
    async def test(world):
        for agent in world.agents:
            agent.faults.garbage = garbage
        world.catalogue.deregister("node-5", "leaf")
        await trio.sleep(20)
        assert world.up_names() == ALL_NAMES and await world.count_answered(3) == 3
        for agent in world.agents:
            agent.faults.garbage = ""
        await trio.sleep(35)
        assert world.up_names() == ALL_NAMES - {"node-5/leaf"}

    play(test, answer_limit=1 << 17)


def test_watch_moves_from_failing_agents_to_the_next():
    async def test(world):
        world.agents[0].faults.status = 500
        world.agents[1].faults.status = 429
        world.catalogue.maintenance("node-2", True)
        await trio.sleep(0.5)
        assert world.up_names() == ALL_NAMES - {"node-2/leaf"}
        world.agents[2].stop()
        await trio.sleep(1)
        world.agents[0].faults.status = 0
        world.catalogue.maintenance("node-2", False)
        await trio.sleep(35)
        assert world.up_names() == ALL_NAMES

    play(test)


def test_acl_that_filters_all_entries_removes_no_leaf():
    async def test(world):
        for agent in world.agents:
            agent.faults.filtered = True
        world.catalogue.maintenance("node-2", True)
        await trio.sleep(15)
        assert world.up_names() == ALL_NAMES
        for agent in world.agents:
            agent.faults.filtered = False
        await trio.sleep(15)
        assert world.up_names() == ALL_NAMES - {"node-2/leaf"}

    play(test)


def test_root_that_starts_while_no_agent_answers_uses_the_list_cached_on_disk(tmp_path):
    cache_path = str(tmp_path / "last.db")

    async def test(world):
        world.catalogue.maintenance("node-4", True)
        await trio.sleep(3)
        async with trio.open_nursery() as nursery:
            for agent in world.agents:
                agent.faults.silent = True
            await world.start_root(nursery, held=cache_path)
            assert (
                world.root.watch.kind is interface.WatchEventKind.CACHED
                and world.up_names() == ALL_NAMES - {"node-4/leaf"}
            )
            assert await world.count_answered(5) == 5
            for agent in world.agents:
                agent.faults.silent = False
            world.catalogue.maintenance("node-4", False)
            await trio.sleep(60)
            assert (
                world.root.watch.kind is interface.WatchEventKind.SNAPSHOT
                and world.up_names() == ALL_NAMES
            )
            nursery.cancel_scope.cancel()

    play(test, held=cache_path)


# Guards against queries served from the list on disk while the agents' newer one is on its way.
def test_root_with_a_list_on_disk_serves_once_it_has_the_agents_list(tmp_path):
    cache_path = str(tmp_path / "last.db")

    async def test(world):
        await trio.sleep(3)
        async with trio.open_nursery() as nursery:
            for agent in world.agents:
                agent.faults.delay_s = 1.0
            world.catalogue.maintenance("node-4", True)
            await world.start_root(nursery, held=cache_path)
            assert (
                world.root.watch.kind is interface.WatchEventKind.SNAPSHOT
                and world.up_names() == ALL_NAMES - {"node-4/leaf"}
            )
            nursery.cancel_scope.cancel()

    play(test, held=cache_path)


def test_roots_discover_peers_in_the_catalogue_and_keep_them_while_no_agent_answers():
    async def test(world):
        def peers(number):
            return {
                "name": f"r{number}",
                "listen": f"root-{number}:0",
                "fleet": "f",
                "keys": ["a key of these tests"],
            }

        async with trio.open_nursery() as nursery:
            roots = []
            for number in range(3):
                conf = demo.config(
                    roster=None,
                    peers=peers(number),
                    root={"roots": 3, "me": number},
                    consul={
                        "agents": [consul_agent.address for consul_agent in world.agents],
                        "service": SERVICE,
                        "register": {"ttl_s": 3},
                    },
                )
                roots.append(
                    Root(
                        conf,
                        world.network,
                        logs.null_logger(),
                        seed=1,
                        random=random.Random(number).randbytes,
                    )
                )
                await nursery.start(roots[-1].run)

            def all_alive():
                return all(
                    sum(status.state == "alive" for status in root.peers.member_statuses()) == 2
                    for root in roots
                )

            with trio.fail_after(30):
                while not all_alive():
                    await trio.sleep(0.1)
            for agent in world.agents:
                agent.stop()  # the catalogue is only needed for addresses
            await trio.sleep(30)
            assert all_alive()
            views = [root.peers.protocol.swim.seeds for root in roots]
            assert (
                all(view.discovered <= set(view.next_ping_us) for view in views)
                and sum(len(view.discovered) for view in views) >= 2
            )
            nursery.cancel_scope.cancel()

    play(test)


def test_root_registers_sends_heartbeats_registers_again_when_lost_and_deregisters():
    def root_registrations(world):
        return [
            service
            for service in world.catalogue.services.values()
            if service["Service"] == "mothnotch"
        ]

    async def test(world):
        async with trio.open_nursery() as nursery:
            await world.start_root(nursery, register={"ttl_s": 3})
            await trio.sleep(30)
            (entry,) = root_registrations(world)
            assert (entry["Address"], entry["Port"]) == (
                "127.0.0.1",
                int(world.root.addresses[0].split(":")[1]),
            )
            (ttl_check,) = [
                check
                for check in world.catalogue.checks.values()
                if check["ServiceName"] == "mothnotch"
            ]
            assert ttl_check["Status"] == "passing"
            world.catalogue.deregister("agent-0", entry["ID"])
            await trio.sleep(3)
            assert len(root_registrations(world)) == 1
            world.agents[0].stop()
            await trio.sleep(15)
            assert {
                node
                for (node, service_id), service in world.catalogue.services.items()
                if service["Service"] == "mothnotch"
            } == {"agent-0", "agent-1"}
            await world.nursery.start(world.agents[0].run)
            nursery.cancel_scope.cancel()
        assert not root_registrations(world)

    play(test)


def test_module_determines_when_a_failing_catalogue_is_queried_again():
    async def test(world):
        for agent in world.agents:
            agent.faults.status = 500
        await trio.sleep(60)
        requests_before = sum(agent.counts["requests"] for agent in world.agents)
        await trio.sleep(600)
        further_requests = sum(agent.counts["requests"] for agent in world.agents) - requests_before
        assert 600 / 60 < further_requests < 600

    play(test)


def test_token_and_filter_are_sent_with_every_query():
    async def test(world):
        assert world.up_names() == ALL_NAMES - {"node-3/leaf"}
        async with trio.open_nursery() as nursery:
            await world.start_root(nursery, token="wrong", first_s=1.0)
            assert not world.root.watch.entries
            nursery.cancel_scope.cancel()

    def require_token(world):
        for agent in world.agents:
            agent.token = "s3"

    play(test, prepare=require_token, token="s3", filter='Service.Meta.cell != "3"')


def test_inspect_agents_reports_the_answer_of_each_agent():
    async def test(world):
        world.agents[1].faults.status = 500
        world.agents[2].set_lag(True)
        world.catalogue.maintenance("node-3", True)
        world.register_leaf(4, meta={"cell": "x"})
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
