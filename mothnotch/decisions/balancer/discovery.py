"""The servers as known from the endpoint list, and the backoff of requests to discovery."""

import math

from mothnotch.decisions.balancer.server_health import Server
from mothnotch.decisions.balancer.slow_start import SlowStartCapacity
from mothnotch.decisions.balancer.statistics import FleetMeans, RunningShare
from mothnotch.decisions.balancer.turn import Turn
from mothnotch.decisions.interface import (
    Endpoint,
    Settings,
    Subscribe,
    WatchEvent,
    WatchEventKind,
)

# Shortest and longest backoff before the next request to discovery, which may be overloaded.
BACKOFF_MIN_US = 500_000
BACKOFF_MAX_US = 8_000_000

# Servers that are no longer listed are remembered, as they may come back. If server names are never
# reused, memory would grow without this bound.
UNLISTED_SERVERS_MAX = 64


class Discovery:
    """Owns the known servers and the mapping from cells to the servers that are up."""

    def __init__(self, turn: Turn, settings: Settings, rng, fleet: FleetMeans):
        """Initialize without servers."""
        self.servers = {}  # id -> Server, in the order in which they were first listed
        self._turn = turn
        self._settings = settings
        self._rng = rng
        self._fleet = fleet
        self._zone_failures = {}  # name -> failure rate of the zone
        self._servers_by_cell = {}  # cell -> servers that are up in it
        self._backoff_us = 0

    def on_watch_event(self, event: WatchEvent) -> None:
        """Apply an update of the endpoint list; after a failure, subscribe again with a backoff."""
        if event.kind is WatchEventKind.FAILED:
            self._subscribe_later()
            return
        self._backoff_us = 0
        if event.kind is WatchEventKind.CACHED and self._settings.must_subscribe:
            self._turn.emit(Subscribe())
        for endpoint in event.entries:
            self._update(endpoint)
        # A whole list: a server that is not in it has been removed.
        if event.kind is not WatchEventKind.DELTA:
            listed = {endpoint.server for endpoint in event.entries}
            for server in self.servers.values():
                server.up = server.up and server.id in listed
        self._forget_unlisted()
        self._servers_by_cell = {}
        for server in self.servers.values():
            if server.up:
                self._servers_by_cell.setdefault(server.cell, []).append(server)

    def replicas(self, shard: int) -> list[Server]:
        """Return the servers that hold the shard, in no significant order."""
        cell_count = self._settings.cell_count
        cells_per_shard = min(self._settings.cells_per_shard, cell_count)
        return [
            server
            for offset in range(cells_per_shard)
            for server in self._servers_by_cell.get((shard + offset) % cell_count, ())
        ]

    def _subscribe_later(self):
        # Exponential backoff with jitter: without it all roots would call an overloaded discovery
        # service at the same time.
        self._backoff_us = min(BACKOFF_MAX_US, max(BACKOFF_MIN_US, 2 * self._backoff_us))
        delay_us = self._backoff_us * self._rng.uniform(0.5, 1)
        self._turn.call_later(delay_us, self._turn.emit, Subscribe())

    def _update(self, endpoint: Endpoint):
        server = self.servers.get(endpoint.server)
        if server is None:
            slow_start = SlowStartCapacity(self._settings.rules, self._settings.root_count)
            server = Server(
                endpoint.server, self._fleet, slow_start, self._turn.now_us, self._settings.tick_us
            )
            self.servers[endpoint.server] = server
        server.cell = endpoint.cell
        server.up = endpoint.state == "up"
        server.zone_failures = self._zone_failures.setdefault(endpoint.zone, RunningShare())
        server.weight = endpoint.weight if 0 < endpoint.weight < math.inf else 1.0
        if endpoint.started_us > server.slow_start.started_us:
            server.reset(self._turn.now_us)
            server.last_sent_us = 0
            server.slow_start.restart(endpoint.started_us, self._rng.random())

    def _forget_unlisted(self):
        unlisted = [
            server for server in self.servers.values() if not server.up and not server.in_flight
        ]
        for server in unlisted[:-UNLISTED_SERVERS_MAX]:
            del self.servers[server.id]
