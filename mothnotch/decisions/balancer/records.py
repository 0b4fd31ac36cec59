"""Records of what a root has taken: queries, their parts, and the attempts at these."""

from mothnotch.decisions.interface import ANSWERED, NEVER_RAN, PartArrived, QueryArrived, QueryClass


class Query:
    """A query taken, and the parts of its present step."""

    def __init__(self, event: QueryArrived, query_class: QueryClass):
        """Record the query; its times and parts are set by who takes it."""
        self.id = event.query
        self.number = event.query_number
        self.query_class = query_class
        self.key = event.affinity_key or event.query
        self.tenant = event.tenant
        self.objective_at_us = None  # an answer by then earns its full worth
        self.give_up_at_us = None  # no answer is wanted after that
        self.busy_predictions = {}  # server -> whether it is predicted to be in a busy period
        self.retries = 0  # attempts so far beyond the first of each part
        self.parts = []  # all of this step
        self.spare_parts = []  # those of them not needed yet
        self.answered_weight = 0.0
        self.lost_weight = 0.0
        self.step = 1
        self.first_step_complete = True
        self.is_open = True

    def begin_second_step(self, first_step_complete: bool) -> list["Part"]:
        """Begin the second step; return the parts of the first, of which no more is wanted."""
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
        """Record a part that is not sent yet."""
        self.id = event.part
        self.shard = event.shard
        self.weight = event.weight
        self.query = query
        self.cost_us = cost_us
        self.servers_tried = []  # one for each attempt
        self.in_flight = {}  # attempts by number
        self.reconnect_to = None  # server whose idle connection broke under it
        self.retry_is_charged = False  # its next attempt has been charged to the retry budget
        self.is_held = False  # waits until it is known whether its query's key is quarantined
        self.may_have_run_us = []  # send times of the attempts that may have run
        self.is_answered = False
        self.is_lost = False


class Attempt:
    """One send of a part, with what was known of the server then."""

    def __init__(self, part: Part, server, now_us: int, to_home: bool):
        """Record the attempt as in flight with its part and its server.

        `admitted`: it goes to its home, as this was not taken for an outlier.
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
        self.latency_us = None  # known once it has ended
        self.throughput = None
        self.timeout_us = 0  # how long it may be in flight before it is reviewed
        self.has_substitute = False  # a spare part was sent in its place
        part.servers_tried.append(server)
        part.may_have_run_us.append(now_us)
        part.in_flight[self.number] = self
        server.in_flight[part.id, self.number] = self

    def close(self, result, now_us: int) -> None:
        """Take it out of flight; note what its end says of its having run and of its server."""
        server = self.server
        del server.in_flight[self.part.id, self.number]
        self.part.in_flight.pop(self.number, None)
        if result in NEVER_RAN:
            self.part.may_have_run_us.remove(self.sent_us)
        if result in ANSWERED:
            server.last_heard_us = now_us
            server.last_answered_send_us = max(server.last_answered_send_us, self.sent_us)


class OpenQueries:
    """The queries that have no final answer yet, by id and by the number that parts name."""

    def __init__(self):
        """Make it empty; who takes queries bounds it."""
        self.by_id = {}
        self.by_number = {}

    def add(self, query: Query) -> None:
        """Take a query in."""
        self.by_id[query.id] = query
        self.by_number[query.number] = query

    def remove(self, query: Query) -> None:
        """Let go of a query that has its final answer."""
        del self.by_id[query.id]
        del self.by_number[query.number]
