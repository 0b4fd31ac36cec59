"""Discovers the addresses of other roots from `Meta.peers` of their entries in Consul's catalogue.

The catalogue only supplies addresses; which roots are alive is decided by the membership protocol.
Bounds: one query at a time, POLL_TIMEOUT_S per query, the size limit of all agent responses. After
a failure the next agent is queried.
"""

from collections.abc import Callable

import trio

from mothnotch.consul import api
from mothnotch.consul.agent import AgentClient, AgentError

# Metadata key under which a root registers HOST:PORT of its datagram socket.
ADDRESS_META_KEY = "peers"
# How long a new root may stay unknown to a root whose own seeds do not lead to it.
POLL_INTERVAL_S = 5.0
POLL_TIMEOUT_S = 3.0


class PeerDiscovery:
    """Polls the catalogue for addresses of roots."""

    def __init__(
        self, conf, own_number: int, network, log, on_addresses: Callable[[list[str]], None]
    ):
        """Prepare to poll the agents of a ConsulConfig that has `register`.

        The number of this root, `own_number`, selects the first agent. `on_addresses` is called
        with the addresses in each response.
        """
        self.conf = conf
        self.log = log
        self.on_addresses = on_addresses
        user_agent = f"mothnotch-peers/{own_number}"
        self.agents = [
            AgentClient.from_config(conf, address, network, user_agent) for address in conf.agents
        ]
        self._agent_index = own_number  # spreads roots over the agents
        self._is_failing = False

    async def run(self) -> None:
        """Poll until cancelled."""
        try:
            while True:
                await self._poll(self.agents[self._agent_index % len(self.agents)])
                await trio.sleep(POLL_INTERVAL_S)
        finally:
            for agent in self.agents:
                agent.close()

    async def _poll(self, agent: AgentClient) -> None:
        path = api.request_target(
            api.catalog_path(self.conf.register.service),
            mode="stale",
            dc=self.conf.datacenter,
            ns=self.conf.namespace,
            partition=self.conf.partition,
        )
        try:
            with trio.fail_after(POLL_TIMEOUT_S):
                response = await agent.request("GET", path)
                answer = api.parse_answer(*response, 0, 0, "stale", api.parse_catalog_entry)
        except (AgentError, api.BadAnswerError, trio.TooSlowError) as error:
            self._on_failure(agent, error)
            return
        self._is_failing = False
        instances = answer.instances
        self.on_addresses(
            [
                instance.meta[ADDRESS_META_KEY]
                for instance in instances
                if ADDRESS_META_KEY in instance.meta
            ]
        )

    def _on_failure(self, agent: AgentClient, error: Exception) -> None:
        """Switch to the next agent, and log only the first of consecutive failures."""
        if not self._is_failing:
            self.log.warning(
                "peer discovery failed",
                agent=agent.address,
                error=str(error) or f"no answer in {POLL_TIMEOUT_S:g} s",
            )
        self._is_failing = True
        self._agent_index += 1
