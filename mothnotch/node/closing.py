"""Why connections are closed: a reason for every close, counted, and written to the trace."""

from enum import Enum


class ClientCloseReason(Enum):
    """Why the connection of a client was closed."""

    LEFT = "the client ended or reset it"
    LAST_ANSWER = "its last answer was sent, and the client had its time to read it"
    TOO_MUCH_BEHIND = "too much came behind its last answer"
    SHED = "too many connections"
    IDLE = "idle for its time"
    ANSWER_NOT_TAKEN = "an answer was not taken in time"
    STOPPING = "idle at the stop of the root"
    DEFECT = "an unexpected error"

    @property
    def initiated_by_root(self) -> bool:
        """Return whether the root closed it of its own accord."""
        return self is not ClientCloseReason.LEFT


class LeafCloseReason(Enum):
    """Why the connection to a leaf was closed."""

    CONNECT_FAILED = "no connection came up"
    ENDED = "the leaf ended or reset it"
    SPOILT = "the leaf broke the protocol"
    IDLE = "idle for its time"
    RETIRED = "its leaf is gone or moved, or it fell silent, and nothing is in flight on it"
    GIVEN_UP = "an attempt on it was cancelled, and a message would have been read too late"
    WITHDRAWN = "a frame partly sent must not go on"
    PLACES_TAKEN = "all places are taken by what was abandoned"
    SHARE = "another leaf's needed its place in the share of connections"
    ASKED = "the module asked for new connections"
    DEFECT = "an unexpected error"
