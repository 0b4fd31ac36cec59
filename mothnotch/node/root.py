"""Assembly of a platform root, and its handling of signals."""

import errno
import signal
from random import Random

import trio

from mothnotch.decisions.resource_limits import (
    EXIT_DELAY_S,
    LISTEN_RETRY_S,
    LISTEN_TIMEOUT_S,
    derive_limits,
)
from mothnotch.decisions.watch_policy import RELOAD_RETRY_S, RELOAD_TIMEOUT_S
from mothnotch.net import LoopMonitor
from mothnotch.node.config import Config, ConfigError, load
from mothnotch.node.connection_pool import ConnectionPool
from mothnotch.node.discovery import DiscoveryWatch
from mothnotch.node.frontend import HttpFrontend
from mothnotch.node.frontend_context import FrontendContext
from mothnotch.node.memory_budgets import MemoryBudgets
from mothnotch.node.memory_report import MemoryReport
from mothnotch.root.core import Core
from mothnotch.root.trace import Trace

# Interval at which a stopping root checks whether any client is left.
STOP_POLL_S = 0.02
# Default timeout for connecting to a leaf, where the settings do not state one.
DEFAULT_CONNECT_TIMEOUT_US = 1_000_000
# Transient errors of listening: the address is in use, or descriptors or memory are short.
TRANSIENT_LISTEN_ERRORS = (
    errno.EADDRINUSE,
    errno.EADDRNOTAVAIL,
    errno.ENFILE,
    errno.EMFILE,
    errno.ENOBUFS,
    errno.ENOMEM,
)


class NodeRoot:
    """A platform root: core, pool of leaf connections, discovery watch and HTTP frontend."""

    def __init__(self, config: Config, network, log, path: str | None = None):
        """`path`: the configuration file that `reload` reads again."""
        self.config = config
        self.network = network
        self.log = log
        self.path = path
        self.resource_limits = _limits_of(config)
        self.memory = MemoryBudgets.from_limits(self.resource_limits)
        self.loop_monitor = LoopMonitor(log.warning)
        self.pool = self._create_pool()
        self.core = self._create_core()
        self.pool.report_to(self.core.violations, self.core.trace, self.loop_monitor)
        self.watch = DiscoveryWatch(
            network,
            config.discovery,
            self.core,
            self.pool,
            log,
            Random(config.seed).random,
            self.resource_limits.max_list_bytes,
        )
        self.frontend = HttpFrontend(
            FrontendContext(
                self.core,
                network,
                log,
                self.resource_limits,
                config.shard_count,
                self.watch.is_ready,
                self.loop_monitor,
                self.memory,
            )
        )
        self.pool.context.on_answer_too_large = self.frontend.connections.on_answer_too_large
        self.memory_report = MemoryReport(
            config.limits.memory_mb, self.memory, self._open_counts, log
        )
        self.addresses = []
        self.reload_scope = trio.CancelScope()

    def _create_pool(self):
        settings = self.config.settings
        return ConnectionPool(
            self.network,
            self.log,
            self.config.streams,
            settings.parts_per_call,
            self.resource_limits.max_leaf_connections,
            self.resource_limits.leaf_idle_timeout_s,
            (settings.limits.connect_timeout_us or DEFAULT_CONNECT_TIMEOUT_US) / 1e6,
            settings.limits.hedging,
            self.memory,
        )

    def _create_core(self):
        core = Core(
            self.config.settings,
            self.config.seed,
            self.pool,
            self.log,
            max_open=min(self.config.max_open, self.resource_limits.max_open_items),
            loop_monitor=self.loop_monitor,
        )
        core.trace = Trace.from_environment()
        return core

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        """Serve until cancelled or stopped; `task_status` is started once the root listens."""
        self.network.report_hold_ups(self.loop_monitor.on_held_up)
        async with trio.open_nursery() as self.nursery:
            await self.nursery.start(self.pool.run)
            await self.nursery.start(self.core.run)
            self.watch.start(self.config.initial_listing)
            self.config.initial_listing = None  # the watch holds what is needed of it
            self.nursery.start_soon(self.watch.run)
            self.nursery.start_soon(self.memory_report.run)
            self.listeners = await self._listen()
            self.addresses = [self.network.bound_address(listener) for listener in self.listeners]
            await self.nursery.start(self.frontend.run, self.listeners)
            self.log.info("serving", name=self.config.name, addresses=self.addresses)
            task_status.started(self)
        accepted, finished, open_ids = self.core.unanswered()
        if accepted != finished:
            self.log.error(
                "accepted queries not answered",
                taken=accepted,
                ends=finished,
                queries=open_ids,
                left_s=self.core.time_left_s(),
            )
        self.log.info("stopped", **self.counts(), **self.loop_monitor.summary())

    async def _listen(self):
        """Return listeners at the configured address. Retry while the previous process still uses
        the address, and while descriptors or memory are short.
        """
        retry_until_s = trio.current_time() + LISTEN_TIMEOUT_S
        while True:
            try:
                return await self.network.listen(self.config.listen)
            except OSError as error:
                if (
                    error.errno not in TRANSIENT_LISTEN_ERRORS
                    or trio.current_time() >= retry_until_s
                ):
                    raise
                self.log.warning(
                    "cannot listen; retrying", address=self.config.listen, error=str(error)
                )
            await trio.sleep(LISTEN_RETRY_S)

    def counts(self) -> dict:
        """Return the counters of all components, which the last log line contains."""
        connections = self.frontend.connections
        return {
            **self.core.counts,
            **self.pool.counts,
            **self.frontend.context.counts,
            **self._open_counts(),
            "most_input_bytes": connections.input_budget.most_bytes,
            **self.memory_report.summary(),
            "violations": self.core.violations.counts,
            "clients_closed": _by_name(connections.closed),
            "leaf_connections_closed": _by_name(self.pool.close_counts),
            "given_up_for": self.core.reason_counts,
        }

    def _open_counts(self) -> dict:
        """Return the numbers of what is open."""
        return {
            "open_clients": len(self.frontend.connections.clients),
            "open_queries": len(self.core.queries),
            "open_parts": len(self.core.parts),
            "open_links": self.pool.open_count,
        }

    async def reload(self):
        """Read the configuration again, and use its discovery address. Nothing else is changed.

        If the file is invalid, the current configuration stays in use. It may have been read while
        being written, or the read may have failed for a moment, so the read is retried for a while.
        """
        self.reload_scope.cancel()
        self.reload_scope = trio.CancelScope()
        with self.reload_scope:
            config = await self._load()
            if config is not None:
                self.log.info("configuration reloaded", discovery=config.discovery)
                self.watch.change_address(config.discovery)

    async def _load(self):
        """Return the configuration, or None if it stays invalid until the timeout."""
        retry_until_s = trio.current_time() + RELOAD_TIMEOUT_S
        logged = False
        while True:
            try:
                return load(self.path)
            except ConfigError as error:
                if not logged:
                    self.log.error(
                        "new configuration is invalid; keeping the current one", error=str(error)
                    )
                logged = True
            if trio.current_time() >= retry_until_s:
                return None
            await trio.sleep(RELOAD_RETRY_S)

    async def stop(self):
        """Shut down gracefully: accept connections for as long as clients may still be sent here,
        then answer all accepted requests, and end.
        """
        if self.frontend.context.stopping:
            return
        began_s = trio.current_time()
        answer_by_s = began_s + self.resource_limits.shutdown_answer_s
        self.frontend.begin_shutdown(answer_by_s)
        await trio.sleep_until(began_s + self.resource_limits.shutdown_accept_s)
        await self.frontend.stop(self.listeners)
        # Sleep at least once: a connection that was just accepted is not among the clients before
        # its task runs.
        await trio.sleep(STOP_POLL_S)
        await self._wait_for_clients(answer_by_s)
        self.frontend.end_open_requests()
        # The delay counts from now: the process may have been held up past `answer_by_s`.
        await self._wait_for_clients(trio.current_time() + EXIT_DELAY_S)
        self.frontend.answer_received()
        self.nursery.cancel_scope.cancel()

    async def _wait_for_clients(self, until_s):
        """Wait until all clients have disconnected, but not longer than until `until_s`."""
        with trio.move_on_at(until_s):
            while self.frontend.connections.clients:
                await trio.sleep(STOP_POLL_S)

    async def handle_signals(self, received):
        """Handle SIGHUP, SIGTERM and SIGINT, as `received` yields them, until it ends."""
        async for number in received:
            if number == signal.SIGHUP:
                self.nursery.start_soon(self.reload)
            else:
                self.log.info("stopping", signal=number)
                self.nursery.start_soon(self.stop)


def _limits_of(config):
    """Return the limits that a configuration allows."""
    listed = config.initial_listing
    return derive_limits(
        config.limits.sockets,
        config.limits.memory_mb,
        config.leaf_idle_close_us,
        max(query_class.deadline_us for query_class in config.settings.classes.values()),
        len(listed.targets) if listed else 0,
    )


def _by_name(closed):
    """Return the counts of the reasons that occurred, by name."""
    return {reason.name: count for reason, count in closed.items() if count}
