"""Run stand-in leaves in a separate process."""

import contextlib
import os
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path

# Leaves that have not exited this long after SIGTERM are killed, so that no command hangs.
END_TIMEOUT_S = 3


@contextlib.contextmanager
def leaf_processes(folder: str | Path, **options) -> Iterator[tuple[Path, subprocess.Popen]]:
    """Run stand-in leaves during the block, with options of the command `leaves`.

    Yield the path of the roster file, which exists once the leaves serve, and their process.
    """
    roster = Path(folder) / f"roster{options.get('only', '')}.json5"
    command = [sys.executable, "-m", "mothnotch", "leaves"]
    command += ["--roster", str(roster)]
    command += ["--parent", str(os.getpid())]
    for name, value in options.items():
        command += [f"--{name.replace('_', '-')}", str(value)]
    process = subprocess.Popen(command, stdin=subprocess.DEVNULL, start_new_session=True)
    try:
        yield roster, process
    finally:
        process.terminate()
        try:
            process.wait(END_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()
