"""Derive a root's limits on connections, memory and times from those of its process.

Pure. Of the descriptors that the process does not need itself, half are for clients: the platform
states that they use at most a third, which leaves room for a wave of new connections while old ones
are not yet closed. A quarter is for leaves; the rest is slack.

Of the memory that the process does not need itself, each holder has a share: connections and open
requests, which are counted, and input, answers, calls and lists, whose bytes are. The shares add up
to less than all, as freed memory is not returned at once. Whichever of descriptors and memory is
scarcer sets the bound.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Protocol, TypeVar

from mothnotch.decisions.client_input import SMALL_READ_BYTES

# Descriptors reserved for the process itself: poller, signals, log and discovery watches.
RESERVED_DESCRIPTORS = 16
# Minimum number of descriptors to divide, so that clients and leaves get some at any limit.
MIN_SHARED_DESCRIPTORS = 8
MEGABYTE = 1_000_000
# Own memory of a process that serves nobody: code and data, without mapped files, and what it keeps
# of each leaf on its list.
IDLE_MEMORY_BYTES = 20_500_000
LISTED_LEAF_BYTES = 3_000
# Minimum part of the memory that is shared, so that a root with little more than that serves.
MIN_SHARED_MEMORY = 0.125
# Memory of a client's connection, of an open query or part with its attempts, of a connection to a
# leaf, and of the id of a request that has ended, each without the data that is sent on it.
CLIENT_BYTES = 6_500
OPEN_ITEM_BYTES = 3_000
LEAF_CONNECTION_BYTES = 7_500
RECENT_ID_BYTES = 350
# Shares of the memory beyond that of an idle process.
CLIENT_MEMORY_SHARE = 0.32
OPEN_MEMORY_SHARE = 0.1
LEAF_CONNECTION_MEMORY_SHARE = 0.08
INPUT_MEMORY_SHARE = 0.2
ANSWER_MEMORY_SHARE = 0.1
LEAF_INPUT_MEMORY_SHARE = 0.05
CALL_MEMORY_SHARE = 0.04
RECENT_IDS_MEMORY_SHARE = 0.03
LIST_MEMORY_SHARE = 0.07
# Share of its memory limit that the SQL root has for clients' input.
SQL_INPUT_MEMORY_SHARE = 0.25
# Limits of what one holder of the bytes may have of its share.
MAX_ANSWER_FRACTION = 0.5
MAX_CALL_FRACTION = 0.25
# Minimum sizes, whatever the memory: a body or a frame of the longest kind, and a list of a few
# thousand leaves.
MIN_CALL_BYTES = 1 << 17
MIN_LIST_BYTES = 700_000
MAX_LIST_BYTES = 8 << 20
MAX_RECENT_IDS = 4096
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
# Connections that are pending when a root stops listening are accepted until this long before all
# requests are answered, and those that come meanwhile for this long.
FINAL_ACCEPT_MARGIN_S = 0.25
MIN_FINAL_ACCEPT_S = 0.1
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
    # Maximum number of open queries and parts together.
    max_open_items: int
    # Maximum memory for leaves' answers until clients have taken them, and for those to one query.
    max_answer_bytes: int
    max_query_answer_bytes: int
    # Maximum memory for leaves' frames that have not come whole.
    max_leaf_input_bytes: int
    # Maximum memory for calls that leaves have not taken, and for the texts of one call.
    max_unsent_call_bytes: int
    max_call_bytes: int
    # Maximum size of a list from discovery.
    max_list_bytes: int
    # Maximum number of ids that are remembered of ended requests.
    max_recent_ids: int


def shutdown_answer_s(longest_deadline_us: int) -> float:
    """Return the time after SIGTERM by which every accepted request is answered.

    `longest_deadline_us`: the longest deadline of any query class.
    """
    longest_s = min(longest_deadline_us / 1e6, MAX_SHUTDOWN_DEADLINE_S)
    return longest_s + SHUTDOWN_SLACK_S - ANSWER_MARGIN_S


def shared_memory_bytes(memory_mb: float, listed_leaves: int) -> float:
    """Return the memory beyond that of an idle process with so many leaves on its list."""
    memory_bytes = memory_mb * MEGABYTE
    idle_bytes = IDLE_MEMORY_BYTES + listed_leaves * LISTED_LEAF_BYTES
    return max(MIN_SHARED_MEMORY * memory_bytes, memory_bytes - idle_bytes)


def derive_limits(
    descriptors: int,
    memory_mb: float,
    idle_us: int,
    longest_deadline_us: int,
    listed_leaves: int = 0,
) -> ResourceLimits:
    """Return the limits for a root with that number of file descriptors and that much memory.

    `idle_us`: idle time after which its leaves close a connection. `longest_deadline_us`: the
    longest deadline of any query class. `listed_leaves`: number of leaves on its first list.
    """
    shared = max(MIN_SHARED_DESCRIPTORS, descriptors - RESERVED_DESCRIPTORS)
    shared_bytes = shared_memory_bytes(memory_mb, listed_leaves)
    client_capacity = int(CLIENT_MEMORY_SHARE * shared_bytes / CLIENT_BYTES)
    max_busy_clients = min(shared * 5 // 8, client_capacity)
    leaf_connection_capacity = LEAF_CONNECTION_MEMORY_SHARE * shared_bytes / LEAF_CONNECTION_BYTES
    # Each client may be read a little, whatever the others hold.
    max_input_bytes = int(INPUT_MEMORY_SHARE * shared_bytes - max_busy_clients * SMALL_READ_BYTES)
    max_answer_bytes = int(ANSWER_MEMORY_SHARE * shared_bytes)
    max_unsent_call_bytes = int(CALL_MEMORY_SHARE * shared_bytes)
    list_bytes = int(LIST_MEMORY_SHARE * shared_bytes)
    return ResourceLimits(
        max_clients=min(shared // 2, max_busy_clients * 4 // 5),
        max_busy_clients=max_busy_clients,
        max_leaf_connections=min(shared // 4, int(leaf_connection_capacity)),
        leaf_idle_timeout_s=LEAF_IDLE_FRACTION * idle_us / 1e6,
        client_idle_timeout_s=8.0,
        request_timeout_s=2.0,
        send_timeout_s=3.0,
        shutdown_accept_s=0.55,
        shutdown_answer_s=shutdown_answer_s(longest_deadline_us),
        linger_s=0.5,
        max_input_bytes=max_input_bytes,
        max_client_input_bytes=min(MAX_CLIENT_INPUT_BYTES, max_input_bytes),
        max_open_items=int(OPEN_MEMORY_SHARE * shared_bytes / OPEN_ITEM_BYTES),
        max_answer_bytes=max_answer_bytes,
        max_query_answer_bytes=int(MAX_ANSWER_FRACTION * max_answer_bytes),
        max_leaf_input_bytes=int(LEAF_INPUT_MEMORY_SHARE * shared_bytes),
        max_unsent_call_bytes=max_unsent_call_bytes,
        max_call_bytes=max(MIN_CALL_BYTES, int(MAX_CALL_FRACTION * max_unsent_call_bytes)),
        max_list_bytes=min(MAX_LIST_BYTES, max(MIN_LIST_BYTES, list_bytes)),
        max_recent_ids=min(
            MAX_RECENT_IDS, int(RECENT_IDS_MEMORY_SHARE * shared_bytes / RECENT_ID_BYTES)
        ),
    )


class FinalAccepts:
    """Which connections a root accepts that stops listening: those that are pending then.

    More may come without end, as clients that are turned away come back. The oldest come first.
    """

    def __init__(self, now_s: float, answer_by_s: float, pending_count: int):
        """`answer_by_s`: when all requests are answered. `pending_count`: as far as it is known."""
        self._left = pending_count
        self._others_until_s = now_s + MIN_FINAL_ACCEPT_S
        self._until_s = max(self._others_until_s, answer_by_s - FINAL_ACCEPT_MARGIN_S)

    def may_accept(self, now_s: float) -> bool:
        """Return whether one more connection is accepted, and count it."""
        self._left -= 1
        return now_s < (self._until_s if self._left >= 0 else self._others_until_s)


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
