"""Submit clients' requests to the core, and send each answer in the turn that decides it."""

from mothnotch.decisions import resource_limits
from mothnotch.decisions.interface import Idempotency
from mothnotch.decisions.invariants import Invariant
from mothnotch.decisions.outcomes import FinalStatus
from mothnotch.decisions.recent_ids import REMEMBERED_DEADLINES, RecentIds
from mothnotch.decisions.watch_policy import NOT_READY_RETRY_AFTER_US
from mothnotch.node import requests
from mothnotch.node.client_connection import BUSY, ClientConnection
from mothnotch.node.frontend_context import FrontendContext
from mothnotch.root.clock import now_us
from mothnotch.root.core import OverloadedError

# Maximum length of an incomplete line that is kept until its rest is received.
MAX_PARTIAL_LINE_BYTES = 256


class RequestHandler:
    """The open requests of a frontend, at most one per connection."""

    def __init__(self, context: FrontendContext):
        """Start without open requests."""
        self.context = context
        self.open_request_ids = set()
        classes = context.core.settings.classes.values()
        longest_us = max(query_class.deadline_us for query_class in classes)
        self.recent_ids = RecentIds(
            REMEMBERED_DEADLINES * longest_us, context.resource_limits.max_recent_ids
        )

    def submit(self, client: ClientConnection, query_string: str, headers, body: bytes):
        """Submit a request to the core; raise BadRequestError if it is invalid."""
        core = self.context.core
        request_id, request = requests.parse(
            query_string,
            headers,
            body,
            int(client.arrived_s * 1e6),
            core.settings,
            self.context.shard_count,
            self.context.answer_by_s * 1e6,
        )
        if request_id in self.open_request_ids:
            raise requests.BadRequestError(409, "X-Request-ID: that request is open")
        if self.recent_ids.contains(request_id, now_us()):
            raise requests.BadRequestError(409, "X-Request-ID: that request may have run")
        self.context.counts["requests"] += 1
        if not self.context.is_ready():
            self._reject_not_ready(client)
            return
        if not self.context.memory.answers.may_begin(len(core.queries)):
            self.context.counts["answers_full"] += 1
            client.answer(503, BUSY)
            return

        def on_finished(outcome):
            self._on_outcome(client, request_id, outcome)

        core.violations.check(not client.is_closed, Invariant.BEGUN_FOR_NOBODY, request=request_id)
        try:
            client.query = core.submit(
                request, on_finished, lambda: self.context.network.peer_disconnected(client.stream)
            )
        except OverloadedError as error:
            text = requests.encode({"error": str(error)})
            client.answer(503, text, retry_after_us=error.args[1])
            return
        client.request_id = request_id
        self.open_request_ids.add(request_id)
        client.partial_line = b""
        self.shorten_deadline(client, bytes(client.reader.received), client.arrived_s)
        if core.trace.enabled:
            self._trace_request(client, request)

    def _reject_not_ready(self, client):
        """Reject a request that a root receives before it is ready."""
        self.context.counts["not_ready"] += 1
        limits = self.context.core.settings.limits
        client.answer(
            503,
            b'{"error":"not ready; asking again is harmless"}',
            retry_after_us=min(NOT_READY_RETRY_AFTER_US, limits.max_retry_after_us)
            if limits.retry_after
            else 0,
        )

    def shorten_deadline(self, client: ClientConnection, data: bytes, at_s: float):
        """Shorten the deadline of an open request if requests in `data`, received at `at_s`, are
        queued behind it: the shortest of their timeouts bounds the wait for its answer.
        """
        if client.query is None:
            return
        data = client.partial_line + data
        timeouts_ms = requests.stated_timeouts_ms(data)
        # A header may be split over several reads, and a number that is cut off is a wrong one.
        line_start = max(0, data.rfind(b"\n"))
        partial_line = data[line_start:]
        client.partial_line = b"" if len(partial_line) > MAX_PARTIAL_LINE_BYTES else partial_line
        latest_s = resource_limits.pipelined_deadline_s(at_s, timeouts_ms)
        if latest_s is not None:
            self.context.core.shorten_deadline(client.query, int(latest_s * 1e6))

    def abandon(self, client: ClientConnection):
        """Abandon a client's open request, if any, as the client has disconnected."""
        if client.query is None:
            return
        query = client.query
        client.query = None
        self._close_id(client.request_id, query)
        self.context.core.client_disconnected(query)

    def _close_id(self, request_id, query):
        """Note that a request has ended, and remember its id if it must not come again."""
        self.open_request_ids.discard(request_id)
        self.context.memory.answers.end_query(query)
        for part in query.parts:
            # An attempt may be in flight for longer, but none begins any more.
            part.spec.payload.text = b""
        query_class = self.context.core.settings.classes[query.request.class_name]
        is_safe = query_class.idempotency is Idempotency.IDEMPOTENT
        if query.may_still_run or (query.may_have_run and not is_safe):
            self.recent_ids.add(request_id, now_us())

    def finish(self, client: ClientConnection, query, outcome):
        """Send the final answer of a client's query, then process its next request."""
        if outcome.status is FinalStatus.ANSWERED:
            client.answer(200, requests.encode_answer(query, outcome))
        elif outcome.status is FinalStatus.REJECTED:
            client.answer(
                503,
                b'{"error":"refused; asking again is harmless"}',
                retry_after_us=outcome.retry_after_us,
            )
        else:
            client.answer(504, b'{"error":"given up; it may have run"}')
        if not client.is_closed:
            client.connections.scheduler.process(client)

    def _trace_request(self, client, request):
        self.context.core.trace.record(
            "request",
            request=client.request_id,
            query=client.query.id,
            client=id(client),
            arrived_us=int(client.arrived_s * 1e6),
            deadline_us=request.deadline_us,
        )

    def _on_outcome(self, client, request_id, outcome):
        query = client.query
        client.query = None
        self._close_id(request_id, query)
        try:
            self.finish(client, query, outcome)
            # The query itself is kept until its deadline or its last attempt has passed.
            outcome.rows = {}
        except Exception as error:
            # Otherwise the error would end this turn of the core, which serves other clients too.
            client.connections.on_unexpected_error(client, error)
