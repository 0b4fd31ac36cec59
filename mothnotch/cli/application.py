"""The application that the commands are registered with, and functions that they share."""

import signal
import sys
from collections.abc import Iterable
from pathlib import Path
from typing import NoReturn

import cyclopts
import trio

from mothnotch.config import Config, ConfigError, load, load_roster
from mothnotch.daemon import Root

# Exit status for invalid input; status 1 means that the command ran and found a fault.
EXIT_BAD_INPUT = 2

app = cyclopts.App(
    name="mothnotch",
    help="A root for sharded tables: SQL over the PostgreSQL protocol, one final answer "
    "to every query.",
    version_flags=["--version"],
)


async def cancel_at_signal(scope: trio.CancelScope) -> None:
    """Cancel the scope on SIGINT or SIGTERM."""
    with trio.open_signal_receiver(signal.SIGINT, signal.SIGTERM) as signals:
        async for _ in signals:
            scope.cancel()
            return


async def stop_at_signal(root: Root, scope: trio.CancelScope) -> None:
    """Shut a root down at the first SIGINT or SIGTERM, then cancel the scope; the second signal
    cancels it at once.
    """

    async def stop():
        await root.stop()
        scope.cancel()

    is_stopping = False
    with trio.open_signal_receiver(signal.SIGINT, signal.SIGTERM) as signals:
        async with trio.open_nursery() as nursery:
            async for _ in signals:
                if is_stopping:
                    scope.cancel()
                is_stopping = True
                nursery.start_soon(stop)


def exit_with_errors(errors: Iterable[str]) -> NoReturn:
    """Print each error on a line of standard error, and exit with status 2."""
    for line in errors:
        print(line, file=sys.stderr)
    sys.exit(EXIT_BAD_INPUT)


def load_or_exit(path: Path) -> Config:
    """Return the validated configuration; exit with status 2 if it or its roster is invalid."""
    try:
        config = load(path)
    except ConfigError as error:
        exit_with_errors(error.errors)
    if config.consul is None:
        _check_roster(config, path)
    return config


def _check_roster(config: Config, path: Path) -> None:
    try:
        text = Path(config.roster).read_text(encoding="utf-8")
        load_roster(text, config.cells, config.roster)
    except OSError as error:
        exit_with_errors(
            [
                f"{config.roster}: cannot be read: {error.strerror}; "
                f"set the path of the roster in {path}: roster"
            ]
        )
    except ConfigError as error:
        exit_with_errors(error.errors)
