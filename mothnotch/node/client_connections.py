"""The connections of all clients, and how each ends.

`half_close` follows a last answer: nothing more is sent, and what still comes is read for a while,
as a close with bytes unread would be a reset and could destroy that answer. `close` is between
requests, not if one has come meanwhile (`nothing_unread`), or at once. A client's end of sending
counts as its disconnecting. A request has to come whole, and its answer to be taken, in the times
of decisions/resource_limits.py; one sweep watches over all of them.
"""

import h11
import trio

from mothnotch.decisions import resource_limits
from mothnotch.decisions.invariants import Invariant
from mothnotch.net import CONNECTION_LOST_ERRORS, shut
from mothnotch.node import requests
from mothnotch.node.client_connection import READ_BYTES, ClientConnection
from mothnotch.node.closing import ClientCloseReason
from mothnotch.node.frontend_context import FrontendContext
from mothnotch.node.request_handler import RequestHandler

# How often times are looked at: short beside the shortest of them (linger_s).
SWEEP_S = 0.25


class ClientConnections:
    """The connections of a frontend's clients, `share.max_clients` at most: past it some go."""

    def __init__(self, context: FrontendContext, handler: RequestHandler):
        """`handler`: knows their open requests."""
        self.context = context
        self.handler = handler
        self.clients = {}  # as keys, in the order they came
        self.closed = dict.fromkeys(ClientCloseReason, 0)

    def add(self, client: ClientConnection):
        """Add a connection that was accepted; past the share of clients, some go for it."""
        self.clients[client] = None
        self.context.counts["connections"] += 1
        self.context.network.prepare(client.stream)
        if len(self.clients) > self.context.share.max_clients:
            self.shed()

    # ---- steps of a client's protocol ----

    def run_step(self, client: ClientConnection, step, *args):
        """Run a step of a client's protocol; what cannot be read ends the connection with an error.

        No error comes out of it: whoever runs it, another connection's task, the sweep or the
        core's turn, must not end by it.
        """
        try:
            step(*args)
        except requests.BadRequestError as error:
            client.fail(error.status, str(error))
        except h11.RemoteProtocolError as error:
            client.fail(error.error_status_hint, str(error))
        except Exception as error:
            self.on_defect(client, error)

    def on_defect(self, client: ClientConnection, error: Exception):
        """End a connection on an unexpected error; what was taken is answered.

        A defect of the root's must cost this connection, not every client of this root.
        """
        self.context.log.error("unexpected error", error=repr(error))
        try:
            self.handler.abandon(client)
            client.fail(500, "unexpected error")
        except Exception as again:
            self.context.log.error("unexpected error", error=repr(again))
        if not client.lingering:
            self.close(client, ClientCloseReason.DEFECT)

    # ---- ends ----

    def half_close(self, client: ClientConnection):
        """Send nothing more, as its last answer is written."""
        if client.dead:
            return
        client.lingering = True
        client.since_s = trio.current_time()
        try:
            self.context.network.end(client.stream)
        except CONNECTION_LOST_ERRORS:
            self.close(client, ClientCloseReason.LEFT)

    def close(self, client: ClientConnection, reason: ClientCloseReason):
        """Close a connection. Its open request is given up; of its own accord the root closes none
        that has one.
        """
        if client.dead:
            return
        client.dead = True
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
                ahead_bytes=client.ahead_bytes,
            )
        self.clients.pop(client, None)
        shut(client.stream)
        self.handler.abandon(client)

    def nothing_unread(self, client: ClientConnection) -> bool:
        """Return whether an idle connection may be closed; if something has come on it that is not
        read yet, read it instead.
        """
        try:
            data = self.context.network.receive_now(client.stream, READ_BYTES)
        except CONNECTION_LOST_ERRORS:
            return True
        if data:
            self.run_step(client, client.feed, data, trio.current_time())
        return not data

    def shed(self):
        """Close some connections past the share of clients (decisions/resource_limits.py); a client
        that has asked nothing yet gets an error, at least.
        """
        share = self.context.share
        idle = [client for client in self.clients if client.is_idle]
        for client in resource_limits.clients_to_close(idle, len(self.clients), share.max_clients):
            if len(self.clients) <= share.max_clients:
                break
            if client.lingering:
                self.close(client, ClientCloseReason.LAST_ANSWER)
            elif self.nothing_unread(client):
                self.context.counts["shed"] += 1
                if not client.served:
                    client.fail(503, "too many connections")
                self.close(client, ClientCloseReason.SHED)

    def close_idle(self):
        """Close what is idle and has been served, as the root stops."""
        for client in list(self.clients):
            if (
                client.is_idle
                and client.served
                and not client.lingering
                and self.nothing_unread(client)
            ):
                self.close(client, ClientCloseReason.STOPPING)

    async def sweep(self):
        """End, until cancelled, the connections that are past their time."""
        while True:
            await trio.sleep(SWEEP_S)
            now_s = trio.current_time()
            for client in list(self.clients):
                due_s = client.due_s(self.context.share)
                if due_s is not None and due_s <= now_s:
                    self._end_overdue(client)

    def _end_overdue(self, client):
        self.context.counts["slow"] += not client.served
        if client.partial and not client.closing:
            client.fail(408, "the request did not come whole in time")
        elif client.lingering:
            self.close(client, ClientCloseReason.LAST_ANSWER)
        elif client.unsent:
            self.close(client, ClientCloseReason.ANSWER_NOT_TAKEN)
        elif self.nothing_unread(client):
            self.close(client, ClientCloseReason.IDLE)
