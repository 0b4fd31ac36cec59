"""What a small root's descriptors, memory and time are shared out to: connections, idle times, buffers.

Pure: worked out from the limits and settings that the root is told. Descriptors: a third goes to clients at most by
the platform's word, so half leaves them room for a wave of new ones beside old ones not yet closed; a quarter goes
to leaves; the rest is the program's own (poller, signals, log, discovery) and slack.
"""
from dataclasses import dataclass

OWN = 16                          # descriptors the program itself needs, discovery's among them


@dataclass(slots=True, frozen=True)
class Shares:
    clients: int                  # connections of clients at once; past it the longest idle goes
    leaf_connections: int         # of all leaves together
    leaf_idle_s: float            # an idle connection to a leaf is closed after so long
    client_idle_s: float          # an idle one of a client's
    request_s: float              # a request has to come whole within so long of its first byte, or of connecting
    send_s: float                 # and its answer has to be taken within so long
    stopping_s: float             # new connections are still taken for so long after SIGTERM


def shares(sockets, idle_us):
    """The shares of a root that may hold so many descriptors, and whose leaves close what is idle for idle_us."""
    free = max(8, sockets - OWN)
    # A leaf closes at its idle time at the latest: a request that crosses that close may have run. A quarter of
    # the time covers the way there and a stalled root.
    return Shares(clients=free // 2, leaf_connections=free // 4, leaf_idle_s=0.75 * idle_us / 1e6,
                  client_idle_s=8.0, request_s=2.0, send_s=3.0, stopping_s=0.55)


def spare(idle, open_now, most):
    """Which connections go when one more has come: the longest idle, until they are within the share. `idle`:
    [(since, connection)]."""
    over = open_now - most
    return [connection for _, connection in sorted(idle, key=lambda pair: pair[0])[:over]] if over > 0 else []
