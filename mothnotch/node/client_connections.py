"""The connections of all clients, and how they are closed.

`half_close` follows a last answer: nothing more is sent, and input is still read for a while, as
closing a socket with unread data would reset the connection and could destroy that answer. An idle
connection is closed (`close`) only if no request has arrived meanwhile (`confirm_idle`). A client
that ends its sending direction counts as disconnected. Requests must be received, and answers be
read by the client, within the timeouts of decisions/resource_limits.py; one periodic sweep enforces
them.
"""

import contextlib
from time import perf_counter

import h11
import trio

from mothnotch.decisions import resource_limits
from mothnotch.decisions.answer_memory import first_to_give_way
from mothnotch.decisions.client_input import INPUT_PASS_S, SMALL_READ_BYTES
from mothnotch.decisions.invariants import Invariant
from mothnotch.net import CONNECTION_LOST_ERRORS, TimeSlice, close_now
from mothnotch.node import requests
from mothnotch.node.client_connection import ClientConnection
from mothnotch.node.closing import ClientCloseReason
from mothnotch.node.frontend_context import FrontendContext
from mothnotch.node.input_scheduler import InputScheduler
from mothnotch.node.received_input import READ_BYTES
from mothnotch.node.request_handler import RequestHandler

# Interval of checking the timeouts: short compared with the shortest of them (linger_s).
SWEEP_INTERVAL_S = 0.25


class ClientConnections:
    """The connections of a frontend's clients; beyond the limit `max_clients`, some are closed."""

    def __init__(self, context: FrontendContext, handler: RequestHandler):
        """`handler`: processes the clients' requests and tracks the open ones."""
        self.context = context
        self.handler = handler
        self.clients = {}  # an ordered set: connections as keys, in the order of accepting
        self.closed = dict.fromkeys(ClientCloseReason, 0)
        self.input_budget = context.memory.client_input
        self.answer_budget = context.memory.answers
        self.scheduler = InputScheduler(context.loop_monitor, self._run_quantum)

    def add(self, client: ClientConnection):
        """Add an accepted connection; beyond the limit, others are closed for it. If those are all
        busy, it is closed itself.
        """
        self.clients[client] = None
        self.context.counts["connections"] += 1
        self.context.network.configure_stream(client.stream)
        limits = self.context.resource_limits
        if len(self.clients) > limits.max_busy_clients:
            self.shed(client)
        elif len(self.clients) > limits.max_clients:
            self.shed()
        if len(self.clients) > limits.max_busy_clients and not client.is_closed:
            # A close over unread data would reset the connection, and could destroy the error.
            with contextlib.suppress(*CONNECTION_LOST_ERRORS):
                self.context.network.receive_now(client.stream, READ_BYTES)
            self.run_step(client, self._shed_client, client)

    # ---- steps of a client's protocol ----

    def run_step(self, client: ClientConnection, step, *args):
        """Run a step of a client's protocol; invalid input ends the connection with an error.
        Return the step's result, None after an error.

        It raises nothing: the caller may be another connection's task, the input scheduler, the
        sweep or the core's turn, which must continue.
        """
        try:
            return self._run_valid_step(client, step, args)
        except Exception as error:
            self.on_unexpected_error(client, error)
        return None

    def _run_valid_step(self, client, step, args):
        try:
            return step(*args)
        except requests.BadRequestError as error:
            client.fail(error.status, str(error))
        except h11.RemoteProtocolError as error:
            client.fail(error.error_status_hint, str(error))
        return None

    def _run_quantum(self, client):
        has_more = self.run_step(client, client.process_quantum)
        client.reading.note_held_bytes()
        return has_more

    def on_unexpected_error(self, client: ClientConnection, error: Exception):
        """End a connection after an unexpected error; its open request is answered with an error.

        A defect must fail this connection only, not the whole root.
        """
        self.context.log.error("unexpected error", error=repr(error))
        try:
            self.handler.abandon(client)
            client.fail(500, "unexpected error")
        except Exception as again:
            self.context.log.error("unexpected error", error=repr(again))
        if not client.lingering:
            self.close(client, ClientCloseReason.DEFECT)

    def reduce_input(self):
        """Reject requests that are not received completely, the largest first, until the memory for
        clients' input suffices. What each client may have in any case stays.
        """
        while self.input_budget.is_exceeded:
            client = self.input_budget.largest(
                client for client in self.clients if client.is_unfinished
            )
            if client is None or self.input_budget.of(client) <= SMALL_READ_BYTES:
                return
            self.context.counts["input_shed"] += 1
            self.context.log.warning(
                "clients' input exceeds its memory",
                total_bytes=self.input_budget.total_bytes,
                clients=len(self.clients),
                largest_bytes=client.held_bytes,
            )
            self.run_step(client, client.reject_unprocessed)
            if client.held_bytes:
                self.close(client, ClientCloseReason.DEFECT)

    def reduce_answers(self):
        """End queries, and close connections whose clients do not read, until the memory for
        answers suffices.
        """
        budget = self.answer_budget
        now_s = trio.current_time()
        while budget.is_exceeded:
            queries = self.context.core.queries.values()
            unsent = [client for client in self.clients if client.unsent]
            holder = first_to_give_way(
                budget, queries, unsent, lambda client: now_s - client.since_s
            )
            if holder is None:
                return
            self._give_up_answer(holder)

    def on_answer_too_large(self, query):
        """End queries as their values, or those of this one, exceed the memory for answers."""
        if self.answer_budget.of(query) > self.answer_budget.max_query_bytes:
            self._give_up_answer(query)
        self.reduce_answers()

    def _give_up_answer(self, holder):
        self.context.counts["answers_shed"] += 1
        self.context.log.warning(
            "answers exceed their memory",
            total_bytes=self.answer_budget.total_bytes,
            largest_bytes=self.answer_budget.of(holder),
            unread=isinstance(holder, ClientConnection),
        )
        if isinstance(holder, ClientConnection):
            self.close(holder, ClientCloseReason.ANSWER_NOT_TAKEN)
        else:
            self.context.core.end_query(holder)
        self.answer_budget.remove(holder)

    # ---- closing ----

    def half_close(self, client: ClientConnection):
        """End the sending direction, as the last answer is written."""
        if client.is_closed:
            return
        client.lingering = True
        client.since_s = trio.current_time()
        try:
            self.context.network.send_eof_now(client.stream)
        except CONNECTION_LOST_ERRORS:
            self.close(client, ClientCloseReason.LEFT)

    def close(self, client: ClientConnection, reason: ClientCloseReason):
        """Close a connection, and abandon its open request. The root must not close a connection
        with an open request for a reason of its own; that is checked.
        """
        if client.is_closed:
            return
        client.is_closed = True
        self.closed[reason] += 1
        core = self.context.core
        if reason.initiated_by_root and reason is not ClientCloseReason.DEFECT:
            core.violations.check(
                client.query is None,
                Invariant.CLOSED_UNANSWERED,
                request=client.request_id,
                reason=reason.name,
            )
        if core.trace.enabled:
            core.trace.record(
                "client connection closed",
                client=id(client),
                reason=reason.name,
                request=client.request_id,
                ahead_bytes=client.pipelined_bytes,
            )
        self.clients.pop(client, None)
        self.input_budget.remove(client)
        self.answer_budget.remove(client)
        client.on_closed()
        close_now(client.stream)
        self.handler.abandon(client)

    def receive_unread(self, client: ClientConnection) -> bool:
        """Process data that has arrived but was not read yet; return whether there was any."""
        try:
            found = self.context.network.receive_now(
                client.stream, self.input_budget.read_bytes(client, READ_BYTES)
            )
        except CONNECTION_LOST_ERRORS:
            return False
        if not found or not found[0]:
            return False
        self.run_step(client, client.feed, *found)
        return True

    def confirm_idle(self, client: ClientConnection) -> bool:
        """Return whether an idle connection may be closed: it has no unread data. If it has some,
        that is processed.
        """
        return not self.receive_unread(client)

    def shed(self, newest: ClientConnection | None = None):
        """Close connections beyond the limit, in the order of decisions/resource_limits.py. A
        client that has not been served yet is sent an error first.

        `newest` is not looked at: it may have to be turned away, and what is read is begun.
        """
        limits = self.context.resource_limits
        waiting = [
            client
            for client in self.clients
            if client is not newest and (client.is_idle or client.is_unfinished)
        ]
        for client in resource_limits.clients_to_close(
            waiting, len(self.clients), limits.max_clients, trio.current_time()
        ):
            if len(self.clients) <= limits.max_clients:
                break
            if client.lingering:
                self.close(client, ClientCloseReason.LAST_ANSWER)
            elif not self.receive_unread(client):
                self._shed_client(client)

    def _shed_client(self, client):
        self.context.counts["shed"] += 1
        if client.is_unfinished or not client.served:
            client.fail(503, "too many connections; asking again is harmless")
        self.close(client, ClientCloseReason.SHED)

    def close_idle(self):
        """Close idle connections that have been served, as the root stops."""
        for client in list(self.clients):
            if (
                client.is_idle
                and client.served
                and not client.lingering
                and self.confirm_idle(client)
            ):
                self.close(client, ClientCloseReason.STOPPING)

    async def sweep(self):
        """End connections whose timeout has expired, until cancelled."""
        time_slice = TimeSlice(INPUT_PASS_S)
        while True:
            await trio.sleep(SWEEP_INTERVAL_S)
            time_slice.restart()
            for client in list(self.clients):
                await time_slice.yield_if_over()
                if client.is_closed:
                    continue
                expires_s = client.expires_s(self.context.resource_limits)
                if expires_s is not None and expires_s <= trio.current_time():
                    started_s = perf_counter()
                    self._end_expired(client)
                    self.context.loop_monitor.record("client sweep", started_s)

    def _end_expired(self, client):
        if client.is_behind:
            self.run_step(client, client.reject_unprocessed)
            return
        self.context.counts["slow"] += not client.served
        if client.partial and not client.closing:
            client.fail(408, "the request did not come whole in time")
        elif client.lingering:
            self.close(client, ClientCloseReason.LAST_ANSWER)
        elif client.unsent:
            self.close(client, ClientCloseReason.ANSWER_NOT_TAKEN)
        elif self.confirm_idle(client):
            self.close(client, ClientCloseReason.IDLE)
