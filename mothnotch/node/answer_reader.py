"""Reads leaves' frames and completes the attempts and health checks that they answer."""

from time import perf_counter

import trio

from mothnotch.decisions.interface import HealthCheckEnded, Result
from mothnotch.net import CONNECTION_LOST_ERRORS
from mothnotch.node import frames
from mothnotch.node.call_context import CallContext
from mothnotch.node.cancellation import Cancellation
from mothnotch.node.closing import LeafCloseReason
from mothnotch.node.leaf_connection import LeafConnection

# Interval of looking whether there is room again for a frame.
ROOM_POLL_S = 0.01
# Results by the status of an answer.
RESULT_BY_STATUS = {"good": Result.OK, "bad": Result.ERROR, "later": Result.REJECTED}


class AnswerReader:
    """Reads the answers on a pool's connections."""

    def __init__(self, context: CallContext, cancellation: Cancellation):
        """`cancellation`: tracks the attempts whose answers are to be discarded."""
        self.context = context
        self.cancellation = cancellation

    async def read(self, connection: LeafConnection):
        """Read a connection until its stream ends or fails, then close it."""
        reason = LeafCloseReason.ENDED
        try:
            await self._read_frames(connection)
        except frames.FrameError as error:
            reason = LeafCloseReason.SPOILT
            self.context.counts["spoilt"] += 1
            self.context.log.warning(
                "leaf broke the protocol", leaf=connection.leaf.name, error=str(error)
            )
        except CONNECTION_LOST_ERRORS:
            pass
        except Exception as error:
            # A defect of the root must affect only the parts on this connection, not every client
            # of the root.
            reason = LeafCloseReason.DEFECT
            self.context.log.error(
                "unexpected error", leaf=connection.leaf.name, error=repr(error), exc_info=True
            )
        connection.close(reason)

    async def _read_frames(self, connection):
        """Return at the end of the stream; raise FrameError at the first malformed frame."""
        network = self.context.network
        while not connection.is_closed:
            if not connection.allowed_read_bytes():
                await self._wait_for_room(connection)
            data, at_s = await network.receive(connection.stream, connection.next_read_bytes)
            if connection.is_closed or not data:
                return
            self._on_data(connection, data, at_s)
            del data  # it is not kept while the next read waits

    def _on_data(self, connection, data, at_s):
        """Process what was read; raise FrameError at the first malformed frame."""
        started_s = perf_counter()
        connection.last_read_s = trio.current_time()
        # Only a read of maximum length can have left data over.
        more_follows = len(data) == connection.wanted_bytes and self.context.network.has_unread(
            connection.stream
        )
        received, error = connection.frame_reader.feed(
            data, more_follows, connection.expected_frames
        )
        self.context.memory.leaf_input.set(connection, len(connection.frame_reader.buffered))
        if received:
            # Only complete frames count as responses: a never-ending answer delivers none.
            connection.last_frame_us = int(at_s * 1e6)
        for frame_type, body in received:
            self.take_frame(connection, frame_type, body, int(at_s * 1e6))
        self.context.loop_monitor.record("leaf input", started_s)
        if error is not None:
            raise error

    async def _wait_for_room(self, connection):
        """Wait until incomplete frames of other connections leave room to read this one.

        Those whose rest does not come are closed. The largest always goes on, so that the wait
        ends.
        """
        budget = self.context.memory.leaf_input
        self.context.counts["waits_for_room"] += 1
        connection.waits_for_room = True
        while not connection.is_closed and not connection.allowed_read_bytes():
            await trio.sleep(ROOM_POLL_S)
            reading = [other for other in budget.holders() if not other.waits_for_room]
            for other in budget.stalled(
                reading, trio.current_time(), lambda holder: holder.last_read_s
            ):
                other.close(LeafCloseReason.FRAME_STALLED)
        connection.waits_for_room = False

    def take_frame(self, connection: LeafConnection, frame_type: bytes, body: bytes, at_us: int):
        """Process a frame received at `at_us`; raise FrameError if it answers nothing."""
        if frame_type == b"q":
            self._on_answer(connection, body, at_us)
        elif frame_type in b"op" and connection.health_checks:
            sent_us, post = connection.health_checks.popleft()
            result = Result.ERROR if body == b"bad" else Result.OK
            latency_us = max(0, at_us - sent_us)
            post(
                HealthCheckEnded(
                    connection.leaf.name, result, latency_us, frames.decode_report(body)
                )
            )
        else:
            raise frames.FrameError(f"unexpected frame {frame_type!r}: {body[:80]!r}")

    def _on_answer(self, connection, body, at_us):
        answer = frames.decode_answer(body)
        wire_id = answer.wire_id
        attempt = connection.in_flight.pop(wire_id, None)
        if attempt is None:
            if wire_id not in connection.abandoned:
                raise frames.FrameError("answer with an unknown wire id")
            self.cancellation.on_late_answer(connection, wire_id)
        elif not attempt.call.sent:
            connection.in_flight[wire_id] = attempt
            raise frames.FrameError("answer to a call that was not sent completely")
        else:
            self.context.silence_detector.record_latency(at_us - attempt.sent_us)
            attempt.complete(RESULT_BY_STATUS[answer.end], answer.value, answer.report, at_us)
            self._note_value(attempt.part, answer.value)
        connection.on_attempt_removed()

    def _note_value(self, part, value):
        """Account for the value of an answered part, until its query ends."""
        query = part.query
        if part.rows is not value or query.outcome is not None:
            return
        if not self.context.memory.answers.add_value(query, value.__sizeof__()):
            self.context.on_answer_too_large(query)
