"""Network and clock abstraction: all other code runs over real sockets or in memory.

A network object opens connections and listens. Addresses are strings: `host:port`, `[v6]:port` or
`unix:/path`. Time is trio's (`trio.current_time`, in seconds), so a virtual clock needs nothing
here but the wall clock of the same run. `bind_datagrams(address)` returns an object with `address`,
`receive(max_bytes)`, `send(address, data)` and `close()`: a send never waits, and a datagram that
cannot be sent is lost, as any datagram may be.

This package exports the network of real sockets. The in-memory network, `mothnotch.net.memory`, is
not imported here, so that a root in production does not load it.
"""

from mothnotch.net.addresses import AddressError, parse_address
from mothnotch.net.arrival_clock import ArrivalClock
from mothnotch.net.datagrams import DatagramSocket
from mothnotch.net.errors import CONNECTION_LOST_ERRORS, RETRY_PAUSE_S
from mothnotch.net.loop_monitor import LoopMonitor
from mothnotch.net.serving import serve
from mothnotch.net.sockets import Listener, SocketNetwork, close_now
from mothnotch.net.time_slice import TimeSlice

__all__ = [
    "CONNECTION_LOST_ERRORS",
    "RETRY_PAUSE_S",
    "AddressError",
    "ArrivalClock",
    "DatagramSocket",
    "Listener",
    "LoopMonitor",
    "SocketNetwork",
    "TimeSlice",
    "parse_address",
    "serve",
    "close_now",
]
