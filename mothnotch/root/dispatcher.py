"""The event loop, the only caller of the balancer, and the dispatch of the balancer's actions.

A turn passes the posted events to `Balancer.handle`, carries out the resulting actions in order,
releases the queries that were closed, and sends the attempts, grouped by server.
"""

import heapq
import math
from time import perf_counter

import trio

from mothnotch.decisions.interface import PartArrived, QueryArrived, TimerFired
from mothnotch.net.read_first import let_connections_read
from mothnotch.root.clock import now_us
from mothnotch.root.request_table import Query

# Delays each timer slightly: one that fires early finds no call due, and the balancer, which still
# expects that wake-up, sets no other.
TIMER_SLACK_US = 2


class Dispatcher:
    """The posted events, the timers, and the loop over both.

    Bounds: events are bounded by the open requests and their attempts, as each attempt ends once;
    timers are bounded by the balancer, which sets at most one in each turn.
    """

    def __init__(self, core):
        """Create a dispatcher that uses the core's balancer, action handlers and log."""
        self._core = core
        # Posted events that have not been passed to the balancer yet.
        self.events = []
        # The time of the current turn, also used by the action handlers.
        self.now_us = 0
        self._woken = trio.Event()
        # Heap of times in microseconds.
        self._timers = []

    def post(self, event: object):
        """Queue an event for the balancer's next turn."""
        self.events.append(event)
        self._woken.set()

    def wake(self):
        """Wake the loop, so that it determines its next deadline again."""
        self._woken.set()

    def set_timer(self, delay_us: float):
        """Post TimerFired `delay_us` after the time of this turn."""
        heapq.heappush(self._timers, self.now_us + delay_us)

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        """Run until cancelled."""
        task_status.started()
        while True:
            due_s = math.inf
            if not self.events:
                self._woken = trio.Event()
                due_s = (self._next_us() + TIMER_SLACK_US) / 1e6
                with trio.move_on_at(due_s):
                    await self._woken.wait()
            await let_connections_read(due_s)
            started_s = perf_counter()
            self._turn()
            self._core.deadlines.end_overdue()
            self._core.loop_monitor.record("turn", started_s)

    def _next_us(self):
        """Return when the next turn is due if no event is posted before."""
        deadline_us = self._core.deadlines.next_us()
        return min(self._timers[0] if self._timers else math.inf, deadline_us)

    def _turn(self):
        core = self._core
        self.now_us = now_us()
        events = self.events
        self.events = []
        while self._timers and self._timers[0] <= self.now_us:
            heapq.heappop(self._timers)
            events.append(TimerFired(0))
        if not events:
            return
        core.counts["turns"] += 1
        actions, failed_queries = self._decide(events)
        pending_sends = core.actions.pending_sends
        for action in actions:
            self._contain_errors(core.handlers[type(action)], action)
        for query in failed_queries:
            if query.outcome is None:
                core.counts["broken"] += 1
                core.close_undecided(query, query.undecided_outcome())
        core.request_table.release_closed()
        for server, attempts in pending_sends.items():
            if attempts:
                self._contain_errors(core.leaves.send, server, attempts)
        pending_sends.clear()

    def _decide(self, events):
        """Return the balancer's actions, and the queries that an error in it affected."""
        core = self._core
        started_s = core.cpu_clock() if core.cpu_clock else 0
        remaining = iter(events)
        failed_queries = ()
        try:
            actions = core.balancer.handle(self.now_us, remaining)
        except Exception as error:
            # A defect must fail the query that triggered it, not every open query of this root.
            core.log.error("unexpected error in the balancer", error=repr(error), exc_info=True)
            actions = core.balancer.actions
            failed_queries = self._affected_queries(events, list(remaining))
        if core.cpu_clock:
            core.balancer_cpu_s += core.cpu_clock() - started_s
        return actions, failed_queries

    def _contain_errors(self, step, *args):
        """Run one step of a turn; log an error in it, and continue the turn.

        A defect then affects this step only: its attempts end by their timeouts, and its queries by
        the deadline guard.
        """
        try:
            step(*args)
        except Exception as error:
            self._core.log.error("unexpected error in a turn", error=repr(error), exc_info=True)

    def _affected_queries(self, events, remaining) -> list[Query]:
        """Return the queries affected by an error in the balancer; queue the remaining events.

        These are the query of the event that failed, and the queries that arrived in this turn, as
        the balancer has started none of them. `remaining`: the events that it did not reach.
        """
        core = self._core
        self.events = remaining + self.events
        # The balancer failed before it could set its timer for the next turn.
        self.set_timer(core.settings.tick_us)
        handled = events[: len(events) - len(remaining)]
        affected = {}
        for event in handled:
            if event is handled[-1] or type(event) in (QueryArrived, PartArrived):
                query = self._query_of(event)
                if query is not None:
                    affected[query.id] = query
        return list(affected.values())

    def _query_of(self, event):
        """Return the open query that an event concerns, or None."""
        table = self._core.request_table
        query = table.queries.get(getattr(event, "query", None))
        if query is not None:
            return query
        part = table.parts.get(getattr(event, "part", None))
        return None if part is None else part.query
