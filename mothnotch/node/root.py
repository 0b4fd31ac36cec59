"""Assembly of a real root on the platform, and what signals do to it."""

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
from mothnotch.node.config import Config, ConfigError, load
from mothnotch.node.connection_pool import ConnectionPool
from mothnotch.node.discovery import DiscoveryWatch
from mothnotch.node.frontend import HttpFrontend
from mothnotch.node.frontend_context import FrontendContext
from mothnotch.root.core import Core
from mothnotch.root.trace import Trace

# How often a root that stops looks whether any client is left.
STOP_POLL_S = 0.02
# For making a connection to a leaf, where the settings don't say.
CONNECT_TIMEOUT_US = 1_000_000
# Errors of listening that may pass: the address is in use, or descriptors or memory are short.
LISTEN_AGAIN = (
    errno.EADDRINUSE,
    errno.EADDRNOTAVAIL,
    errno.ENFILE,
    errno.EMFILE,
    errno.ENOBUFS,
    errno.ENOMEM,
)


class NodeRoot:
    """A root of the platform: core, pool of leaf connections, watch and HTTP frontend."""

    def __init__(self, config: Config, network, log, path: str | None = None):
        """`path`: of the configuration file, which `reload` reads again."""
        self.config = config
        self.network = network
        self.log = log
        self.path = path
        settings = config.settings
        self.share = derive_limits(
            config.limits.sockets,
            config.idle_us,
            max(query_class.deadline_us for query_class in settings.classes.values()),
        )
        self.pool = ConnectionPool(
            network,
            log,
            config.streams,
            settings.parts_per_call,
            self.share.max_leaf_connections,
            self.share.leaf_idle_timeout_s,
            (settings.limits.connect_timeout_us or CONNECT_TIMEOUT_US) / 1e6,
            settings.limits.hedging,
        )
        self.core = Core(settings, config.seed, self.pool, log, max_open=config.most_open)
        self.core.trace = Trace.from_environment()
        self.pool.report_to(self.core.violations, self.core.trace)
        self.watch = DiscoveryWatch(
            network, config.discovery, self.core, self.pool, log, Random(config.seed).random
        )
        self.frontend = HttpFrontend(
            FrontendContext(self.core, network, log, self.share, config.shards, self.watch.is_ready)
        )
        self.addresses = []
        self.reloading = trio.CancelScope()

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        """Serve until cancelled or stopped; started once it listens."""
        async with trio.open_nursery() as self.nursery:
            await self.nursery.start(self.pool.run)
            await self.nursery.start(self.core.run)
            self.watch.start(self.config.known)
            self.nursery.start_soon(self.watch.run)
            self.listeners = await self._listen()
            self.addresses = [self.network.name(listener) for listener in self.listeners]
            await self.nursery.start(self.frontend.run, self.listeners)
            self.log.info("serving", name=self.config.name, addresses=self.addresses)
            task_status.started(self)
        taken, ends, left = self.core.unanswered()
        if taken != ends:
            self.log.error("taken and not answered", taken=taken, ends=ends, queries=left)
        self.log.info("stopped", **self.counts())

    async def _listen(self):
        """Listeners at the configured address. One that is still in use, as the process before this
        one has not quite ended, or that cannot be had for want of descriptors or memory, is asked
        for again.
        """
        until_s = trio.current_time() + LISTEN_TIMEOUT_S
        while True:
            try:
                return await self.network.listen(self.config.listen)
            except OSError as error:
                if error.errno not in LISTEN_AGAIN or trio.current_time() >= until_s:
                    raise
                self.log.warning("cannot listen yet", address=self.config.listen, error=str(error))
            await trio.sleep(LISTEN_RETRY_S)

    def counts(self) -> dict:
        """Return the counters of all parts, as the last log line shows them."""
        connections = self.frontend.connections
        return {
            **self.core.counts,
            **self.pool.counts,
            **self.frontend.context.counts,
            "open_clients": len(connections.clients),
            "open_links": self.pool.open_count,
            "violations": self.core.violations.counts,
            "clients_closed": _by_name(connections.closed),
            "leaf_connections_closed": _by_name(self.pool.close_counts),
            "given_up_for": self.core.reason_counts,
        }

    async def reload(self):
        """Read the configuration again, and follow its discovery.

        A file that is wrong keeps the old one; it may have been caught half written, or the read
        may have failed for a moment, so that it is read again for a while.
        """
        self.reloading.cancel()
        self.reloading = trio.CancelScope()
        with self.reloading:
            found = await self._load()
            if found is not None:
                self.log.info("new configuration", discovery=found.discovery)
                self.watch.move(found.discovery)

    async def _load(self):
        """The configuration, or None if it stays wrong for all that time."""
        until_s = trio.current_time() + RELOAD_TIMEOUT_S
        logged = False
        while True:
            try:
                return load(self.path)
            except ConfigError as error:
                if not logged:
                    self.log.error(
                        "the new configuration is wrong; the old one stays", error=str(error)
                    )
                logged = True
            if trio.current_time() >= until_s:
                return None
            await trio.sleep(RELOAD_RETRY_S)

    async def stop(self):
        """Go on accepting for as long as clients may still come, then finish what was taken, and
        end.
        """
        if self.frontend.context.stopping:
            return
        began_s = trio.current_time()
        answer_by_s = began_s + self.share.shutdown_answer_s
        self.frontend.begin_shutdown(answer_by_s)
        await trio.sleep_until(began_s + self.share.shutdown_accept_s)
        await self.frontend.stop(self.listeners)
        with trio.move_on_at(answer_by_s + EXIT_DELAY_S):
            # At least once: a connection that was accepted just now is not among the clients before
            # its task has begun.
            await trio.sleep(STOP_POLL_S)
            while self.frontend.connections.clients:
                await trio.sleep(STOP_POLL_S)
        self.nursery.cancel_scope.cancel()

    async def signals(self, received):
        """Follow SIGHUP, SIGTERM and SIGINT, as `received` gives them, until it ends."""
        async for number in received:
            if number == signal.SIGHUP:
                self.nursery.start_soon(self.reload)
            else:
                self.log.info("stopping", signal=number)
                self.nursery.start_soon(self.stop)


def _by_name(closed):
    """The reasons that occurred, by name."""
    return {reason.name: count for reason, count in closed.items() if count}
