"""The process of one root of a fleet day.

It serves like `mothnotch serve`, publishes a fact every second, and has the planted defect that the
scenario names, if any.

    python -m mothnotch.badday.root CONFIG [BREACH]
"""

import os
import signal
import sys
import time

import trio

from mothnotch import logs, net
from mothnotch.audit import defects
from mothnotch.badday.fleet import publish_timestamps
from mothnotch.config import load
from mothnotch.daemon import Root, cpu_time


async def exit_with_parent(scope, parent):
    """Cancel the scope once the process that started this one has ended, for whatever reason."""
    while os.getppid() == parent:
        await trio.sleep(0.5)
    scope.cancel()


async def main(path, breach):
    """Serve until a signal arrives or the parent process ends."""
    parent = os.getppid()
    config, network = load(path), net.SocketNetwork()
    root = Root(config, network, logs.logger("json", config.log.level), cpu=cpu_time)
    defects.plant(breach, root)
    async with trio.open_nursery() as nursery:
        with trio.open_signal_receiver(signal.SIGINT, signal.SIGTERM) as signals:
            await nursery.start(root.run)
            nursery.start_soon(publish_timestamps, root, time.monotonic)
            nursery.start_soon(exit_with_parent, nursery.cancel_scope, parent)
            print(f"serving postgresql://{root.addresses[0]}", flush=True)
            async for _ in signals:
                nursery.cancel_scope.cancel()
                return


if __name__ == "__main__":
    trio.run(main, sys.argv[1], sys.argv[2] if len(sys.argv) > 2 else "")
