"""`python -m mothnotch.node`: run one root on the platform, in the foreground."""

import ctypes.util
import gc
import os
import signal
import sys

# Signals received before a receiver is installed. They are handled from the start, so that a signal
# during the imports does not terminate the process.
EARLY_SIGNALS = []
for number in (signal.SIGHUP, signal.SIGTERM):
    signal.signal(number, lambda received, _frame: EARLY_SIGNALS.append(received))

# While it is imported, trio looks up the C library that names threads, and ctypes does that by
# running /sbin/ldconfig. The platform forbids running other programs, and it would cost a fork at
# each start. Without the library, threads stay unnamed; nothing else is affected.
find_library = ctypes.util.find_library
ctypes.util.find_library = lambda name: None
import trio  # noqa: E402

ctypes.util.find_library = find_library

from mothnotch.net import SocketNetwork  # noqa: E402
from mothnotch.net.line_output import LineStream, standard_error  # noqa: E402
from mothnotch.node.config import ConfigError, load  # noqa: E402
from mothnotch.node.log import Log  # noqa: E402
from mothnotch.node.root import NodeRoot  # noqa: E402


async def serve(config, path: str, log: Log):
    """Run a root until SIGTERM or SIGINT stops it."""
    if signal.SIGTERM in EARLY_SIGNALS:
        log.info("stopping", signal=signal.SIGTERM)  # nothing to shut down: it does not listen yet
        return
    with trio.open_signal_receiver(signal.SIGHUP, signal.SIGTERM, signal.SIGINT) as received:
        async with trio.open_nursery() as nursery:
            root = NodeRoot(config, SocketNetwork(), log, path)

            async def run(task_status):
                await root.run(task_status)
                nursery.cancel_scope.cancel()

            await nursery.start(run)
            for number in EARLY_SIGNALS:
                os.kill(os.getpid(), number)
            gc.collect()
            gc.freeze()  # exclude the long-lived startup objects from later collections
            await root.handle_signals(received)


def main() -> int:
    """Run a root and return the exit status: 2 for an invalid configuration, 1 if the system
    refuses something that the root needs.
    """
    sys.stderr = LineStream(standard_error())  # printing never blocks on a reader
    path = os.environ.get("BALANCER_CONFIG", "")
    log = Log()
    try:
        if not path:
            raise ConfigError("BALANCER_CONFIG is not set; it names the configuration file")
        config = load(path)
    except ConfigError as error:
        print(f"mothnotch: {error}", file=sys.stderr)
        return 2
    status = 0
    try:
        trio.run(serve, config, path, log)
    except* OSError as group:
        print(f"mothnotch: {group.exceptions}", file=sys.stderr)
        status = 1
    return status


if __name__ == "__main__":
    sys.exit(main())
