"""Resolve doubts of the membership by consistent queries to every agent."""

from collections.abc import Callable

import trio

from mothnotch.consul import api
from mothnotch.consul.agent import AgentError
from mothnotch.consul.service_query import ServiceQuery
from mothnotch.decisions.leaf_membership.membership import LeafMembership
from mothnotch.root.core import now_us

# Timeout of a consistent query; short, because a doubt delays changes of the list.
QUERY_TIMEOUT_S = 1.0
# After a round that did not resolve the doubt, the next one follows after a pause that doubles each
# time, so that a catalogue without a leader is not flooded with queries.
FIRST_PAUSE_S = 0.1
MAX_PAUSE_S = 5.0


class DoubtResolver:
    """Runs rounds of consistent queries, one round at a time, while there is a doubt."""

    def __init__(
        self,
        query: ServiceQuery,
        membership: LeafMembership,
        network,
        log,
        random: Callable[[], float],
        on_round: Callable[[bool], None],
    ):
        """Call `on_round` after each round with whether the round resolved the doubt."""
        self._query = query
        self._membership = membership
        self._network = network
        self._log = log
        self._random = random
        self._on_round = on_round
        self._doubt_raised = trio.Event()

    def on_doubt(self) -> None:
        """Start rounds of queries, as the membership has a doubt."""
        self._doubt_raised.set()

    async def run(self) -> None:
        """Run rounds whenever there is a doubt, until cancelled."""
        agents = self._query.agents()
        pause_s = FIRST_PAUSE_S
        while True:
            if not self._membership.doubt:
                pause_s = FIRST_PAUSE_S
                self._doubt_raised = trio.Event()
                await self._doubt_raised.wait()
            is_repeated = pause_s > FIRST_PAUSE_S
            if await self._run_round(agents, self._log.debug if is_repeated else self._log.warning):
                continue
            await trio.sleep(pause_s * (0.5 + 0.5 * self._random()))
            pause_s = min(MAX_PAUSE_S, 2 * pause_s)

    async def _run_round(self, agents, log):
        """Send every agent a consistent query; return whether that resolved the doubt."""
        requested_us = now_us()
        answers = []
        log(
            "an answer is in doubt; every agent is sent a consistent query",
            why=self._membership.doubt,
        )

        async def query_one(agent_number, scope):
            try:
                answer, _ = await self._query.send(
                    agents[agent_number], agent_number, 0, None, "consistent", QUERY_TIMEOUT_S
                )
            except (AgentError, api.BadAnswerError) as error:
                log("consistent query failed", agent=agents[agent_number].address, error=str(error))
                return
            answers.append(answer)
            if self._resolve(requested_us, [answer], complete=False):
                scope.cancel()

        async with trio.open_nursery() as nursery:
            for agent_number in range(len(agents)):
                nursery.start_soon(query_one, agent_number, nursery.cancel_scope)
        is_resolved = not self._membership.doubt or self._resolve(
            requested_us, answers, complete=True
        )
        self._on_round(is_resolved)
        return is_resolved

    def _resolve(self, requested_us, answers, complete):
        return self._membership.resolve_doubt(
            now_us(), self._network.wall_time(), requested_us, answers, complete
        )
