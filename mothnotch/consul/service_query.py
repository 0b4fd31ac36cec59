"""Query an agent for the instances of the leaves' service.

Each client has one request in flight at a time; the configuration limits the size of an answer.
"""

import hashlib

import trio

from mothnotch.consul import api
from mothnotch.consul.agent import Agent, AgentError
from mothnotch.decisions.leaf_membership.catalogue_answers import CatalogueAnswer
from mothnotch.root.core import now_us

DIGEST_BYTES = 16


class ServiceQuery:
    """The query for the service of a configuration, to be sent to any of its agents."""

    def __init__(self, conf, network, me: int):
        """Send queries as root `me`; `conf` is a ConsulConfig."""
        self._conf = conf
        self._network = network
        self._asker = f"mothnotch/{me}"

    def agents(self) -> list[Agent]:
        """Return a new client, not yet connected, for each agent."""
        return [
            Agent.of(self._conf, address, self._network, self._asker)
            for address in self._conf.agents
        ]

    async def ask(
        self,
        agent: Agent,
        agent_number: int,
        index: int,
        wait_s: float | None,
        mode: str,
        limit_s: float,
    ) -> tuple[CatalogueAnswer, tuple]:
        """Return an agent's answer, and a digest that is equal for equal answers.

        Raise BadAnswerError if the answer is invalid, AgentError if none arrives within `limit_s`.
        """
        requested_us = now_us()
        with trio.move_on_after(limit_s) as scope:
            status, headers, body = await agent.request("GET", self._target(index, wait_s, mode))
        if scope.cancelled_caught:
            raise AgentError(f"{agent.address}: no answer in {limit_s:.1f} s")
        answer = api.read_answer(status, headers, body, agent_number, requested_us, mode)
        digest = hashlib.blake2b(body, digest_size=DIGEST_BYTES).digest()
        return answer, (answer.index, digest)

    def _target(self, index, wait_s, mode):
        conf = self._conf
        return api.target(
            api.health_path(conf.service),
            index,
            wait_s,
            mode,
            dc=conf.datacenter,
            ns=conf.namespace,
            partition=conf.partition,
            filter=conf.filter,
        )
