"""Query an agent for the instances of the leaves' service.

Each client has one request in flight at a time; the configuration limits the size of an answer.
"""

import hashlib

import trio

from mothnotch.consul import api
from mothnotch.consul.agent import AgentClient, AgentError
from mothnotch.decisions.leaf_membership.catalogue_answers import CatalogueAnswer
from mothnotch.root.core import now_us

DIGEST_BYTES = 16


class ServiceQuery:
    """The query for the service of a configuration, to be sent to any of its agents."""

    def __init__(self, conf, network, root_index: int):
        """Send queries as root `root_index`; `conf` is a ConsulConfig."""
        self._conf = conf
        self._network = network
        self._user_agent = f"mothnotch/{root_index}"

    def agents(self) -> list[AgentClient]:
        """Return a new client, not yet connected, for each agent; each has its own connection."""
        return [
            AgentClient.from_config(self._conf, address, self._network, self._user_agent)
            for address in self._conf.agents
        ]

    async def send(
        self,
        agent: AgentClient,
        agent_number: int,
        index: int,
        wait_s: float | None,
        mode: str,
        timeout_s: float,
    ) -> tuple[CatalogueAnswer, tuple]:
        """Return an agent's answer, and a digest that is equal for equal answers.

        Raise BadAnswerError if the answer is invalid, AgentError if none arrives in `timeout_s`.
        """
        requested_us = now_us()
        with trio.move_on_after(timeout_s) as scope:
            status, headers, body = await agent.request("GET", self._target(index, wait_s, mode))
        if scope.cancelled_caught:
            raise AgentError(f"{agent.address}: no answer in {timeout_s:.1f} s")
        answer = api.parse_answer(status, headers, body, agent_number, requested_us, mode)
        digest = hashlib.blake2b(body, digest_size=DIGEST_BYTES).digest()
        return answer, (answer.index, digest)

    def _target(self, index, wait_s, mode):
        conf = self._conf
        return api.request_target(
            api.health_path(conf.service),
            index,
            wait_s,
            mode,
            dc=conf.datacenter,
            ns=conf.namespace,
            partition=conf.partition,
            filter=conf.filter,
        )
