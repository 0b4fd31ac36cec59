"""Processing of received data before expired timers.

After a stall of the process, there may be both unread data and expired timers. The data is read
first, so that the root's own delay does not time out a peer that answered in time.
"""

import trio

from mothnotch.decisions.resource_limits import STALL_THRESHOLD_S


async def let_connections_read(due_s: float) -> None:
    """Return once every connection has had the chance to read the data received by now.

    `due_s`: when the caller's timer was due, on trio's clock; infinite if no timer woke it. The
    first checkpoint polls all sockets, as a wait that ends by timeout may not have polled them. The
    tasks of readable sockets run in the same pass as the caller, in any order, so after a stall a
    second checkpoint is needed until all of them have read.
    """
    start_s = min(due_s, trio.current_time())
    await trio.lowlevel.checkpoint()
    if trio.current_time() - start_s > STALL_THRESHOLD_S:
        await trio.lowlevel.checkpoint()
