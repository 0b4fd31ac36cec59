"""Scenarios whose roster comes from a stand-in for Consul, with faults of its agents.

The stand-in's catalogue lists the leaves and their states.
"""

import random

import trio

from mothnotch.standins.consul import Catalogue, ConsulAgent, Faults

SERVICE = "stock-leaf"
# The ways in which a leaf is marked as departing, or taken out.
DEPARTURE_METHODS = (
    "service maintenance",
    "node maintenance",
    "tag",
    "meta",
    "weight",
    "deregister",
    "deregister node",
)
SERF_CHECK_INTERVAL_S = 0.3  # until the catalogue notices that a leaf's process ended or started


class ConsulStandIn:
    """The catalogue of a scenario, its agents, and the registrations of the leaves."""

    def __init__(self, run, spec):
        self.run, self.spec, self.catalogue, self.answers = run, spec, Catalogue(), []
        self.agents = [
            ConsulAgent(
                self.catalogue, run.network, "127.0.0.1:0", f"agent-{n}", self.answers.append
            )
            for n in range(spec.agents)
        ]
        self.departure_methods = {}  # departing leaf -> one of DEPARTURE_METHODS

    async def start(self, nursery):
        """Start the agents, and register the leaves."""
        nursery.start_soon(self.catalogue.run)
        for agent in self.agents:
            await nursery.start(agent.run)
        self.update_registrations()
        nursery.start_soon(self.update_serf_checks)

    def config(self):
        """Return the `consul` section of a root's configuration."""
        return {
            "agents": [a.address for a in self.agents],
            "service": SERVICE,
            "follow": self.spec.follow,
            "wait_s": self.spec.wait_s,
            "hold_s": 60.0,
        }

    def update_registrations(self, *only):
        """Register, mark or deregister these leaves, by default all, as their states require."""
        for name, state in self.run.fleet.states.items():
            if only and name not in only:
                continue
            method = (
                self.departure_methods.get(name)
                or {"up": "", "draining": "meta", "removed": "deregister"}[state]
            )
            node, leaf = "node-" + name.split("-")[1], self.run.fleet.leaves[name]
            if method == "deregister":
                self.catalogue.deregister(node, name)
                continue
            if method == "deregister node":
                self.catalogue.deregister_node(node)
                continue
            host, _, port = leaf.settings.address.rpartition(":")
            cell = list(self.run.fleet.leaves).index(name) % self.run.config.cells
            meta = {
                "cell": str(cell),
                "zone": leaf.settings.zone,
                "started": f"{leaf.started_wall:.3f}",
            }
            self.catalogue.register_node(node, host)
            self.catalogue.register(
                node,
                SERVICE,
                name,
                "",
                int(port),
                ("draining",) if method == "tag" else (),
                {**meta, "state": "draining"} if method == "meta" else meta,
                {"Passing": 0, "Warning": 0}
                if method == "weight"
                else {"Passing": 1, "Warning": 1},
            )
            self.catalogue.maintenance(node, method == "service maintenance", name)
            self.catalogue.maintenance(node, method == "node maintenance")

    async def update_serf_checks(self):
        """Set the check of each node to the state of its leaf's process, with some delay."""
        while True:
            await trio.sleep(SERF_CHECK_INTERVAL_S)
            for name, leaf in self.run.fleet.leaves.items():
                node = "node-" + name.split("-")[1]
                if node in self.catalogue.nodes:
                    self.catalogue.set_check(
                        node, "serfHealth", "passing" if leaf.up else "critical"
                    )


class CatalogueFaults:
    """Mixin of ScenarioRun with the faults of the catalogue.

    In a fault of agents, `leaves` is the number of agents concerned. The names of the `do_` methods
    are the kinds of faults.
    """

    def chosen_agents(self, fault):
        """Return the agents that a fault concerns, chosen at random from the seed."""
        agents = self.consul.agents
        return random.Random(f"{self.seed} {fault.kind} {fault.at}").sample(
            agents, min(len(agents), fault.leaves)
        )

    async def set_agent_faults(self, fault, **changes):
        """Set these faults of the chosen agents while the fault lasts."""
        agents = self.chosen_agents(fault)
        for agent in agents:
            for name, value in changes.items():
                setattr(agent.faults, name, value)
        await trio.sleep(fault.lasts)
        for agent in agents:
            for name in changes:
                setattr(agent.faults, name, getattr(Faults(), name))

    async def do_consul_slow(self, fault, names):
        """Agents answer `factor` tenths of a second late."""
        await self.set_agent_faults(fault, delay_s=fault.factor / 10)

    async def do_consul_silent(self, fault, names):
        await self.set_agent_faults(fault, silent=True)

    async def do_consul_errors(self, fault, names):
        """Agents answer with status 500 or, if `share` is at most 0.7, with 429."""
        await self.set_agent_faults(fault, status=500 if fault.share > 0.7 else 429)

    async def do_consul_garbage(self, fault, names):
        """Agents send invalid answers of the kind that `factor` selects."""
        kinds = ("json", "cut", "deep", "headers")
        await self.set_agent_faults(fault, garbage=kinds[int(fault.factor) % len(kinds)])

    async def do_consul_hidden(self, fault, names):
        """Agents hide all entries, as an ACL would, and mark their answers as filtered."""
        await self.set_agent_faults(fault, filtered=True)

    async def do_consul_lag(self, fault, names):
        """Agents are cut off from their servers and serve a snapshot."""
        agents = self.chosen_agents(fault)
        for agent in agents:
            agent.set_lag(True)
        await trio.sleep(fault.lasts)
        for agent in agents:
            agent.set_lag(False)

    async def do_consul_crash(self, fault, names):
        """Agents end, and are started again."""
        agents = self.chosen_agents(fault)
        for agent in agents:
            agent.stop()
        await trio.sleep(fault.lasts)
        for agent in agents:
            while agent.up:
                await trio.sleep(0.01)
            await self.background.start(agent.run)

    async def do_consul_wipe(self, fault, names):
        """The servers lose their state; the leaves are then registered again, one after another."""
        self.consul.catalogue.wipe()
        names = sorted(self.fleet.leaves)
        random.Random(f"{self.seed} wipe").shuffle(names)
        for name in names:
            await trio.sleep(fault.lasts / len(names))
            self.consul.update_registrations(name)

    async def do_health_flapping(self, fault, names):
        """A check of each healthy leaf turns critical and back `factor` times a second."""
        end, is_critical = trio.current_time() + fault.lasts, False
        while trio.current_time() < end:
            is_critical = not is_critical
            for name in names:
                node = "node-" + name.split("-")[1]
                if (node, name) in self.consul.catalogue.services:
                    self.consul.catalogue.set_check(
                        node, "disk", "critical" if is_critical else "passing", service_id=name
                    )
            await trio.sleep(0.5 / fault.factor)
        for name in names:
            self.consul.catalogue.remove_check("node-" + name.split("-")[1], "disk")

    async def do_depart(self, fault, names):
        """Running leaves are marked as departing or taken out by a random method, and return."""
        method = random.Random(f"{self.seed} {fault.at} means").choice(DEPARTURE_METHODS)
        for name in names:
            self.consul.departure_methods[name] = method
        self.consul.update_registrations(*names)
        await trio.sleep(fault.lasts)
        for name in names:
            self.consul.departure_methods.pop(name, None)
        self.consul.update_registrations(*names)
