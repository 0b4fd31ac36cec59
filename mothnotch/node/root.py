"""Assembly of a real root on the platform, and what signals do to it."""
import signal
from random import Random

import trio

from mothnotch.decisions.shares import shares
from mothnotch.node.calls import Calls
from mothnotch.node.config import ConfigError, load
from mothnotch.node.discovery import Watch
from mothnotch.node.front import Front
from mothnotch.root.core import Core

DRAIN_S = 30.0                   # open queries end by their own time long before


class NodeRoot:
    def __init__(self, config, network, log, path=None):
        self.config, self.network, self.log, self.path = config, network, log, path
        s = config.settings
        self.share = shares(config.limits.sockets, config.idle_us)
        self.calls = Calls(network, log, config.streams, s.parts_per_call, self.share.leaf_connections,
                           self.share.leaf_idle_s, (s.limits.connect_timeout_us or 1_000_000) / 1e6)
        self.core = Core(s, config.seed, self.calls, log, most_open=config.most_open)
        self.watch = Watch(network, config.discovery, self.core, self.calls, log, Random(config.seed).random)
        self.front = Front(self.core, config, network, log, self.share, lambda: self.watch.listed)
        self.addresses = []

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        """Serves until cancelled or stopped; started once it listens."""
        async with trio.open_nursery() as self.nursery:
            await self.nursery.start(self.calls.run)
            await self.nursery.start(self.core.run)
            self.watch.start(self.config.known)
            self.nursery.start_soon(self.watch.run)
            self.listeners = await self.network.listen(self.config.listen)
            self.addresses = [self.network.name(listener) for listener in self.listeners]
            await self.nursery.start(self.front.run, self.listeners)
            self.log.info("serving", name=self.config.name, addresses=self.addresses)
            task_status.started(self)
        self.log.info("stopped", **self.counts())

    def counts(self):
        return {**self.core.counts, **self.calls.counts, **self.front.counts, "open_clients": len(self.front.clients),
                "open_links": self.calls.open}

    def reload(self):
        """Reads the configuration again; a file that is wrong keeps the old one."""
        try:
            found = load(self.path)
        except ConfigError as error:
            self.log.error("the new configuration is wrong; the old one stays", error=str(error))
            return
        self.log.info("new configuration", discovery=found.discovery)
        self.watch.moved(found.discovery)

    async def stop(self):
        """Goes on accepting for as long as clients may still come, then finishes what was taken, and ends."""
        self.front.stopping = True
        await trio.sleep(self.share.stopping_s)
        self.front.stop()
        for listener in self.listeners:
            await listener.aclose()
        with trio.move_on_after(DRAIN_S):
            while self.front.clients:
                await trio.sleep(0.02)
        self.nursery.cancel_scope.cancel()

    async def signals(self, received):
        """Follows SIGHUP and SIGTERM, as `received` gives them."""
        async for number in received:
            if number == signal.SIGHUP:
                self.reload()
            else:
                self.log.info("stopping", signal=number)
                self.nursery.start_soon(self.stop)
