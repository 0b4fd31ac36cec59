"""Follows discovery's watch, and tells calls and core in the turn it came, before anything else is sent."""
import h11
import msgspec
import trio

from mothnotch.decisions import roster
from mothnotch.decisions.interface import ListNews, News
from mothnotch.decisions.polling import Renewal
from mothnotch.net import shut
from mothnotch.node import listing
from mothnotch.root.core import now_us

LINE = 8 << 20                   # the longest line taken
READ = 1 << 16


class Watch:
    """`address` may be changed at any time: `moved` makes the watch anew there, from the version held."""

    def __init__(self, network, address, core, calls, log, chance):
        self.network, self.address, self.core, self.calls, self.log = network, address, core, calls, log
        self.rev, self.listed, self.scope, self.renewal = 0, False, None, Renewal(chance)

    def start(self, known):
        """The list as last held."""
        if known is not None and known.targets:
            self.tell(known, News.CACHED)

    def tell(self, found, kind=None):
        if kind is None and not found.all and found.rev <= self.rev:
            return                                   # repeated, or from before what is held
        self.rev, self.listed = found.rev, True
        kind = kind or (News.FULL if found.all else News.CHANGES)
        leaves = listing.leaves(found)
        self.calls.follow(leaves, kind is not News.CHANGES)
        self.core.news(roster.news(leaves, found.rev, now_us(), self.network.wall(), kind))

    def moved(self, address):
        if address != self.address:
            self.address = address
            self.renewal.heard()
            if self.scope is not None:
                self.scope.cancel()

    async def run(self):
        """Runs until cancelled."""
        while True:
            try:
                with trio.CancelScope() as self.scope:
                    await self.follow()
            except (OSError, trio.BrokenResourceError, trio.ClosedResourceError, h11.RemoteProtocolError,
                    msgspec.DecodeError, EOFError, trio.TooSlowError) as error:
                self.log.warning("the watch broke", address=self.address, error=f"{type(error).__name__}: {error}")
                self.core.news(ListNews(News.FAILED, self.rev, ()))
            if not self.scope.cancelled_caught:
                await trio.sleep(self.renewal.pause())

    async def follow(self):
        with trio.fail_after(self.renewal.connect_s):
            stream = await self.network.open(self.address)
        try:
            http = h11.Connection(h11.CLIENT)
            target = f"/api/targets?stream=1&index={self.rev}" if self.listed else "/api/targets?stream=1"
            await stream.send_all(http.send(h11.Request(method="GET", target=target, headers=[("Host", self.address)]))
                                  + http.send(h11.EndOfMessage()))
            held = bytearray()
            while True:
                event = http.next_event()
                if event is h11.NEED_DATA:
                    with trio.fail_after(self.renewal.silent_s):
                        http.receive_data(await stream.receive_some(READ))
                elif isinstance(event, h11.Response):
                    if event.status_code != 200:
                        raise EOFError(f"status {event.status_code}")
                elif isinstance(event, h11.Data):
                    held += event.data
                    if len(held) > LINE:
                        raise EOFError(f"a line of more than {LINE} bytes")
                    while (end := held.find(b"\n")) >= 0:
                        line = bytes(held[:end])
                        del held[:end + 1]
                        self.renewal.heard()
                        if line.strip():
                            self.tell(listing.decode(line))
                elif isinstance(event, h11.EndOfMessage | h11.ConnectionClosed):
                    raise EOFError("the watch ended")
        finally:
            shut(stream)
