"""Records of the open queries of a root, their parts and the attempts of these."""

from mothnotch.decisions.interface import ANSWERED, NEVER_RAN, PartArrived, QueryArrived, QueryClass


class Query:
    """An open query, and the parts of its current step."""

    def __init__(self, event: QueryArrived, query_class: QueryClass):
        """Initialize without times and parts, which the caller sets."""
        self.id = event.query
        self.number = event.query_number
        self.query_class = query_class
        self.key = event.affinity_key or event.query
        self.tenant = event.tenant
        self.objective_at_us = None  # an answer by then earns the full value
        self.give_up_at_us = None  # no answer is given after that
        self.busy_predictions = {}  # server -> whether it is predicted to be in a busy period
        self.retries = 0  # attempts so far beyond the first of each part
        self.parts = []  # all parts of the current step
        self.spare_parts = []  # those that are not needed so far, and not sent
        self.answered_weight = 0.0
        self.lost_weight = 0.0
        self.step = 1
        self.first_step_complete = True
        self.is_open = True

    @property
    def has_ended(self) -> bool:
        """Whether it has its final answer."""
        return not self.is_open

    def begin_second_step(self, first_step_complete: bool) -> list["Part"]:
        """Begin the second step; return the parts of the first, whose attempts are obsolete."""
        parts = self.parts
        self.parts = []
        self.spare_parts = []
        for part in parts:
            part.is_lost = not part.is_answered
        self.step = 2
        self.first_step_complete = first_step_complete
        self.answered_weight = 0.0
        self.lost_weight = 0.0
        return parts


class Part:
    """One shard's share of a query."""

    def __init__(self, event: PartArrived, query: Query, cost_us: float):
        """Initialize a part that has not been sent."""
        self.id = event.part
        self.shard = event.shard
        self.weight = event.weight
        self.query = query
        self.cost_us = cost_us
        self.servers_tried = []  # one for each attempt
        self.in_flight = {}  # attempts by number
        self.reconnect_to = None  # server that reset an idle connection on which the part was sent
        self.retry_is_charged = False  # its next attempt has been charged to the retry budget
        self.is_held = False  # its server died; see `Retries.release_held_parts`
        self.may_have_run_us = []  # send times of the attempts that may have run
        self.is_answered = False
        self.is_lost = False


class Attempt:
    """One send of a part, with the state of the server at that time."""

    def __init__(self, part: Part, server, now_us: int, to_home: bool):
        """Initialize the attempt and register it as in flight with its part and its server.

        `to_home`: the server was chosen as the part's home, not as a fallback or for a retry.
        """
        self.part = part
        self.server = server
        self.number = len(part.servers_tried)
        self.sent_us = now_us
        self.to_home = to_home
        self.idle_us = server.idle_us
        self.cost_us = part.cost_us
        self.in_flight_before = len(server.in_flight)
        self.inputs = server.predictor_inputs(now_us, part.cost_us)
        self.latency_us = None  # set when the attempt ends, as is the throughput
        self.throughput = None
        self.timeout_us = 0  # time in flight after which it may be stuck
        self.has_substitute = False  # a spare part was sent in its place
        part.servers_tried.append(server)
        part.may_have_run_us.append(now_us)
        part.in_flight[self.number] = self
        server.in_flight[part.id, self.number] = self

    @property
    def has_ended(self) -> bool:
        """Whether it is not in flight any more, or its query has its final answer."""
        return self.number not in self.part.in_flight or not self.part.query.is_open

    def close(self, result, now_us: int) -> None:
        """Remove it from flight; update whether it may have run and when its server answered."""
        server = self.server
        del server.in_flight[self.part.id, self.number]
        self.part.in_flight.pop(self.number, None)
        if result in NEVER_RAN:
            self.part.may_have_run_us.remove(self.sent_us)
        if result in ANSWERED:
            server.last_heard_us = now_us
            server.last_answered_send_us = max(server.last_answered_send_us, self.sent_us)


class OpenQueries:
    """The queries without a final answer, by id and by number."""

    def __init__(self):
        """Initialize empty; the caller bounds the number of open queries."""
        self.by_id = {}
        self.by_number = {}

    def add(self, query: Query) -> None:
        """Add a query."""
        self.by_id[query.id] = query
        self.by_number[query.number] = query

    def remove(self, query: Query) -> None:
        """Remove a query that has its final answer."""
        del self.by_id[query.id]
        del self.by_number[query.number]
