"""Makes connections to leaves, each in a task of its own that then reads from it."""

import trio

from mothnotch.net import shut
from mothnotch.node.answer_reader import AnswerReader
from mothnotch.node.call_context import CallContext
from mothnotch.node.closing import LeafCloseReason
from mothnotch.node.leaf_connection import LeafConnection


class Connector:
    """Makes a pool's connections."""

    def __init__(self, context: CallContext, answers: AnswerReader, connect_timeout_s: float):
        """`connect_timeout_s`: a connection that isn't made by then is given up."""
        self.context = context
        self.answers = answers
        self.connect_timeout_s = connect_timeout_s

    async def run(self, connection: LeafConnection):
        """Make a connection, send what is queued, and read until it is closed: its task."""
        try:
            if await self._connect(connection):
                await self.answers.read(connection)
        except Exception as error:
            # A defect of the root's, or what no list should name, must cost this connection's parts
            # and no root.
            self.context.log.error(
                "unexpected error", leaf=connection.leaf.name, error=repr(error), exc_info=True
            )
            connection.close(LeafCloseReason.DEFECT)

    async def _connect(self, connection):
        """Make a connection and send what is queued; return whether it is to be read from."""
        network = self.context.network
        self.context.counts["connects"] += 1
        stream = None
        try:
            with trio.move_on_after(self.connect_timeout_s):
                stream = await network.open(connection.address)
        except (OSError, trio.BrokenResourceError) as error:
            self.context.log.warning(
                "no connection to a leaf", leaf=connection.leaf.name, error=str(error)
            )
        if stream is None or connection.dead:
            self.context.counts["connects_failed"] += 1
            if stream is not None:
                shut(stream)
            connection.close(LeafCloseReason.CONNECT_FAILED)
            return False
        network.prepare(stream)
        connection.stream = stream
        connection.idle_since_s = trio.current_time()
        connection.flush_queued()
        if connection.dead:
            return False
        if connection.retired:
            connection.close_if_idle(LeafCloseReason.RETIRED)
        return True
