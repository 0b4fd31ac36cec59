"""A day whose roster comes from a stand-in Consul: what the fleet does is said there, and the
agents have troubles too.
"""

import random

import trio

from mothnotch.standins.consul import Catalogue, ConsulAgent, Faults

SERVICE = "stock-leaf"
MEANS = (
    "service maintenance",
    "node maintenance",
    "tag",
    "meta",
    "weight",
    "deregister",
    "deregister node",
)
GOSSIP_S = 0.3  # how soon the catalogue notices a leaf's process going or coming


class CatalogueNews:
    """The catalogue of a day, its agents, and what is said of each leaf."""

    def __init__(self, day, script):
        self.day, self.script, self.catalogue, self.answers = day, script, Catalogue(), []
        self.agents = [
            ConsulAgent(
                self.catalogue, day.network, "127.0.0.1:0", f"agent-{n}", self.answers.append
            )
            for n in range(script.agents)
        ]
        self.how = {}  # leaf -> the means by which it is marked as departing

    async def start(self, nursery):
        nursery.start_soon(self.catalogue.run)
        for agent in self.agents:
            await nursery.start(agent.run)
        self.tell()
        nursery.start_soon(self.gossip)

    def config(self):
        return {
            "agents": [a.address for a in self.agents],
            "service": SERVICE,
            "follow": self.script.follow,
            "wait_s": self.script.wait_s,
            "hold_s": 60.0,
        }

    def tell(self, *only):
        """Says of each leaf what is so: registers it, marks it, or takes it out."""
        for name, state in self.day.fleet.states.items():
            if only and name not in only:
                continue
            how = (
                self.how.get(name) or {"up": "", "draining": "meta", "removed": "deregister"}[state]
            )
            node, leaf = "node-" + name.split("-")[1], self.day.fleet.leaves[name]
            if how == "deregister":
                self.catalogue.deregister(node, name)
                continue
            if how == "deregister node":
                self.catalogue.deregister_node(node)
                continue
            host, _, port = leaf.settings.address.rpartition(":")
            cell = list(self.day.fleet.leaves).index(name) % self.day.config.cells
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
                ("draining",) if how == "tag" else (),
                {**meta, "state": "draining"} if how == "meta" else meta,
                {"Passing": 0, "Warning": 0} if how == "weight" else {"Passing": 1, "Warning": 1},
            )
            self.catalogue.maintenance(node, how == "service maintenance", name)
            self.catalogue.maintenance(node, how == "node maintenance")

    async def gossip(self):
        """The node's own check follows its process, a little late."""
        while True:
            await trio.sleep(GOSSIP_S)
            for name, leaf in self.day.fleet.leaves.items():
                node = "node-" + name.split("-")[1]
                if node in self.catalogue.nodes:
                    self.catalogue.set_check(
                        node, "serfHealth", "passing" if leaf.up else "critical"
                    )


class CatalogueTroubles:
    """Troubles of a day's catalogue, mixed into the Day; `t.leaves` counts agents here, where it is
    no list.
    """

    def some(self, t):
        agents = self.news.agents
        return random.Random(f"{self.seed} {t.kind} {t.at}").sample(
            agents, min(len(agents), t.leaves)
        )

    async def agents_during(self, t, **changes):
        agents = self.some(t)
        for agent in agents:
            for name, value in changes.items():
                setattr(agent.faults, name, value)
        await trio.sleep(t.lasts)
        for agent in agents:
            for name in changes:
                setattr(agent.faults, name, getattr(Faults(), name))

    async def do_consul_slow(self, t, names):
        await self.agents_during(t, delay_s=t.factor / 10)

    async def do_consul_silent(self, t, names):
        await self.agents_during(t, silent=True)

    async def do_consul_errors(self, t, names):
        await self.agents_during(t, status=500 if t.share > 0.7 else 429)

    async def do_consul_garbage(self, t, names):
        kinds = ("json", "cut", "deep", "headers")
        await self.agents_during(t, garbage=kinds[int(t.factor) % len(kinds)])

    async def do_consul_hidden(self, t, names):
        await self.agents_during(t, filtered=True)

    async def do_consul_lag(self, t, names):
        agents = self.some(t)
        for agent in agents:
            agent.set_lag(True)
        await trio.sleep(t.lasts)
        for agent in agents:
            agent.set_lag(False)

    async def do_consul_crash(self, t, names):
        agents = self.some(t)
        for agent in agents:
            agent.stop()
        await trio.sleep(t.lasts)
        for agent in agents:
            while agent.up:
                await trio.sleep(0.01)
            await self.life.start(agent.run)

    async def do_consul_wipe(self, t, names):
        """The servers lose their state; the leaves' own agents bring theirs back one by one."""
        self.news.catalogue.wipe()
        names = sorted(self.fleet.leaves)
        random.Random(f"{self.seed} wipe").shuffle(names)
        for name in names:
            await trio.sleep(t.lasts / len(names))
            self.news.tell(name)

    async def do_health_flapping(self, t, names):
        """A check of each leaf goes critical and back `factor` times a second; the leaf itself is
        sound.
        """
        end, on = trio.current_time() + t.lasts, False
        while trio.current_time() < end:
            on = not on
            for name in names:
                node = "node-" + name.split("-")[1]
                if (node, name) in self.news.catalogue.services:
                    self.news.catalogue.set_check(
                        node, "disk", "critical" if on else "passing", service_id=name
                    )
            await trio.sleep(0.5 / t.factor)
        for name in names:
            self.news.catalogue.remove_check("node-" + name.split("-")[1], "disk")

    async def do_depart(self, t, names):
        """Leaves are marked as departing, or taken out, by whatever means; they run on, and come
        back.
        """
        means = random.Random(f"{self.seed} {t.at} means").choice(MEANS)
        for name in names:
            self.news.how[name] = means
        self.news.tell(*names)
        await trio.sleep(t.lasts)
        for name in names:
            self.news.how.pop(name, None)
        self.news.tell(*names)
