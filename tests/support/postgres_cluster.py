"""A root and simulated leaves on loopback sockets in a separate thread, for blocking drivers."""

import contextlib
import inspect
import threading

import trio

from mothnotch import demo, logs, net
from mothnotch.daemon import Root
from mothnotch.root.endpoint_file import InMemoryEndpointFile
from mothnotch.standins.leaf import Fleet


class RunningRoot:
    """A root that runs in another thread, its leaves and the events that they recorded."""

    def __init__(self):
        self.leaf_events, self.ready = [], threading.Event()
        self.root = self.fleet = self.store = self.error = None

    @property
    def host(self):
        return self.root.addresses[0].split(":")[0]

    @property
    def port(self):
        return int(self.root.addresses[0].split(":")[1])

    def call(self, function, *args):
        """Call a function, sync or async, in the root's thread."""
        run = (
            trio.from_thread.run
            if inspect.iscoroutinefunction(function)
            else trio.from_thread.run_sync
        )
        return run(function, *args, trio_token=self.token)

    def url(self, user="me"):
        return f"postgresql://{user}@{self.host}:{self.port}/stock"


@contextlib.contextmanager
def running_root(changes=None, **options):
    """Run a root on the demo configuration with `changes`; pass `options` to the leaves."""
    state = RunningRoot()

    async def main():
        state.token = trio.lowlevel.current_trio_token()
        network = net.SocketNetwork()
        async with trio.open_nursery() as nursery:
            state.scope = nursery.cancel_scope
            state.store, leaves = demo.create_leaves(
                network, state.leaf_events.append, work_ms=options.pop("work_ms", 0.3), **options
            )
            state.fleet = Fleet(leaves, nursery)
            await state.fleet.start()
            state.roster = InMemoryEndpointFile(demo.roster_text(state.fleet))
            state.root = await nursery.start(
                Root(demo.config(**(changes or {})), network, logs.null_logger(), state.roster).run
            )
            state.ready.set()

    def thread():
        try:
            trio.run(main)
        except BaseException as error:
            state.error = error
        finally:
            state.ready.set()

    worker = threading.Thread(target=thread, daemon=True)
    worker.start()
    assert state.ready.wait(30)
    if state.error is not None:
        raise state.error
    try:
        yield state
    finally:
        state.token.run_sync_soon(state.scope.cancel)
        worker.join(10)
    if state.error is not None:
        raise state.error
