"""The HTTP frontend: accepts clients' connections and reads each in a task of its own.

The time for processing clients' input in one pass of the event loop is bounded, and clients are
served in turn; a connection whose input waits is not read. Bounds: a head of 16 KiB, a body of
64 KiB, one open request per connection, and the memory for pipelined requests behind it. A client
that sends more ahead is not read until its requests are answered; they are rejected for as long as
it cannot be seen whether the client has left.
"""

import trio

from mothnotch.decisions import resource_limits
from mothnotch.decisions.client_input import FINAL_INPUT_S, INPUT_PASS_S, SMALL_READ_BYTES
from mothnotch.net import CONNECTION_LOST_ERRORS, RETRY_PAUSE_S, TimeSlice, close_now, serve
from mothnotch.node.client_connection import ClientConnection
from mothnotch.node.client_connections import ClientConnections
from mothnotch.node.closing import ClientCloseReason
from mothnotch.node.frontend_context import FrontendContext
from mothnotch.node.received_input import READ_BYTES
from mothnotch.node.request_handler import RequestHandler

# Pause between two reads of discarded data, which bounds their cost to other clients, and the
# maximum size of each.
DISCARD_PAUSE_S = 0.01
DISCARD_BYTES = 1 << 18
# Maximum steps in which one client's requests are rejected as the root ends.
MAX_REJECTING_STEPS = 64


class HttpFrontend:
    """The HTTP frontend of a root."""

    def __init__(self, context: FrontendContext):
        """Create a frontend; it accepts no connection before `run`."""
        self.context = context
        self.handler = RequestHandler(context)
        self.connections = ClientConnections(context, self.handler)

    async def run(self, listeners: list, task_status=trio.TASK_STATUS_IGNORED):
        """Serve until cancelled."""
        async with trio.open_nursery() as self.nursery:
            self.accept_scope = trio.CancelScope()
            self.nursery.start_soon(self.connections.sweep)
            self.nursery.start_soon(self.connections.scheduler.run)
            task_status.started()
            with self.accept_scope:
                await serve(
                    listeners,
                    self._serve_client,
                    self.nursery,
                    on_accept_error=self._on_accept_failed,
                    register=self._add_client,
                )
            await trio.sleep_forever()

    def _add_client(self, stream):
        """Return the connection of an accepted stream; beyond the limit, others are closed."""
        client = ClientConnection(self.connections, self.handler, self.nursery, stream)
        self.connections.add(client)
        return client

    async def _serve_client(self, client):
        """Read a connection until it is closed, and record why it was closed."""
        reason = ClientCloseReason.LEFT
        try:
            await self._read_client(client)
        except CONNECTION_LOST_ERRORS:
            pass
        except Exception as error:
            reason = ClientCloseReason.DEFECT
            self.connections.on_unexpected_error(client, error)
        self.connections.close(client, reason)

    async def _read_client(self, client):
        """Read a connection and process its data until it is closed."""
        while not client.is_closed:
            if client.closing:
                await self._discard_input(client)
            else:
                await self._read_once(client)
                if not client.reading.is_allowed:
                    await client.reading.wait_until_allowed()

    async def _read_once(self, client):
        """Wait for data and process it. No reference to it is left while the caller waits."""
        network = self.context.network
        budget = self.connections.input_budget
        data, at_s = await network.receive(client.stream, client.reading.next_read_bytes)
        if client.is_closed:
            return
        if data and client.query is None:
            # No work is started for a client that has already disconnected: detect the end of its
            # stream before processing its request.
            more = network.receive_now(
                client.stream, budget.read_bytes(client, READ_BYTES, len(data))
            )
            client.reading.is_all_read = more is None
            if more is not None:
                data = data + more[0] if more[0] else b""
        self.connections.run_step(client, client.feed, data, at_s)
        if budget.is_exceeded:
            self.connections.reduce_input()

    async def _discard_input(self, client):
        """Read and drop what follows the last answer."""
        await trio.sleep(DISCARD_PAUSE_S)
        if client.is_closed:
            return
        size_bytes = await self.context.network.discard(client.stream, DISCARD_BYTES)
        if not size_bytes:
            self.connections.close(client, ClientCloseReason.LEFT)
        client.on_discarded(size_bytes)

    def _on_accept_failed(self, error):
        self.context.log.error("cannot accept a connection", error=str(error))

    # ---- graceful shutdown ----

    def begin_shutdown(self, answer_by_s: float):
        """Close each connection with its last answer, and give all answers by `answer_by_s`: to
        requests that are open now, and to those that are still received.
        """
        self.context.stopping = True
        self.context.answer_by_s = answer_by_s
        open_count = self.context.core.shorten_deadlines(int(answer_by_s * 1e6))
        self.context.log.info("shutdown began", open_queries=open_count)

    async def stop(self, listeners: list):
        """Accept the backlog and then no further connections; close idle ones. Requests that were
        accepted are answered.
        """
        self.accept_scope.cancel()
        self.connections.close_idle()
        for listener in listeners:
            await self._accept_backlog(listener)
            await listener.aclose()

    def answer_received(self):
        """Answer all requests that were received by now, as the root ends right after it.

        Data that the process did not get to read, because it was held up, is read first. A request
        that is not processed completely is rejected.
        """
        until_s = trio.current_time() + FINAL_INPUT_S
        self.context.rejects_all = True
        self.context.core.end_open_queries()
        for client in self._clients_by_size():
            if trio.current_time() >= until_s:
                break
            if not client.is_queued:
                self.connections.receive_unread(client)
        self._reject_received(until_s)

    def end_open_requests(self):
        """Answer all open queries, and all requests that the root has not processed in time."""
        self.context.core.end_open_queries()
        self._reject_received(trio.current_time() + INPUT_PASS_S, only_behind=True)

    def _clients_by_size(self):
        """Return all clients, those first whose input takes least memory."""
        return sorted(self.connections.clients, key=lambda client: client.held_bytes)

    def _reject_received(self, until_s, only_behind=False):
        """Reject what was received and is not processed, until a time. Clients that sent little
        come first, and are told in any case. `only_behind`: not those that send a request just now.
        """
        for client in self._clients_by_size():
            if only_behind and not client.is_behind:
                continue
            is_small = client.held_bytes <= SMALL_READ_BYTES
            for _ in range(MAX_REJECTING_STEPS):
                if not client.has_unprocessed or not (is_small or trio.current_time() < until_s):
                    break
                self.connections.run_step(client, client.reject_unprocessed)

    async def _accept_backlog(self, listener):
        """Accept the connections of the backlog, oldest first, but not those that come meanwhile
        without end, as clients that are turned away come back. An accept that fails is retried for
        as long as answers may still be given: the client may have sent a request already.
        """
        retry_until_s = self.context.answer_by_s
        final_accepts = resource_limits.FinalAccepts(
            trio.current_time(), retry_until_s, self.context.network.pending_connections(listener)
        )
        time_slice = TimeSlice(INPUT_PASS_S)
        while True:
            await time_slice.yield_if_over()
            try:
                stream = self.context.network.accept_now(listener)
            except OSError as error:
                self._on_accept_failed(error)
                if trio.current_time() >= retry_until_s:
                    return
                await trio.sleep(RETRY_PAUSE_S)
                continue
            if stream is None:
                return
            if not final_accepts.may_accept(trio.current_time()):
                close_now(stream)
                return
            self.nursery.start_soon(self._serve_client, self._add_client(stream))
