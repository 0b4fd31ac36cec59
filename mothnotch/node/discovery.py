"""Follow discovery's watch. Core and pool are notified of a list as soon as it is received, before
anything else is sent.
"""

from time import perf_counter

import h11
import msgspec
import trio

from mothnotch.decisions import endpoint_list
from mothnotch.decisions.client_input import INPUT_PASS_S
from mothnotch.decisions.interface import WatchEvent, WatchEventKind
from mothnotch.decisions.start_times import StartTimes
from mothnotch.decisions.watch_policy import WatchPolicy
from mothnotch.net import CONNECTION_LOST_ERRORS, TimeSlice, close_now
from mothnotch.node import listing
from mothnotch.root.core import now_us

# Maximum size of one read.
READ_BYTES = 1 << 16
# Maximum number of leaf names in one log line.
MAX_LOGGED_LEAVES = 20
# Errors that the agent or the network causes; any other error of a watch is a defect of the root.
WATCH_ERRORS = (
    *CONNECTION_LOST_ERRORS,
    h11.RemoteProtocolError,
    msgspec.DecodeError,
    EOFError,
    trio.TooSlowError,
    RecursionError,
)


class DiscoveryWatch:
    """The watch over discovery's list at `address`.

    Several watches may be open at once, as decided by `policy`: `open_scopes` holds the cancel
    scope of each, oldest first. `has_list`: a list has been applied. `needs_snapshot`: a delta
    could not be applied, so the next watch requests the complete list.
    """

    def __init__(self, network, address: str, core, pool, log, random, max_list_bytes: int):
        """`random()` returns numbers from 0 to 1, as jitter for the delay before reopening.

        `max_list_bytes`: of a list; an agent that never ends one must not exhaust the memory.
        """
        self.network = network
        self.address = address
        self.core = core
        self.pool = pool
        self.log = log
        self.max_list_bytes = max_list_bytes
        self.endpoints = endpoint_list.EndpointTracker()
        self.policy = WatchPolicy(random, trio.current_time())
        self.starts = StartTimes(now_us(), network.wall_time())
        self.open_scopes = []
        # Wakes `run` when the time of the next watch has changed.
        self.schedule_changed = trio.Event()
        self.has_list = False
        self.needs_snapshot = False

    def start(self, initial: listing.Listing | None):
        """Apply the initial listing of the configuration, if there is one."""
        if initial is not None and initial.targets:
            self.publish(initial, WatchEventKind.CACHED)
        self.endpoints.on_agent_changed()

    def is_ready(self) -> bool:
        """Return whether the root may receive requests, as far as discovery is concerned."""
        return self.policy.is_ready(trio.current_time())

    def publish(self, update: listing.Listing, kind: WatchEventKind | None = None):
        """Notify core and pool of a list. Raise EOFError if a complete list is needed instead."""
        if self.endpoints.is_stale_delta(update.version, update.complete):
            self.needs_snapshot = True
            raise EOFError(
                f"delta to version {update.version}, but {self.endpoints.version} is held: "
                "a complete list is requested"
            )
        leaves = self.endpoints.apply(
            update.version, update.complete or kind is not None, listing.leaves(update)
        )
        if leaves is None:
            return  # not newer than the list that is held
        self.has_list = True
        self.needs_snapshot = False
        if kind is None:
            kind = WatchEventKind.SNAPSHOT if update.complete else WatchEventKind.DELTA
        # Before the pool's update: parts that it withdraws must be reassigned by the new list.
        self.core.on_watch_event(
            endpoint_list.watch_event(leaves, update.version, now_us(), self.starts, kind)
        )
        self.pool.update_leaves(leaves, kind is not WatchEventKind.DELTA)
        self._log_applied(kind, leaves)

    def _log_applied(self, kind, leaves):
        not_up = [leaf.name for leaf in leaves if leaf.state != "up"]
        self.log.info(
            "endpoint list applied",
            address=self.address,
            kind=kind.name,
            version=self.endpoints.version,
            entries=len(leaves),
            up=len(self.endpoints.up),
            not_up=not_up[:MAX_LOGGED_LEAVES],
        )
        self.core.trace.record("endpoint list", version=self.endpoints.version, applied=kind.name)

    def change_address(self, address: str):
        """Watch another agent, at once, starting from the version that is held."""
        if address != self.address:
            self.address = address
            self.endpoints.on_agent_changed()
            self.policy.on_agent_changed(trio.current_time())
            self._cancel_others(None)

    async def run(self):
        """Keep a watch open until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._log_timeout)
            while True:
                self.schedule_changed = trio.Event()
                with trio.move_on_at(self.policy.next_open_s):
                    await self.schedule_changed.wait()
                if self.policy.next_open_s <= trio.current_time():
                    scope = trio.CancelScope()
                    self.open_scopes.append(scope)
                    self.policy.on_opened(trio.current_time())
                    if len(self.open_scopes) > self.policy.max_open:
                        self._on_broken("replaced by newer watches")
                        self.open_scopes.pop(0).cancel()
                    nursery.start_soon(self._run_watch, scope)

    async def _log_timeout(self):
        """Log if the root becomes ready without a message from its agent."""
        await trio.sleep_until(self.policy.ready_at_s)
        if not self.policy.has_received:
            self.log.warning(
                "agent sent no list in time; the configured list is used",
                address=self.address,
                version=self.endpoints.version,
            )

    # ---- one watch ----

    async def _run_watch(self, scope):
        """Follow one watch until it fails or is cancelled."""
        with scope:
            try:
                await self._follow(scope)
            except Exception as error:
                if not isinstance(error, WATCH_ERRORS):
                    # A defect must fail this watch only, not the whole root.
                    self.log.error(
                        "unexpected error", address=self.address, error=repr(error), exc_info=True
                    )
                if scope in self.open_scopes:
                    self.open_scopes.remove(scope)
                    self._on_broken(f"{type(error).__name__}: {error}")
                    self.schedule_changed.set()

    async def _follow(self, scope):
        """Request the list and process what is received, until another watch replaces this one."""
        with trio.fail_after(self.policy.connect_timeout_s):
            stream = await self.network.open(self.address)
        try:
            http = h11.Connection(h11.CLIENT)
            reader = listing.ListingReader(self.max_list_bytes)
            time_slice = TimeSlice(INPUT_PASS_S)
            await stream.send_all(self._request(http))
            self.log.info(
                "discovery watch opened", address=self.address, version=self._held_version()
            )
            while True:
                event = http.next_event()
                await time_slice.yield_if_over()
                if event is h11.NEED_DATA:
                    http.receive_data(await stream.receive_some(READ_BYTES))
                    time_slice.restart()
                elif isinstance(event, h11.Response):
                    if event.status_code != 200:
                        raise EOFError(f"status {event.status_code}")
                elif isinstance(event, h11.Data):
                    started_s = perf_counter()
                    for update in reader.feed(event.data):
                        if scope not in self.open_scopes:
                            return
                        self._on_update(scope, update)
                    self.core.loop_monitor.record("discovery input", started_s)
                elif isinstance(event, h11.EndOfMessage | h11.ConnectionClosed):
                    raise EOFError("the agent ended the response")
        finally:
            close_now(stream)

    def _request(self, http):
        """Return the request for a watch: from the held version on, unless a snapshot is needed."""
        target = "/api/targets?stream=1"
        version = self._held_version()
        if version is not None:
            target += f"&index={version}"
        request = h11.Request(method="GET", target=target, headers=[("Host", self.address)])
        return http.send(request) + http.send(h11.EndOfMessage())

    def _held_version(self):
        """Return the version from which on changes are requested; None: a snapshot is needed."""
        return self.endpoints.version if self.has_list and not self.needs_snapshot else None

    def _on_update(self, scope, update):
        """Process a list, or a heartbeat (None), and cancel all other watches."""
        if update is not None:
            self.publish(update)
        if not self.policy.has_received:
            self.log.info(
                "first message from discovery",
                address=self.address,
                version=self.endpoints.version,
                after_s=round(trio.current_time() - self.policy.started_s, 3),
            )
        self.policy.on_message(trio.current_time())
        self.starts.record_message(now_us())
        if self.open_scopes != [scope]:
            self._cancel_others(scope)

    def _cancel_others(self, scope):
        """Cancel all watches except `scope`'s."""
        for other in self.open_scopes:
            if other is not scope:
                other.cancel()
        self.open_scopes = [] if scope is None else [scope]
        self.schedule_changed.set()

    def _on_broken(self, error):
        """Record that a watch failed, rather than being cancelled in favour of another."""
        self.log.warning("discovery watch failed", address=self.address, error=error)
        self.policy.on_broken(trio.current_time())
        self.core.on_watch_event(WatchEvent(WatchEventKind.FAILED, self.endpoints.version, ()))
