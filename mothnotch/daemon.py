"""A root that speaks the PostgreSQL protocol: assembles its components and runs them.

One nursery contains all tasks; when it exits, every connection, call and timer has ended.
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
from mothnotch.decisions.resource_limits import EXIT_DELAY_S, shutdown_answer_s
from mothnotch.fronts.pg import PgFrontend
from mothnotch.fronts.session import Service
from mothnotch.leaves.pool import LeafPools
from mothnotch.merge.row_storage import RowStorage
from mothnotch.net import parse_address
from mothnotch.peers.peer_discovery import ADDRESS_META_KEY, PeerDiscovery
from mothnotch.peers.service import PeerService
from mothnotch.root.core import Core
from mothnotch.root.endpoint_file import EndpointFile, EndpointFileWatch, EndpointSource
from mothnotch.sql.plan import Planner
from mothnotch.store.endpoint_cache import EndpointCache

# Size of a random seed. Each component has its own generator, so that the draws of one do not
# affect those of another.
SEED_BYTES = 8
# Size of the random suffix that distinguishes the runs of a root.
RUN_NAME_BYTES = 6


class Root:
    """A root assembled from its configuration."""

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
        """Assemble a root without running it or listening.

        `source`: an endpoint list that replaces the configured file or catalogue; `seed`: replaces
        the configured seed of the decisions; `random(count)`: returns random bytes for secrets and
        for the name of this run; `cpu()`: returns the CPU time used, in seconds.
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
        self.front = PgFrontend(self.service, config, network, log, random)
        # The addresses listened on, once the root serves.
        self.addresses: list[str] = []
        self.peers: PeerService | None = None
        self.registrar: Registrar | None = None
        self._registration_scope = trio.CancelScope()
        self.peer_discovery: PeerDiscovery | None = None
        # The order of the random draws below must not change: seeded runs must be reproducible.
        if config.peers is not None:
            self.peers = self._make_peers()
        if config.consul is None or source is not None:
            source = source or EndpointFile(config.roster)
            self.watch = EndpointFileWatch(
                source, config.cells, self.core, self.leaves, network, log
            )
        else:
            self._watch_consul()

    def _make_core(self, seed: object) -> Core:
        memory = self.config.memory
        return Core(
            self.config.settings(),
            self.config.seed if seed is None else seed,
            self.leaves,
            self.log,
            self.config.root.most_queries,
            RowStorage(MemoryBudget(memory.limit_bytes, memory.disk_bytes), memory.directory),
        )

    def _make_peers(self) -> PeerService:
        peers = self.config.peers
        generator = Random(self._random(SEED_BYTES))
        # A later incarnation has a higher number as far as the wall clocks agree; otherwise, the
        # membership protocol corrects it.
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

    def _watch_consul(self) -> None:
        """Create the watch on Consul's catalogue and, if configured, the registrar.

        If the root has peers, also create their discovery among the registered roots.
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
        """Return the cache of the last endpoint list, None if none is configured."""
        consul = self.config.consul
        if not consul.held:
            return None
        fingerprint = f"{consul.datacenter} {consul.namespace} {consul.service} {self.config.cells}"
        return EndpointCache(consul.held, fingerprint)

    def _first_tcp_address(self) -> tuple[str, int]:
        """Return (host, port) of the first TCP address listened on; port 0 if there is none."""
        for address in self.addresses:
            kind, *rest = parse_address(address)
            if kind == "tcp":
                return tuple(rest)
        return "", 0

    def _peer_meta(self) -> dict[str, str]:
        """Return the metadata of the root's catalogue entry that its peers need."""
        if self.peers is None:
            return {}
        return {ADDRESS_META_KEY: self.config.peers.address or self.peers.socket.address}

    async def stop(self) -> None:
        """Shut down gracefully: return once all accepted statements are answered.

        Every statement is answered within `shutdown_answer_s`, whatever its deadline; sessions
        without a statement end at once. The caller cancels `run` afterwards.
        """
        if self.front.stopping or not self.addresses:
            return
        longest_us = max(
            query_class.deadline_us for query_class in self.core.settings.classes.values()
        )
        answer_by_s = trio.current_time() + shutdown_answer_s(longest_us)
        self._registration_scope.cancel()  # so that clients are sent here no more
        self.front.begin_shutdown(answer_by_s * 1e6)
        open_count = self.core.shorten_deadlines(int(answer_by_s * 1e6))
        self.log.info("shutdown began", open_queries=open_count, sessions=len(self.front.clients))
        await self.front.wait_for_sessions(answer_by_s)
        self.core.end_open_queries()
        await self.front.wait_for_sessions(trio.current_time() + EXIT_DELAY_S)

    async def run(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Serve until cancelled; report started once all addresses listen and the list was read.

        Raise OSError if the root cannot listen on an address.
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
                    nursery.start_soon(self._run_registrar)
                self.log.info("serving", addresses=self.addresses)
                task_status.started(self)
                await trio.sleep_forever()
        finally:
            self.log.info("stopped", **self.core.counts)

    async def _run_registrar(self) -> None:
        with self._registration_scope:
            await self.registrar.run()


def cpu_time() -> float:
    """Return the CPU time of this thread, in seconds."""
    return time.thread_time()
