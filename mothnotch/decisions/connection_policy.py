"""Policy for connections to leaves: which are responsive, what may be sent, which to close.

Pure: callers pass in the connections' observations and the time. Each name states its unit of time.
"""

from collections.abc import Iterable
from typing import TypeVar

from mothnotch.decisions.interface import Result

ConnectionT = TypeVar("ConnectionT")

# Factor by which one answer moves the running median of latencies; small, to damp outliers.
MEDIAN_STEP = 1.03
# A connection is suspect once it has been silent for this multiple of the median latency. A smaller
# multiple would blame the connection for a single slow answer of its leaf.
SILENCE_FACTOR = 3
# Minimum idle time before a connection may be closed in favour of another. Bounds the rate at which
# connections are opened and closed.
MIN_IDLE_S = 0.05
# A disconnect may be unread in the sockets if they were last polled longer ago than this.
MAX_UNPOLLED_S = 0.02
# Maximum interval between checks of idle connections, so that none outlives its idle time by much.
MAX_IDLE_CHECK_S = 0.5


class SilenceDetector:
    """Track the median latency of answers and detect silent connections from it.

    Guards against connections that stop delivering data while their leaf is healthy (an expired NAT
    entry, a peer that vanished, an answer that never ends): everything sent on them would time out,
    and the leaf would be blamed. Cost: a leaf that is slow for every query gets a new connection,
    and so a handshake, for each part abandoned there.
    """

    def __init__(self):
        """Start without a median: no connection is suspect before the first answer."""
        self.median_us: float | None = None

    def record_latency(self, latency_us: float) -> None:
        """Update the median with the latency of an answer."""
        if self.median_us is None:
            self.median_us = max(1.0, latency_us)
        self.median_us *= MEDIAN_STEP if latency_us > self.median_us else 1 / MEDIAN_STEP

    def is_silent(self, sent_us: int, last_read_us: int, now_us: int) -> bool:
        """Return whether a connection is suspect, when an attempt sent on it is abandoned.

        It is suspect if nothing was read from it since `sent_us` and that was long enough ago.
        """
        if self.median_us is None or last_read_us >= sent_us:
            return False
        return now_us - sent_us >= SILENCE_FACTOR * self.median_us


def max_in_flight(streams: int) -> int:
    """Return the maximum number of parts in flight on a connection with `streams` streams.

    It is one less than `streams`. A leaf with all streams busy reads nothing until it has answered
    a part, not even a cancellation: the cancelled part would run beside the next attempt, and data
    written after the cancellation could be read past the leaf's drain or the retry window. With one
    stream, abandoning a part requires closing the connection (`must_close`). Cost: with two
    streams, each part in flight needs a connection of its own.
    """
    return max(1, streams - 1)


def client_may_have_disconnected(unpolled_s: float) -> bool:
    """Return whether a disconnect may be unread, given the seconds since sockets were polled."""
    return unpolled_s > MAX_UNPOLLED_S


def withheld_result(
    takes_new: bool,
    superseded: bool,
    past_retry_window: bool,
    remaining_s: float,
    temporarily_blocked: bool = False,
) -> Result | None:
    """Return the result of a queued attempt that must not be sent; None if it may be sent.

    Called just before the attempt's first byte is sent. `takes_new`: its leaf is not draining, not
    removed and still at that address. `superseded`: the client disconnected, or another attempt
    answered the part. `past_retry_window`: it is too late for a retry. `remaining_s`: time until
    the attempt's deadline. `temporarily_blocked`: a disconnect of the client may be unread, or the
    retry budget is exhausted at present.

    Guards against work whose result nobody reads, duplicate side effects and an exceeded retry
    budget. A withheld attempt costs nothing, as it never ran.
    """
    if not takes_new or superseded or past_retry_window or temporarily_blocked:
        return Result.UNSENT
    if remaining_s <= 0:
        return Result.UNREACHABLE
    return None


def must_close(
    streams_exhausted: bool, cancellation_queued: bool, query_complete: bool, hedging_allowed: bool
) -> bool:
    """Return whether abandoning a sent attempt requires closing its connection.

    It does if all streams of the leaf are busy, so that it cannot read a cancellation. It also does
    if the cancellation cannot be sent at once: another attempt, which only an incomplete query
    makes, would overtake it and run beside the first. Cost: the other parts on that connection may
    have run by then. Therefore it stays open if hedging is allowed or the query is complete. Within
    `max_in_flight` a connection whose streams are exhausted carries no other parts.
    """
    if streams_exhausted:
        return True
    return cancellation_queued and not query_complete and not hedging_allowed


def idle_connection_to_close(
    idle: Iterable[tuple[float, ConnectionT]], now_s: float
) -> ConnectionT | None:
    """Return the idle connection to close for a new one at the limit; None if none may be closed.

    `idle`: pairs of (idle since, connection), in seconds. The longest idle one is chosen if it has
    been idle for `MIN_IDLE_S`. Guards against rejecting work for lack of a connection while unused
    ones are open. Cost: a handshake for each part if leaves greatly outnumber connections.
    """
    since_s, connection = min(idle, key=lambda pair: pair[0], default=(now_s, None))
    return connection if now_s - since_s >= MIN_IDLE_S else None


def idle_expired(idle_for_s: float, max_idle_s: float) -> bool:
    """Return whether an idle connection is too old to use: its leaf may be closing it already."""
    return idle_for_s >= max_idle_s


def idle_check_interval_s(max_idle_s: float) -> float:
    """Return the interval between checks of idle connections, in seconds."""
    return min(MAX_IDLE_CHECK_S, max_idle_s / 4)
