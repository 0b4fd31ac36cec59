"""Establishes connections to leaves; one task per connection connects and then reads from it."""

import trio

from mothnotch.net import close_now
from mothnotch.node.answer_reader import AnswerReader
from mothnotch.node.call_context import CallContext
from mothnotch.node.closing import LeafCloseReason
from mothnotch.node.leaf_connection import LeafConnection


class Connector:
    """Establishes the connections of a pool."""

    def __init__(self, context: CallContext, answer_reader: AnswerReader, connect_timeout_s: float):
        """`connect_timeout_s`: the maximum time to establish a connection."""
        self.context = context
        self.answer_reader = answer_reader
        self.connect_timeout_s = connect_timeout_s

    async def run(self, connection: LeafConnection):
        """Connect, send the queued attempts and read until the connection is closed."""
        try:
            if await self._connect(connection):
                await self.answer_reader.read(connection)
        except Exception as error:
            # A defect of the root, or an unusable address in the endpoint list, must affect only
            # the parts on this connection.
            self.context.log.error(
                "unexpected error", leaf=connection.leaf.name, error=repr(error), exc_info=True
            )
            connection.close(LeafCloseReason.DEFECT)

    async def _connect(self, connection):
        """Connect and send the queued attempts; return whether to read from the connection."""
        network = self.context.network
        self.context.counts["connects"] += 1
        stream = None
        try:
            with trio.move_on_after(self.connect_timeout_s):
                stream = await network.open(connection.address)
        except (OSError, trio.BrokenResourceError) as error:
            self.context.log.warning(
                "cannot connect to leaf", leaf=connection.leaf.name, error=str(error)
            )
        if stream is None or connection.is_closed:
            self.context.counts["connects_failed"] += 1
            if stream is not None:
                close_now(stream)
            connection.close(LeafCloseReason.CONNECT_FAILED)
            return False
        network.configure_stream(stream)
        connection.stream = stream
        connection.idle_since_s = trio.current_time()
        connection.flush_queued()
        if connection.is_closed:
            return False
        if connection.retired:
            connection.close_if_idle(LeafCloseReason.RETIRED)
        return True
