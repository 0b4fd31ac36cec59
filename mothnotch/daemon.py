"""The daemon: assembles core, leaves, endpoint list and front, and runs until cancelled.

One nursery holds everything; its end is the end of every connection, call and timer of the root.
"""

import os
import time
from collections.abc import Callable
from random import Random

import trio

from mothnotch.config import Config
from mothnotch.consul.registrar import Registrar
from mothnotch.consul.watch import ConsulWatch
from mothnotch.decisions.memory_budget import MemoryBudget
from mothnotch.fronts.pg import PgFront
from mothnotch.fronts.session import Service
from mothnotch.leaves.pool import LeafPools
from mothnotch.merge.holding import Holding
from mothnotch.net import parse_address
from mothnotch.peers.peer_discovery import ADDRESS_META_KEY, PeerDiscovery
from mothnotch.peers.service import PeerService
from mothnotch.root.core import Core
from mothnotch.root.endpoint_file import EndpointFile, EndpointFileWatch, EndpointSource
from mothnotch.sql.plan import Planner
from mothnotch.store.endpoint_cache import EndpointCache

# Seeds a generator of its own for each part that draws: one's draws don't shift the other's.
SEED_BYTES = 8
# Tells the runs of a root apart in its name.
RUN_NAME_BYTES = 6


class Root:
    """One root, assembled from its configuration."""

    def __init__(
        self,
        config: Config,
        network,
        log,
        source: EndpointSource | None = None,
        seed: object = None,
        random: Callable[[int], bytes] = os.urandom,
        cpu: Callable[[], float] | None = None,
    ):
        """Assemble a root; nothing runs or listens yet.

        `source`: the endpoint list, in place of the file or the catalogue that the configuration
        names; `seed`: of the decisions, in place of the configuration's; `random(count)` gives
        bytes for secrets and for the name of this run; `cpu()`: seconds of processor time.
        """
        self.config = config
        self.network = network
        self.log = log
        self._random = random
        self.leaves = LeafPools(network, config.pool(), log)
        self.core = self._make_core(seed)
        self.core.cpu_clock = cpu
        self._run_name = f"{config.root.me}-{random(RUN_NAME_BYTES).hex()}"
        schema = config.schema()
        planner = Planner(schema, config.front.plans)
        self.service = Service(self.core, planner, schema, config, self._run_name)
        self.front = PgFront(self.service, config, network, log, random)
        # What is listened at, once the root serves.
        self.addresses: list[str] = []
        self.peers: PeerService | None = None
        self.registrar: Registrar | None = None
        self.peer_discovery: PeerDiscovery | None = None
        # The order of the draws below is kept: a seeded run is repeated exactly.
        if config.peers is not None:
            self.peers = self._make_peers()
        if config.consul is None or source is not None:
            source = source or EndpointFile(config.roster)
            self.watch = EndpointFileWatch(
                source, config.cells, self.core, self.leaves, network, log
            )
        else:
            self._follow_consul()

    def _make_core(self, seed: object) -> Core:
        memory = self.config.memory
        return Core(
            self.config.settings(),
            self.config.seed if seed is None else seed,
            self.leaves,
            self.log,
            self.config.root.most_queries,
            Holding(MemoryBudget(memory.limit_bytes, memory.disk_bytes), memory.directory),
        )

    def _make_peers(self) -> PeerService:
        peers = self.config.peers
        generator = Random(self._random(SEED_BYTES))
        # Of two incarnations the later one has the higher number, as far as wall clocks go; the
        # membership corrects the rest.
        incarnation = (int(self.network.wall_time() * 1000), generator.getrandbits(32))
        return PeerService(
            self.network,
            self.log,
            peers.name,
            incarnation,
            peers.listen,
            peers.seeds,
            peers.fleet,
            [key.encode() for key in peers.keys],
            generator,
            peers.settings(),
        )

    def _follow_consul(self) -> None:
        """Watch the leaves in Consul's catalogue, and register there if the configuration says so.

        Where the root has peers, find them among the registered roots.
        """
        config = self.config
        consul = config.consul
        draw = Random(self._random(SEED_BYTES)).random
        self.watch = ConsulWatch(
            consul,
            consul.membership(config.cells, config.reach),
            config.root.me,
            self.core,
            self.leaves,
            self.network,
            self.log,
            self._make_cache(),
            draw,
        )
        if consul.register is None:
            return
        self.registrar = Registrar(
            consul,
            config.root.me,
            self._run_name,
            self.network,
            self.log,
            draw,
            self._first_tcp_address,
            self._peer_meta,
        )
        if self.peers is not None:
            self.peer_discovery = PeerDiscovery(
                consul, config.root.me, self.network, self.log, self.peers.set_discovered
            )

    def _make_cache(self) -> EndpointCache | None:
        """Return the file of the last endpoint list, if the configuration names one."""
        consul = self.config.consul
        if not consul.held:
            return None
        fingerprint = f"{consul.datacenter} {consul.namespace} {consul.service} {self.config.cells}"
        return EndpointCache(consul.held, fingerprint)

    def _first_tcp_address(self) -> tuple[str, int]:
        """Return (host, port) of the first TCP address served; port 0 if there is none."""
        for address in self.addresses:
            kind, *rest = parse_address(address)
            if kind == "tcp":
                return tuple(rest)
        return "", 0

    def _peer_meta(self) -> dict[str, str]:
        """Return what the root's own entry in the catalogue states for its peers."""
        if self.peers is None:
            return {}
        return {ADDRESS_META_KEY: self.config.peers.address or self.peers.socket.address}

    async def run(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Serve until cancelled; started once every address listens and the list was read.

        Raise OSError if an address cannot be listened at.
        """
        try:
            async with trio.open_nursery() as nursery:
                await nursery.start(self.leaves.run)
                await nursery.start(self.core.run)
                await nursery.start(self.watch.run)
                listeners = []
                for address in self.config.listen:
                    listeners += await self.network.listen(address)
                self.addresses = [self.network.bound_address(listener) for listener in listeners]
                nursery.start_soon(self.front.run, listeners, nursery)
                if self.peers is not None:
                    await nursery.start(self.peers.run)
                if self.peer_discovery is not None:
                    nursery.start_soon(self.peer_discovery.run)
                if self.registrar is not None:
                    nursery.start_soon(self.registrar.run)
                self.log.info("serving", addresses=self.addresses)
                task_status.started(self)
                await trio.sleep_forever()
        finally:
            self.log.info("stopped", **self.core.counts)


def cpu_time() -> float:
    """Return the processor time of this thread, in seconds."""
    return time.thread_time()
