"""Follows discovery's watch, and notifies pool and core in the turn a list came, before anything
else is sent.
"""

import h11
import msgspec
import trio

from mothnotch.decisions import endpoint_list
from mothnotch.decisions.interface import WatchEvent, WatchEventKind
from mothnotch.decisions.start_times import StartTimes
from mothnotch.decisions.watch_policy import WatchPolicy
from mothnotch.net import CONNECTION_LOST_ERRORS, shut
from mothnotch.node import listing
from mothnotch.root.core import now_us

# The longest list taken: an agent that never ends one must not fill the root's memory.
LIST_BYTES = 8 << 20
# Read at once.
READ_BYTES = 1 << 16
# How a watch breaks by its agent's or the network's doing; all else is a defect of the root's.
BROKEN = (
    *CONNECTION_LOST_ERRORS,
    h11.RemoteProtocolError,
    msgspec.DecodeError,
    EOFError,
    trio.TooSlowError,
    RecursionError,
)


class DiscoveryWatch:
    """The watch over discovery's list at `address`.

    Several may be open at once (decisions/watch_policy.py says when): `open_scopes` holds the
    cancel scope of each, oldest first. `has_list`: a list has been taken. `needs_snapshot`: changes
    alone won't do, the next watch asks for the complete list.
    """

    def __init__(self, network, address: str, core, pool, log, random):
        """`random()` gives numbers from 0 to 1, which spread when broken watches are renewed."""
        self.network = network
        self.address = address
        self.core = core
        self.pool = pool
        self.log = log
        self.endpoints = endpoint_list.EndpointTracker()
        self.renewal = WatchPolicy(random, trio.current_time())
        self.starts = StartTimes(now_us(), network.wall())
        self.open_scopes = []
        self.changed = trio.Event()  # set for `run`, as there is another time to renew at
        self.has_list = False
        self.needs_snapshot = False

    def start(self, known: listing.Listing | None):
        """Take the list that the configuration states, if there is one."""
        if known is not None and known.targets:
            self.publish(known, WatchEventKind.CACHED)
        self.endpoints.on_agent_changed()

    def is_ready(self) -> bool:
        """Return whether the root may be sent requests, as far as its list goes."""
        return self.renewal.is_ready(trio.current_time())

    def publish(self, found: listing.Listing, kind: WatchEventKind | None = None):
        """Notify core and pool of a list. Raise EOFError if only a complete one will do."""
        if self.endpoints.is_stale_delta(found.version, found.complete):
            self.needs_snapshot = True
            raise EOFError(
                f"changes up to {found.version}, where {self.endpoints.version} is held: "
                "the whole list is asked for"
            )
        leaves = self.endpoints.apply(
            found.version, found.complete or kind is not None, listing.leaves(found)
        )
        if leaves is None:
            return  # repeated, or from before what is held
        self.has_list = True
        self.needs_snapshot = False
        if kind is None:
            kind = WatchEventKind.SNAPSHOT if found.complete else WatchEventKind.DELTA
        # First in its turn: what is withdrawn by it must be decided anew with it.
        self.core.on_watch_event(
            endpoint_list.watch_event(leaves, found.version, now_us(), self.starts, kind)
        )
        self.pool.update_leaves(leaves, kind is not WatchEventKind.DELTA)

    def move(self, address: str):
        """Watch at another address, at once, from the version held."""
        if address != self.address:
            self.address = address
            self.endpoints.on_agent_changed()
            self.renewal.on_agent_changed(trio.current_time())
            self._cancel_others(None)

    async def run(self):
        """Keep a watch open until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                self.changed = trio.Event()
                with trio.move_on_at(self.renewal.next_open_s):
                    await self.changed.wait()
                if self.renewal.next_open_s <= trio.current_time():
                    scope = trio.CancelScope()
                    self.open_scopes.append(scope)
                    self.renewal.on_opened(trio.current_time())
                    if len(self.open_scopes) > self.renewal.max_open:
                        self._on_broken("others are asked in its place")
                        self.open_scopes.pop(0).cancel()
                    nursery.start_soon(self._run_watch, scope)

    # ---- one watch ----

    async def _run_watch(self, scope):
        """Follow one watch until it breaks or is cancelled."""
        with scope:
            try:
                await self._follow(scope)
            except Exception as error:
                if not isinstance(error, BROKEN):
                    # A defect of the root's must cost this watch, not every client of this root.
                    self.log.error(
                        "unexpected error", address=self.address, error=repr(error), exc_info=True
                    )
                if scope in self.open_scopes:
                    self.open_scopes.remove(scope)
                    self._on_broken(f"{type(error).__name__}: {error}")
                    self.changed.set()

    async def _follow(self, scope):
        """Ask for the list and take what comes, until another watch goes on in its place."""
        with trio.fail_after(self.renewal.connect_timeout_s):
            stream = await self.network.open(self.address)
        try:
            http = h11.Connection(h11.CLIENT)
            lines = listing.Lines(LIST_BYTES)
            await stream.send_all(self._request(http))
            while True:
                event = http.next_event()
                if event is h11.NEED_DATA:
                    http.receive_data(await stream.receive_some(READ_BYTES))
                elif isinstance(event, h11.Response):
                    if event.status_code != 200:
                        raise EOFError(f"status {event.status_code}")
                elif isinstance(event, h11.Data):
                    for found in lines.feed(event.data):
                        if scope not in self.open_scopes:
                            return
                        self._on_line(scope, found)
                elif isinstance(event, h11.EndOfMessage | h11.ConnectionClosed):
                    raise EOFError("the watch ended")
        finally:
            shut(stream)

    def _request(self, http):
        """The bytes that ask for a watch: from the version held, if that will do."""
        target = "/api/targets?stream=1"
        if self.has_list and not self.needs_snapshot:
            target += f"&index={self.endpoints.version}"
        request = h11.Request(method="GET", target=target, headers=[("Host", self.address)])
        return http.send(request) + http.send(h11.EndOfMessage())

    def _on_line(self, scope, found):
        """Take a list, or the sign that nothing changed; the watch it came on goes on alone."""
        if found is not None:
            self.publish(found)
        self.renewal.on_message(trio.current_time())
        self.starts.record_message(now_us())
        if self.open_scopes != [scope]:
            self._cancel_others(scope)

    def _cancel_others(self, scope):
        """Cancel all watches but one."""
        for other in self.open_scopes:
            if other is not scope:
                other.cancel()
        self.open_scopes = [] if scope is None else [scope]
        self.changed.set()

    def _on_broken(self, error):
        """Note that a watch ended otherwise than by its being cancelled for another's sake."""
        self.log.warning("the watch broke", address=self.address, error=error)
        self.renewal.on_broken(trio.current_time())
        self.core.on_watch_event(WatchEvent(WatchEventKind.FAILED, self.endpoints.version, ()))
