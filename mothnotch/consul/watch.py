"""Watch a service through Consul's agents, and notify the core and the connection pools.

`follow` agents are watched at the same time, each by blocking queries of its own. The first answer
to arrive is used; `mothnotch.decisions.leaf_membership` merges the answers of all agents into one
list. When an answer is in doubt, every agent is sent a consistent query. When every agent fails,
the core is notified (WatchEventKind.FAILED) and the module's Subscribe determines when to query
again. Bounds: `follow` + 1 requests at a time to one agent, the size of an answer, and
`MembershipSettings.max_instances` (10,000 unless set otherwise).
"""

from collections.abc import Callable

import trio

from mothnotch.consul import api
from mothnotch.consul.agent import AgentError
from mothnotch.consul.doubt_resolver import DoubtResolver
from mothnotch.consul.list_cache import ListCache
from mothnotch.consul.service_query import ServiceQuery
from mothnotch.decisions.interface import WatchEvent, WatchEventKind
from mothnotch.decisions.leaf_membership.membership import LeafMembership
from mothnotch.decisions.leaf_membership.settings import MembershipSettings
from mothnotch.decisions.poll_policy import PollPolicy
from mothnotch.root.core import now_us

# The longest wait for the module's Subscribe: a module that sends none must not stop the polling.
MAX_SUBSCRIBE_WAIT_S = 30.0
# The longest interval between checks of decisions that depend on time.
MAX_TICK_INTERVAL_S = 1.0
# The shortest interval between two saves of the list, as each costs an fsync.
SAVE_INTERVAL_S = 1.0


class ConsulWatch:
    """The watch of one service.

    `entries`, `kind` and `version` are those of the last published list.
    """

    def __init__(
        self,
        conf,
        settings: MembershipSettings,
        root_index: int,
        core,
        leaves,
        network,
        log,
        store,
        random: Callable[[], float],
    ):
        """Watch for root `root_index` and notify its `core` and its connection pools `leaves`.

        `conf` is a ConsulConfig, `store` an EndpointCache or None. `random()` returns numbers from
        0 to 1.
        """
        self.conf = conf
        self.root_index = root_index
        self.core = core
        self.leaves = leaves
        self.network = network
        self.log = log
        self.store = store
        self.random = random
        self.membership = LeafMembership(settings)
        self.version = 0
        self.entries = None
        self.kind = None
        self._query = ServiceQuery(conf, network, root_index)
        self._doubt_resolver = DoubtResolver(
            self._query, self.membership, network, log, random, self._on_round_end
        )
        self._list_cache = None
        if store is not None:
            self._list_cache = ListCache(store, conf.held_most_s, network, log)
        # For each watch: whether its last query was answered.
        self._answering = [False] * min(conf.follow, len(conf.agents))
        # Whether the module was notified of a failure since the last list.
        self._failure_notified = False
        # The Subscribe that the last reported failure awaits.
        self._reported_subscribe = None
        # The digest of the last merged answer.
        self._merged_digest = None
        # Set when there is a list to save.
        self._list_changed = trio.Event()
        # Set when the first list from an agent's answer is published.
        self._live_list_published = trio.Event()

    async def run(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Run until cancelled.

        The task reports that it has started once an agent has answered, or after `first_s`: the
        list cached on disk may name leaves that have drained since.
        """
        if self._list_cache is not None and await self._list_cache.restore(self.membership):
            self.publish()
        async with trio.open_nursery() as nursery:
            for watch_number in range(len(self._answering)):
                nursery.start_soon(self._poll, watch_number)
            nursery.start_soon(self._doubt_resolver.run)
            nursery.start_soon(self._run_timers)
            if self._list_cache is not None:
                nursery.start_soon(self._save_changes)
            if not self.membership.is_live:
                with trio.move_on_after(self.conf.first_s):
                    await self._live_list_published.wait()
            task_status.started()

    def publish(self) -> None:
        """Log the pending lines, and notify the pools and the module if the list has changed."""
        membership = self.membership
        for event in membership.log_events:
            getattr(self.log, event.level)(event.text, **event.details)
        membership.log_events.clear()
        entries = membership.entries()
        kind = membership.kind
        recovered = self._failure_notified and any(self._answering)
        if (entries, kind) == (self.entries, self.kind) and not recovered:
            return
        if not membership.is_live and not entries:
            return
        if recovered:
            self._failure_notified = False
            self.log.info("an agent answers again")
        self.entries = entries
        self.kind = kind
        self.version += 1
        # The pools come first: they withdraw attempts that the module decided on before the event
        # and that have not been sent.
        not_up = {entry.server for entry in entries if entry.state != "up"}
        self.leaves.update_endpoints(membership.addresses(), not_up)
        self.core.on_watch_event(WatchEvent(kind, self.version, entries))
        self.log.info(
            "list",
            version=self.version,
            kind=kind.value,
            index=membership.index,
            up=sum(entry.state == "up" for entry in entries),
            leaves=len(entries),
        )
        self._list_changed.set()
        if membership.is_live:
            self._live_list_published.set()

    # ---- polling ----

    async def _poll(self, watch_number):
        """Send blocking queries, one after the other, until cancelled."""
        agents = self._query.agents()
        polling = PollPolicy(
            len(agents), self.root_index + watch_number, self.conf.wait_s, self.random
        )
        followed_agent = None
        while True:
            poll = polling.next_poll(trio.current_time())
            if poll.delay_s:
                await trio.sleep(poll.delay_s)
            agent = agents[poll.agent]
            try:
                answer, digest = await self._query.send(
                    agent,
                    poll.agent,
                    poll.index,
                    poll.wait_s,
                    self.conf.mode,
                    poll.timeout_s,
                )
            except (AgentError, api.BadAnswerError) as error:
                agent.close()
                polling.on_failure(trio.current_time(), getattr(error, "retry_after_s", 0.0))
                self._on_failure(watch_number, error, poll.agent)
                if polling.all_agents_failed:
                    await self._await_subscribe()
                continue
            if poll.agent != followed_agent:
                followed_agent = poll.agent
                self.log.info(
                    "following", agent=self.conf.agents[followed_agent], watch=watch_number
                )
            polling.on_answer(trio.current_time(), answer.index)
            self._answering[watch_number] = True
            self._on_answer(answer, digest)

    def _on_failure(self, watch_number, error, agent_number):
        if self._answering[watch_number]:
            self.log.warning(
                "an agent failed; the next one is queried",
                agent=self.conf.agents[agent_number],
                error=str(error),
            )
        self._answering[watch_number] = False
        if not any(self._answering):
            self.membership.on_agent_failure(now_us())

    async def _await_subscribe(self):
        """Notify the module that every agent failed, and wait for its Subscribe."""
        if not any(self._answering) and not self._failure_notified:
            self.log.error(
                "no agent answers; the previous list is kept", leaves=len(self.entries or ())
            )
            self._failure_notified = True
        # At most one report for each Subscribe: the module answers every report, and each answer
        # wakes every watch, so that two watches that both reported would double the number of
        # queries with each round.
        subscribe = self.core.endpoints_requested
        if self._reported_subscribe is not subscribe:
            self._reported_subscribe = subscribe
            self.core.on_watch_event(WatchEvent(WatchEventKind.FAILED, self.version, ()))
        with trio.move_on_after(MAX_SUBSCRIBE_WAIT_S):
            await subscribe.wait()

    def _on_answer(self, answer, digest):
        is_same = digest == self._merged_digest
        if is_same and not self._failure_notified and not self.membership.is_unsynced:
            # The blocking query timed out without a change.
            return
        if self.membership.on_answer(now_us(), self.network.wall_time(), answer):
            self._merged_digest = digest
        self.publish()
        if self.membership.doubt:
            self._doubt_resolver.on_doubt()

    def _on_round_end(self, is_resolved):
        if is_resolved:
            # The next answer is merged even if it equals the last one before the doubt.
            self._merged_digest = None
        self.publish()

    # ---- timers and disk ----

    async def _run_timers(self):
        while True:
            release_us = self.membership.next_release_us()
            pause_s = MAX_TICK_INTERVAL_S
            if release_us is not None:
                pause_s = min(MAX_TICK_INTERVAL_S, max(0.001, (release_us - now_us()) / 1e6))
            await trio.sleep(pause_s)
            self.membership.on_tick(now_us(), self.leaves.local_evidence())
            self.publish()

    async def _save_changes(self):
        while True:
            await self._list_changed.wait()
            self._list_changed = trio.Event()
            if self.membership.is_live:
                await self._list_cache.save(self.membership)
            await trio.sleep(SAVE_INTERVAL_S)
