"""The core: what frontends, leaf connections and discovery call, assembled from its parts.

Nothing here picks a server, a time-out, a retry, an answer or a rejection: the balancer does. The
core keeps the records between the balancer, the frontends and the leaves: the request table, the
deadlines, the dispatcher that calls the balancer, and the handlers of its actions.
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
from mothnotch.decisions.invariants import FINAL_SLACK_S, Invariant, SlowStart, Violations
from mothnotch.decisions.outcomes import FinalStatus
from mothnotch.decisions.retry_budget import RetryBudget
from mothnotch.root.actions import ActionHandlers
from mothnotch.root.attempt import Attempt
from mothnotch.root.clock import now_us
from mothnotch.root.counters import final_answers, new_counters
from mothnotch.root.deadlines import DeadlineGuard
from mothnotch.root.dispatcher import Dispatcher
from mothnotch.root.request import Outcome, Request
from mothnotch.root.request_table import OverloadedError, Query, RequestTable
from mothnotch.root.trace import Trace

__all__ = ["Attempt", "Core", "OverloadedError", "now_us"]

# Ids of open queries that are named at the end of a run: enough to search the log by.
MOST_NAMED = 20


class Core:
    """The balancer and the records of what it decides on.

    Bounds: `most_queries` open at once, and `most_open` queries and parts together, past which
    `submit` raises OverloadedError.
    """

    def __init__(
        self,
        settings: Settings,
        seed: object,
        leaves,
        log,
        most_queries: int = 10_000,
        holding=None,
        most_open: float = math.inf,
    ):
        """Assemble a core.

        `leaves.send(server, attempts)` sends; `log` has structlog's methods; `holding` keeps the
        rows of queries, where a frontend's answers are rows.
        """
        self.settings = settings
        self.leaves = leaves
        self.log = log
        self.holding = holding
        self.balancer = Balancer(settings, seed)

        self.table = RequestTable(most_queries, most_open)
        self.queries = self.table.queries
        self.parts = self.table.parts
        self.deadlines = DeadlineGuard(self)
        # Whether deadlines are guarded; off only to test the auditor.
        self.guard = True
        self.dispatcher = Dispatcher(self)
        self.actions = ActionHandlers(self)
        # The handler of each kind of action.
        self.on = self.actions.by_kind()
        # Set when the balancer asks for the endpoint list again; a new one each time.
        self.subscribe = trio.Event()

        self.further = RetryBudget(settings.rules)
        self.slow_start = SlowStart(settings.rules, self.mean_work_us)
        self.violations = Violations(log.error)
        self.counts = new_counters()
        # Reasons that the balancer gave for rejections and failures: how many of each.
        self.reasons = {}
        # CPU clock in seconds, and the CPU seconds of the balancer alone where it is given.
        self.clock = None
        self.busy_s = 0.0
        # Of what is done with each query; off unless set.
        self.trace = Trace()

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        """Run the event loop until cancelled."""
        await self.dispatcher.run(task_status)

    # ---- what frontends call ----

    def submit(
        self,
        request: Request,
        on_final: Callable[[Outcome], None],
        has_left: Callable[[], bool] | None = None,
    ) -> Query:
        """Take a request; `on_final(outcome)` is called once, in the turn that decides it.

        `has_left()` looks whether the client has disconnected, where that may lie unread. Raise
        OverloadedError if too much is open.
        """
        if self.table.is_full:
            self.counts["full"] += 1
            raise OverloadedError(
                f"{len(self.queries)} queries and {len(self.parts)} parts are open"
            )
        query = self.table.add_query(request, on_final, has_left)
        self.counts["queries"] += 1
        self.further.record_admitted(now_us(), len(request.parts))
        self._post_arrivals(query)
        if self.guard:
            self.deadlines.add(request.deadline_us, query.number, query)
        return query

    def _post_arrivals(self, query):
        """Post that a query arrived, then each of its parts as it is opened."""
        request = query.request
        self.post(
            QueryArrived(
                query.id,
                query.number,
                request.class_name,
                request.tenant,
                request.key,
                request.deadline_us,
                request.cost_us,
                request.repeated,
            )
        )
        for number, spec in enumerate(request.parts):
            part = self.table.add_part(query, number, spec)
            self.post(PartArrived(part.id, query.number, spec.shard, spec.weight, spec.cost_us))

    async def execute(self, request: Request) -> Outcome:
        """Return the final answer to a request.

        Raise OverloadedError if it cannot be taken. Cancelling the caller tells the balancer that
        the client disconnected.
        """
        if self.holding is not None and not self.holding.admit(request.worth):
            self.counts["no_room"] += 1
            raise OverloadedError(
                "rows of other queries fill memory or disk", self.holding.retry_after_us
            )
        done = trio.Event()
        query = self.submit(request, lambda outcome: done.set())
        try:
            await done.wait()
        except BaseException:
            # Answered perhaps, and nobody is there any more to read it.
            if query.room is not None:
                query.room.close()
            raise
        finally:
            self.client_disconnected(query)
        return query.outcome

    def shorten_deadline(self, query: Query, at_us: int):
        """End a query by then, as others wait for its answer."""
        if query.outcome is None and at_us < query.request.deadline_us:
            self.deadlines.add(at_us, self.table.next_number(), query)
            self.dispatcher.wake()

    def client_disconnected(self, query: Query):
        """Close a query whose client disconnected, if it is open; nobody is told its outcome."""
        if query.outcome is None:
            self.counts["gone"] += 1
            query.on_final = lambda outcome: None
            self.close_undecided(query, Outcome(FinalStatus.FAILED))

    def unanswered(self) -> tuple[int, int, list[str]]:
        """Return how many queries were taken, how many final answers given, and ids of open ones.

        A root that ends with the first two unlike owes somebody an answer.
        """
        open_ids = list(itertools.islice(self.queries, MOST_NAMED))
        return self.counts["queries"], final_answers(self.counts), open_ids

    # ---- what leaf connections and discovery call ----

    def post(self, event: object):
        """Give the balancer an event in its next turn."""
        self.dispatcher.post(event)

    def on_watch_event(self, event: WatchEvent):
        """Take a change of the endpoint list."""
        self.slow_start.listed(event.entries)
        self.post(event)

    def query_error(self, query: Query, error: object):
        """Give the query's own error as its final answer; the first one counts."""
        if query.outcome is None:
            self.counts["faults"] += 1
            self.close_undecided(query, Outcome(FinalStatus.ANSWERED, error=error))

    def room(self, query: Query) -> object:
        """Return what the rows of a query are held in, made with its first row."""
        if query.room is None:
            query.room = self.holding.room(query.id, query.request.worth)
        return query.room

    # ---- what the core's own parts call ----

    def close(self, query: Query, outcome: Outcome):
        """Give an open query its one final answer."""
        self.violations.check(query.outcome is None, Invariant.ANSWERED_TWICE, query=query.id)
        late_s = trio.current_time() - query.request.deadline_us / 1e6
        self.violations.check(
            late_s < FINAL_SLACK_S, Invariant.FINAL_LATE, query=query.id, late_s=late_s
        )
        query.outcome = outcome
        if query.room is not None:
            if outcome.final is FinalStatus.ANSWERED and outcome.error is None:
                outcome.room = query.room
            else:
                query.room.close()
        self.table.close(query)
        query.on_final(outcome)

    def close_undecided(self, query: Query, outcome: Outcome):
        """Close a query on which the balancer has not decided, and tell the balancer."""
        self.close(query, outcome)
        self.post(ClientDisconnected(query.id))

    def request_endpoints(self):
        """Wake whoever waits on `subscribe`."""
        self.subscribe.set()
        self.subscribe = trio.Event()

    def mean_work_us(self) -> float:
        """Return the mean work of a part, with its share of a call, as the balancer believes."""
        known = self.balancer.work_estimates.by_class.values()
        usual_us = self.balancer.latency_objective_us / 10
        work_us = sum(known) / len(known) if known else usual_us
        return work_us + self.settings.call_overhead_us
