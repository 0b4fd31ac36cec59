"""Reads what a leaf sends on a connection, and ends the attempts and health checks it answers."""

from mothnotch.decisions.interface import HealthCheckEnded, Result
from mothnotch.net import CONNECTION_LOST_ERRORS
from mothnotch.node import frames
from mothnotch.node.call_context import CallContext
from mothnotch.node.cancellation import Cancellation
from mothnotch.node.closing import LeafCloseReason
from mothnotch.node.leaf_connection import LeafConnection

READ_BYTES = 1 << 15  # read at once: bounds what one connection takes of a pass of the scheduler
RESULTS = {"good": Result.OK, "bad": Result.ERROR, "later": Result.REJECTED}


class AnswerReader:
    """The answers on a pool's connections."""

    def __init__(self, context: CallContext, cancellation: Cancellation):
        """`cancellation`: knows whose answers count for nothing any more."""
        self.context = context
        self.cancellation = cancellation

    async def read(self, connection: LeafConnection):
        """Take in what the leaf sends until the stream ends, then close the connection."""
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
            # A defect of the root's must cost this connection's parts, not every client of this
            # root.
            reason = LeafCloseReason.DEFECT
            self.context.log.error(
                "unexpected error", leaf=connection.leaf.name, error=repr(error), exc_info=True
            )
        connection.close(reason)

    async def _read_frames(self, connection):
        """Return at the end of the stream; raise FrameError at the first frame that is none."""
        while not connection.dead:
            data, at_s = await self.context.network.receive(connection.stream, READ_BYTES)
            if connection.dead or not data:
                return
            found, error = connection.reader.feed(data)
            if found:
                # Bytes alone don't count as heard: an answer that never ends lets none through.
                connection.last_frame_us = int(at_s * 1e6)
            for letter, rest in found:
                self.take_frame(connection, letter, rest, int(at_s * 1e6))
            if error is not None:
                raise error

    def take_frame(self, connection: LeafConnection, letter: bytes, rest: bytes, at_us: int):
        """Take one frame that came at `at_us`; raise FrameError if nothing asked for it."""
        if letter == b"q":
            self._take_answer(connection, rest, at_us)
        elif letter in b"op" and connection.health_checks:
            sent_us, post = connection.health_checks.popleft()
            result = Result.ERROR if rest == b"bad" else Result.OK
            latency_us = max(0, at_us - sent_us)
            post(
                HealthCheckEnded(
                    connection.leaf.name, result, latency_us, frames.decode_report(rest)
                )
            )
        else:
            raise frames.FrameError(f"an unexpected frame {letter!r}: {rest[:80]!r}")

    def _take_answer(self, connection, rest, at_us):
        answer = frames.decode_answer(rest)
        wire_id = answer.wire_id
        attempt = connection.in_flight.pop(wire_id, None)
        if attempt is None:
            if wire_id not in connection.abandoned:
                raise frames.FrameError("an answer to nothing that is out")
            self.cancellation.on_late_answer(connection, wire_id)
        elif not attempt.call.sent:
            connection.in_flight[wire_id] = attempt
            raise frames.FrameError("an answer to what has not gone out")
        else:
            self.context.silence_detector.record_latency(at_us - attempt.sent_us)
            attempt.complete(RESULTS[answer.end], answer.value, answer.report, at_us)
        connection.on_attempt_removed()
