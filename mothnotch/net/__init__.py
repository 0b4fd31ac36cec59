"""The one seam to sockets and clocks: everything above it runs over sockets or in memory.

A `Network` opens and listens; addresses are text: `host:port`, `[v6]:port` or `unix:/path`. Time is
trio's own (`trio.current_time`, in seconds), so a virtual clock needs nothing here but the wall
clock of the same run. `bind_datagrams(address)` returns an object with `address`, `receive(most)`,
`send(address, data)` and `close()`: a send never waits, and what cannot be sent is lost, as any
datagram may be.

The names of the real network are here. The network in memory is `mothnotch.net.memory`; it is not
imported here, so that a root on the platform does not load it.
"""

from mothnotch.net.addresses import AddressError, parse_address
from mothnotch.net.arrival_clock import ArrivalClock
from mothnotch.net.datagrams import DatagramSocket
from mothnotch.net.errors import CONNECTION_LOST_ERRORS, RETRY_PAUSE_S
from mothnotch.net.serving import serve
from mothnotch.net.sockets import Listener, SocketNetwork, close_now

__all__ = [
    "CONNECTION_LOST_ERRORS",
    "RETRY_PAUSE_S",
    "AddressError",
    "ArrivalClock",
    "DatagramSocket",
    "Listener",
    "SocketNetwork",
    "parse_address",
    "serve",
    "close_now",
]
