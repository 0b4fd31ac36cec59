"""The reasons for which connections are closed; their names appear in counters and the trace."""

from enum import Enum


class ClientCloseReason(Enum):
    """Why the connection to a client was closed."""

    LEFT = "the client closed or reset the connection"
    LAST_ANSWER = "the final response was sent, and the client was given time to read it"
    TOO_MUCH_BEHIND = "the client sent too much data after the final response"
    SHED = "the connection limit was exceeded"
    IDLE = "the idle timeout expired"
    ANSWER_NOT_TAKEN = "the client did not read a response in time"
    STOPPING = "the connection was idle when the root shut down"
    DEFECT = "an unexpected error"

    @property
    def initiated_by_root(self) -> bool:
        """Return whether the root, not the client, closed the connection."""
        return self is not ClientCloseReason.LEFT


class LeafCloseReason(Enum):
    """Why a connection to a leaf was closed."""

    CONNECT_FAILED = "the connection could not be established"
    ENDED = "the leaf closed or reset the connection"
    SPOILT = "the leaf violated the protocol"
    IDLE = "the idle timeout expired"
    RETIRED = (
        "the leaf was removed or moved, or the connection was unresponsive, and it became unused"
    )
    GIVEN_UP = "an attempt was cancelled, and the leaf would have read a cancel frame too late"
    WITHDRAWN = "the rest of a partly sent frame must not be sent"
    PLACES_TAKEN = "abandoned attempts occupy all of its capacity"
    SHARE = "closed at the connection limit in favour of a new connection"
    ASKED = "the balancer requested a disconnect"
    FRAME_STALLED = "the rest of a frame did not come, and its memory was needed"
    CALL_NOT_TAKEN = "the leaf did not read its calls, and their memory was needed"
    DEFECT = "an unexpected error"
