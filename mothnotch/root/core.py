"""The core of a root: the interface that frontends, leaf connections and discovery call.

The balancer alone picks servers, timeouts, retries, answers and rejections. The core keeps the
state between the balancer, the frontends and the leaves: the request table, the deadlines, the
dispatcher that calls the balancer, and the handlers of its actions.
"""

import itertools
import math
from collections.abc import Callable

import trio

from mothnotch.decisions.balancer import Balancer
from mothnotch.decisions.interface import (
    ClientDisconnected,
    PartArrived,
    QueryArrived,
    Settings,
    WatchEvent,
)
from mothnotch.decisions.invariants import (
    FINAL_ANSWER_SLACK_S,
    Invariant,
    SlowStartMonitor,
    Violations,
)
from mothnotch.decisions.outcomes import FinalStatus
from mothnotch.decisions.retry_budget import RetryBudget
from mothnotch.net.loop_monitor import LoopMonitor
from mothnotch.root.actions import ActionHandlers
from mothnotch.root.attempt import Attempt
from mothnotch.root.clock import now_us
from mothnotch.root.counters import count_final_answers, new_counters
from mothnotch.root.deadlines import DeadlineGuard
from mothnotch.root.dispatcher import Dispatcher
from mothnotch.root.request import Outcome, Request
from mothnotch.root.request_table import OverloadedError, Query, RequestTable
from mothnotch.root.trace import Trace

__all__ = ["Attempt", "Core", "OverloadedError", "now_us"]

# Ids of open queries that are logged when a root stops: enough to search the log for.
MAX_LOGGED_IDS = 20


class Core:
    """The balancer and the state of the requests that it decides on.

    Bounds: `max_queries` open queries, and `max_open` open queries and parts together; beyond
    either, `submit` raises OverloadedError.
    """

    def __init__(
        self,
        settings: Settings,
        seed: object,
        leaves,
        log,
        max_queries: int = 10_000,
        row_storage=None,
        max_open: float = math.inf,
        loop_monitor: LoopMonitor | None = None,
    ):
        """Assemble a core.

        `leaves.send(server, attempts)` sends attempts. `log` has structlog's methods.
        `row_storage` stores the rows of queries; None if the frontend's answers are not rows.
        `loop_monitor` records how long the turns take.
        """
        self.settings = settings
        self.leaves = leaves
        self.log = log
        self.row_storage = row_storage
        self.loop_monitor = loop_monitor or LoopMonitor()
        self.balancer = Balancer(settings, seed)

        self.request_table = RequestTable(max_queries, max_open)
        self.queries = self.request_table.queries
        self.parts = self.request_table.parts
        self.deadlines = DeadlineGuard(self)
        # Whether deadlines are enforced; switched off only to test the checks of the audit.
        self.enforce_deadlines = True
        self.dispatcher = Dispatcher(self)
        self.actions = ActionHandlers(self)
        # Maps each kind of action to its handler.
        self.handlers = self.actions.by_kind()
        # Set when the balancer requests the endpoint list, and then replaced by a new event.
        self.endpoints_requested = trio.Event()

        self.retry_budget = RetryBudget(settings.rules)
        self.slow_start = SlowStartMonitor(settings.rules, self.mean_work_us)
        self.violations = Violations(log.error)
        self.counts = new_counters()
        # Number of rejections and failures by the reason that the balancer gave.
        self.reason_counts = {}
        # CPU clock in seconds, if any, and the CPU time spent in the balancer as measured by it.
        self.cpu_clock = None
        self.balancer_cpu_s = 0.0
        # Trace of what happens to each query; off unless set.
        self.trace = Trace()

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        """Run the event loop until cancelled."""
        await self.dispatcher.run(task_status)

    # ---- called by frontends ----

    def submit(
        self,
        request: Request,
        on_final: Callable[[Outcome], None],
        has_disconnected: Callable[[], bool] | None = None,
    ) -> Query:
        """Accept a request; `on_final(outcome)` is called once, in the turn that decides it.

        `has_disconnected()` checks whether the client has disconnected when that may not have been
        read yet. Raise OverloadedError if too many queries or parts are open.
        """
        if self.request_table.is_full:
            self.counts["full"] += 1
            raise OverloadedError(
                f"{len(self.queries)} queries and {len(self.parts)} parts are open"
            )
        query = self.request_table.add_query(request, on_final, has_disconnected)
        self.counts["queries"] += 1
        self.retry_budget.record_admitted(now_us(), len(request.parts))
        self._post_arrivals(query)
        if self.enforce_deadlines:
            self.deadlines.add(request.deadline_us, query)
        return query

    def _post_arrivals(self, query):
        """Post the arrival of a query, then open each of its parts and post its arrival."""
        request = query.request
        self.post(
            QueryArrived(
                query.id,
                query.number,
                request.class_name,
                request.tenant,
                request.affinity_key,
                request.deadline_us,
                request.cost_us,
                request.is_retry,
            )
        )
        for number, spec in enumerate(request.parts):
            part = self.request_table.add_part(query, number, spec)
            self.post(PartArrived(part.id, query.number, spec.shard, spec.weight, spec.cost_us))

    async def execute(self, request: Request) -> Outcome:
        """Return the final answer to a request.

        Raise OverloadedError if it cannot be accepted. If the caller is cancelled, the balancer is
        told that the client disconnected.
        """
        if self.row_storage is not None and not self.row_storage.admit(request.priority_weight):
            self.counts["no_room"] += 1
            raise OverloadedError(
                "memory or disk is full with the rows of other queries",
                self.row_storage.retry_after_us,
            )
        done = trio.Event()
        query = self.submit(request, lambda outcome: done.set())
        try:
            await done.wait()
        except BaseException:
            # The query may have been answered, but its answer will not be read.
            if query.storage is not None:
                query.storage.close()
            raise
        finally:
            self.client_disconnected(query)
        return query.outcome

    def shorten_deadline(self, query: Query, at_us: int):
        """End a query by `at_us` at the latest, because other requests wait for its answer."""
        if query.outcome is None and at_us < min(query.ends_by_us, query.request.deadline_us):
            self.deadlines.add(at_us, query)
            self.dispatcher.wake()

    def shorten_deadlines(self, at_us: int) -> int:
        """End every open query by `at_us` at the latest, as the root shuts down; return their
        number.
        """
        queries = list(self.queries.values())
        for query in queries:
            self.shorten_deadline(query, at_us)
        return len(queries)

    def end_open_queries(self) -> int:
        """End every open query now, as the root ends; return their number."""
        queries = list(self.queries.values())
        for query in queries:
            self.deadlines.end(query)
        return len(queries)

    def end_query(self, query: Query):
        """End an open query now, as there is no room for its answer."""
        self.deadlines.end(query)

    def lose_sight_of_client(self, query: Query):
        """Begin no attempt of a query any more, as it cannot be seen whether its client has left.

        It is answered with the attempts that are in flight, and ends once it needs another.
        """
        query.client_is_unseen = True

    def client_disconnected(self, query: Query):
        """Close a query whose client disconnected, if it is open, without reporting an outcome."""
        if query.outcome is None:
            self.counts["gone"] += 1
            query.on_final = lambda outcome: None
            self.close_undecided(query, Outcome(FinalStatus.FAILED))

    def unanswered(self) -> tuple[int, int, list[str]]:
        """Return the numbers of accepted queries and of final answers, and ids of open queries.

        If the two numbers differ when a root stops, a query was left unanswered.
        """
        open_ids = list(itertools.islice(self.queries, MAX_LOGGED_IDS))
        return self.counts["queries"], count_final_answers(self.counts), open_ids

    def time_left_s(self) -> list[float]:
        """Return the time until the client's deadline of each query that `unanswered` names."""
        now_s = trio.current_time()
        return [
            round(query.request.deadline_us / 1e6 - now_s, 3)
            for query in itertools.islice(self.queries.values(), MAX_LOGGED_IDS)
        ]

    # ---- called by leaf connections and discovery ----

    def post(self, event: object):
        """Queue an event for the balancer's next turn."""
        self.dispatcher.post(event)

    def on_watch_event(self, event: WatchEvent):
        """Process a change of the endpoint list."""
        self.slow_start.update_endpoints(event.entries)
        self.post(event)

    def query_error(self, query: Query, error: object):
        """Answer a query with an error that it caused itself, unless it has its final answer."""
        if query.outcome is None:
            self.counts["faults"] += 1
            self.close_undecided(query, Outcome(FinalStatus.ANSWERED, error=error))

    def storage_of(self, query: Query) -> object:
        """Return the storage for a query's rows, created on the first call."""
        if query.storage is None:
            query.storage = self.row_storage.open_query(query.id, query.request.priority_weight)
        return query.storage

    # ---- called by the other modules of this package ----

    def close(self, query: Query, outcome: Outcome):
        """Give an open query its final answer."""
        self.violations.check(query.outcome is None, Invariant.ANSWERED_TWICE, query=query.id)
        late_s = trio.current_time() - query.request.deadline_us / 1e6
        self.violations.check(
            late_s < FINAL_ANSWER_SLACK_S, Invariant.FINAL_LATE, query=query.id, late_s=late_s
        )
        query.outcome = outcome
        if query.storage is not None:
            if outcome.status is FinalStatus.ANSWERED and outcome.error is None:
                outcome.storage = query.storage
            else:
                query.storage.close()
        self.request_table.close(query)
        query.on_final(outcome)

    def close_undecided(self, query: Query, outcome: Outcome):
        """Close a query without a decision of the balancer, and tell the balancer."""
        self.close(query, outcome)
        self.post(ClientDisconnected(query.id))

    def request_endpoints(self):
        """Wake the tasks that wait on `endpoints_requested`."""
        self.endpoints_requested.set()
        self.endpoints_requested = trio.Event()

    def mean_work_us(self) -> float:
        """Return the balancer's estimate of the mean work of a part, including that of its call."""
        known = self.balancer.work_estimates.by_class.values()
        default_us = self.balancer.longest_objective_us / 10
        work_us = sum(known) / len(known) if known else default_us
        return work_us + self.settings.call_overhead_us
