"""Derive a root's limits on connections, memory and times from those of its process.

Pure. Of the descriptors that the process does not need itself, half are for clients: the platform
states that they use at most a third, which leaves room for a wave of new connections while old ones
are not yet closed. A quarter is for leaves; the rest is slack.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Protocol, TypeVar

# Descriptors reserved for the process itself: poller, signals, log and discovery watches.
RESERVED_DESCRIPTORS = 16
# Minimum number of descriptors to divide, so that clients and leaves get some at any limit.
MIN_SHARED_DESCRIPTORS = 8
# Memory of a process that serves nobody. What exceeds it is shared: a quarter is for clients'
# input, the rest for connections, leaves' answers and what the allocator does not return.
IDLE_MEMORY_MB = 32
INPUT_MEMORY_SHARE = 0.25
# Minimum part of the memory that is shared, so that a root with little more than that serves.
MIN_SHARED_MEMORY = 0.125
# Maximum input that is buffered of one client ahead of its answers: some of the largest requests.
MAX_CLIENT_INPUT_BYTES = 1 << 18
# A graceful shutdown may take as long as the longest deadline of a query, but of that no more than
# this ...
MAX_SHUTDOWN_DEADLINE_S = 3.0
# ... and this much in addition, before the process is killed.
SHUTDOWN_SLACK_S = 0.7
# Time before the kill by which all requests are answered. The root may stall for 0.15 s when
# SIGTERM arrives, and again when it answers.
ANSWER_MARGIN_S = 0.3
# Delay between the last answer and exit; short enough that the process ends before the kill.
EXIT_DELAY_S = 0.1
# Delay before retrying to bind an address that is still in use at startup.
LISTEN_RETRY_S = 0.05
# Startup fails if the address is still in use after this time.
LISTEN_TIMEOUT_S = 10.0
# Time by which an answer that waits behind another one may exceed its client's deadline.
PIPELINE_SLACK_S = 0.25
# A task that resumes this much later than due has stalled; data that arrived meanwhile is unread.
STALL_THRESHOLD_S = 0.05
# Time for a request to come whole before its connection may be closed in favour of another.
UNFINISHED_GRACE_S = 0.25
# Fraction of a leaf's idle time after which the root closes an idle connection. If the leaf closed
# first, a request sent at that moment may have run. The rest covers network delay and stalls.
LEAF_IDLE_FRACTION = 0.75


@dataclass(slots=True, frozen=True)
class ResourceLimits:
    """Limits on connections (counts) and their timeouts (seconds)."""

    # Maximum number of client connections; beyond it the longest waiting one is closed.
    max_clients: int
    # Maximum number including those that cannot be closed, as their requests are open.
    max_busy_clients: int
    # Maximum number of connections to all leaves together.
    max_leaf_connections: int
    # Idle time after which a connection to a leaf is closed.
    leaf_idle_timeout_s: float
    # Idle time after which a client's connection is closed.
    client_idle_timeout_s: float
    # Maximum time from connecting, or from the first byte of a request, to its last byte.
    request_timeout_s: float
    # Maximum time for a client to read its answer.
    send_timeout_s: float
    # Time after SIGTERM during which new connections are still accepted.
    shutdown_accept_s: float
    # Time after SIGTERM by which every request is answered.
    shutdown_answer_s: float
    # Time for which a connection is still read after the client was asked to close it.
    linger_s: float
    # Maximum memory for all clients' input, and for what one client sends ahead.
    max_input_bytes: int
    max_client_input_bytes: int


def shutdown_answer_s(longest_deadline_us: int) -> float:
    """Return the time after SIGTERM by which every accepted request is answered.

    `longest_deadline_us`: the longest deadline of any query class.
    """
    longest_s = min(longest_deadline_us / 1e6, MAX_SHUTDOWN_DEADLINE_S)
    return longest_s + SHUTDOWN_SLACK_S - ANSWER_MARGIN_S


def derive_limits(
    descriptors: int, memory_mb: float, idle_us: int, longest_deadline_us: int
) -> ResourceLimits:
    """Return the limits for a root with that number of file descriptors and that much memory.

    `idle_us`: idle time after which its leaves close a connection. `longest_deadline_us`: the
    longest deadline of any query class.
    """
    shared = max(MIN_SHARED_DESCRIPTORS, descriptors - RESERVED_DESCRIPTORS)
    shared_mb = max(MIN_SHARED_MEMORY * memory_mb, memory_mb - IDLE_MEMORY_MB)
    max_input_bytes = int(INPUT_MEMORY_SHARE * shared_mb * (1 << 20))
    return ResourceLimits(
        max_clients=shared // 2,
        max_busy_clients=shared * 5 // 8,
        max_leaf_connections=shared // 4,
        leaf_idle_timeout_s=LEAF_IDLE_FRACTION * idle_us / 1e6,
        client_idle_timeout_s=8.0,
        request_timeout_s=2.0,
        send_timeout_s=3.0,
        shutdown_accept_s=0.55,
        shutdown_answer_s=shutdown_answer_s(longest_deadline_us),
        linger_s=0.5,
        max_input_bytes=max_input_bytes,
        max_client_input_bytes=min(MAX_CLIENT_INPUT_BYTES, max_input_bytes),
    )


class WaitingClient(Protocol):
    """The state of a connection that waits for its client; determines the order of closing."""

    # Its last answer has been sent; only the client's close is outstanding.
    lingering: bool
    # It has received an answer before.
    served: bool
    # Part of a request was received.
    is_unfinished: bool
    # When it became idle, or when the first byte of that request came.
    since_s: float


WaitingClientT = TypeVar("WaitingClientT", bound=WaitingClient)


def clients_to_close(
    waiting: Iterable[WaitingClientT], open_count: int, max_open: int, now_s: float
) -> Sequence[WaitingClientT]:
    """Return the connections that may be closed, in order; empty if within `max_open`.

    `waiting`: those that wait for their clients. Lingering ones come first, then those whose
    request has not come whole for UNFINISHED_GRACE_S, then those between requests, those that have
    sent no request yet, and the other unfinished requests; within each group, the longest waiting
    first. The caller closes as many as exceed `max_open`.
    """
    if open_count <= max_open:
        return []

    def order(client):
        if client.lingering:
            group = 0
        elif client.is_unfinished:
            group = 1 if now_s - client.since_s >= UNFINISHED_GRACE_S else 4
        else:
            group = 2 if client.served else 3
        return group, client.since_s

    return sorted(waiting, key=order)


def pipelined_deadline_s(now_s: float, timeouts_ms: Sequence[int]) -> float | None:
    """Return the deadline that pipelined requests impose on the open request before them.

    `timeouts_ms`: the timeouts of the requests that are queued behind it, from now; return None if
    there are none. Answers are sent in the order of requests: without this bound, a request with a
    short timeout would wait long past it behind one with a long timeout. Cost: the open request may
    fail before its own timeout.
    """
    if not timeouts_ms:
        return None
    return now_s + min(timeouts_ms) / 1000 + PIPELINE_SLACK_S
