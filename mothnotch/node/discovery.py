"""Follows discovery's watch, and tells calls and core in the turn it came, before anything else is sent."""
import h11
import msgspec
import trio

from mothnotch.decisions.interface import ListNews, News
from mothnotch.net import shut
from mothnotch.node import listing
from mothnotch.root.core import now_us

LINE = 8 << 20                   # the longest line taken
READ = 1 << 16
SILENT_S = 6.5                   # a watch says something every 2 s; after three times nothing it is made anew
PAUSE_S = (0.1, 2.0)             # before a watch is made anew: at first, and at most
CONNECT_S = 1.0


class Watch:
    """`address` may be changed at any time: `moved` makes the watch anew there, from the version held."""

    def __init__(self, network, address, core, calls, log, chance):
        self.network, self.address, self.core, self.calls, self.log = network, address, core, calls, log
        self.chance, self.rev, self.listed, self.scope, self.pause = chance, 0, False, None, PAUSE_S[0]

    def start(self, known):
        """The list as last held."""
        if known is not None and known.targets:
            self.tell(known, News.CACHED)

    def tell(self, found, kind=None):
        if kind is None and not found.all and found.rev <= self.rev:
            return                                   # repeated, or from before what is held
        self.rev, self.listed = found.rev, True
        whole = kind is not None or found.all
        told = listing.news(found, kind, now_us(), self.network.wall())
        self.calls.follow(listing.leaves(found), whole)
        self.core.news(told)

    def moved(self, address):
        if address != self.address:
            self.address, self.pause = address, PAUSE_S[0]
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
                await trio.sleep(self.pause * (0.5 + self.chance() / 2))
                self.pause = min(PAUSE_S[1], 2 * self.pause)

    async def follow(self):
        with trio.fail_after(CONNECT_S):
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
                    with trio.fail_after(SILENT_S):
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
                        self.pause = PAUSE_S[0]
                        if line.strip():
                            self.tell(listing.decode(line))
                elif isinstance(event, h11.EndOfMessage | h11.ConnectionClosed):
                    raise EOFError("the watch ended")
        finally:
            shut(stream)
