"""Reads leaves' frames and completes the attempts and health checks that they answer."""

from time import perf_counter

from mothnotch.decisions.interface import HealthCheckEnded, Result
from mothnotch.net import CONNECTION_LOST_ERRORS
from mothnotch.node import frames
from mothnotch.node.call_context import CallContext
from mothnotch.node.cancellation import Cancellation
from mothnotch.node.closing import LeafCloseReason
from mothnotch.node.leaf_connection import LeafConnection

# Maximum bytes per read; bounds the share of a scheduler pass that one connection uses.
READ_BYTES = 1 << 15
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
        while not connection.is_closed:
            data, at_s = await self.context.network.receive(connection.stream, READ_BYTES)
            if connection.is_closed or not data:
                return
            started_s = perf_counter()
            # Only a read of maximum length can have left data over.
            more_follows = len(data) == READ_BYTES and self.context.network.has_unread(
                connection.stream
            )
            received, error = connection.frame_reader.feed(
                data, more_follows, connection.expected_frames
            )
            if received:
                # Only complete frames count as responses: a never-ending answer delivers none.
                connection.last_frame_us = int(at_s * 1e6)
            for frame_type, body in received:
                self.take_frame(connection, frame_type, body, int(at_s * 1e6))
            self.context.loop_monitor.record("leaf input", started_s)
            if error is not None:
                raise error

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
        connection.on_attempt_removed()
