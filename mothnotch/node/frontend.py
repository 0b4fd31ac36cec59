"""The HTTP frontend: accepts clients' connections and reads each in a task of its own.

Bounds: a head of 16 KiB (h11's), a body of 64 KiB, one open request a connection and as much again
buffered of what comes ahead of it. What is buffered is answered; what comes past that is read and
thrown away, and its connection ends with an error.
"""

import trio

from mothnotch.net import CONNECTION_LOST_ERRORS, RETRY_PAUSE_S, serve
from mothnotch.node.client_connection import DISCARD_BYTES, READ_BYTES, ClientConnection
from mothnotch.node.client_connections import ClientConnections
from mothnotch.node.closing import ClientCloseReason
from mothnotch.node.frontend_context import FrontendContext
from mothnotch.node.request_handler import RequestHandler

# Between two reads of what is thrown away anyway: so bounded, it costs other clients little.
DISCARD_PAUSE_S = 0.01


class HttpFrontend:
    """The HTTP frontend of a root."""

    def __init__(self, context: FrontendContext):
        """Accept nothing before `run`."""
        self.context = context
        self.handler = RequestHandler(context)
        self.connections = ClientConnections(context, self.handler)

    async def run(self, listeners: list, task_status=trio.TASK_STATUS_IGNORED):
        """Serve until cancelled."""
        async with trio.open_nursery() as self.nursery:
            self.accepting = trio.CancelScope()
            self.nursery.start_soon(self.connections.sweep)
            task_status.started()
            with self.accepting:
                await serve(
                    listeners, self._serve_client, self.nursery, failed=self._on_accept_failed
                )
            await trio.sleep_forever()

    async def _serve_client(self, stream):
        """The task of a connection."""
        client = ClientConnection(self.connections, self.handler, self.nursery, stream)
        self.connections.add(client)
        reason = ClientCloseReason.LEFT
        try:
            await self._read_client(client)
        except CONNECTION_LOST_ERRORS:
            pass
        except Exception as error:
            reason = ClientCloseReason.DEFECT
            self.connections.on_defect(client, error)
        self.connections.close(client, reason)

    async def _read_client(self, client):
        """Read a connection until it is closed."""
        network = self.context.network
        while not client.dead:
            most_bytes = READ_BYTES
            if client.lingering or client.truncated:
                await trio.sleep(DISCARD_PAUSE_S)
                most_bytes = DISCARD_BYTES
                if client.dead:
                    return
            data, at_s = await network.receive(client.stream, most_bytes)
            if client.dead:
                return
            if data and client.query is None:
                # A client that has disconnected behind a request is not worked for: the end of its
                # stream is seen before the request is begun.
                more = network.receive_now(client.stream, READ_BYTES)
                if more == b"":
                    data = b""
                elif more:
                    data = data + more
            self.connections.run_step(client, client.feed, data, at_s)

    def _on_accept_failed(self, error):
        self.context.log.error("a connection cannot be taken", error=str(error))

    # ---- graceful shutdown ----

    def begin_shutdown(self, answer_by_s: float):
        """Give each connection's last answer with its close, and all answers by `answer_by_s`."""
        self.context.stopping = True
        self.context.answer_by_s = answer_by_s

    async def stop(self, listeners: list):
        """Accept no new connections but those that wait already, and close what is idle; what was
        taken is answered.
        """
        self.accepting.cancel()
        self.connections.close_idle()
        for listener in listeners:
            await self._take_backlog(listener)
            await listener.aclose()

    async def _take_backlog(self, listener):
        """Accept what waits to be accepted. An accept that fails is made again for as long as
        answers may still be given: a request may have been written behind it.
        """
        until_s = self.context.answer_by_s
        while True:
            try:
                stream = self.context.network.accept_now(listener)
            except OSError as error:
                self._on_accept_failed(error)
                if trio.current_time() >= until_s:
                    return
                await trio.sleep(RETRY_PAUSE_S)
                continue
            if stream is None:
                return
            self.nursery.start_soon(self._serve_client, stream)
