"""Lets what has come be read before times that are due are looked at.

A root that was held up, or not scheduled, finds both when it goes on: unread data and times that
have passed. Its own lag must not end what a peer has done in time.
"""

import trio

from mothnotch.decisions.resource_limits import STALL_THRESHOLD_S


async def let_connections_read(due_s: float) -> None:
    """Return once every connection could read what has come by now.

    `due_s`: when the caller was due, on trio's clock; infinite if it was not woken by a time. The
    first checkpoint looks at all sockets, as a wait whose time is over may end without a look. The
    tasks of those that are readable run beside the caller, in any order, so that after a hold-up
    it takes a second one until all have read.
    """
    began_s = min(due_s, trio.current_time())
    await trio.lowlevel.checkpoint()
    if trio.current_time() - began_s > STALL_THRESHOLD_S:
        await trio.lowlevel.checkpoint()
