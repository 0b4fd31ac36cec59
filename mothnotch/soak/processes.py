"""The processes that a soak starts: helpers and roots."""

import contextlib
import json
import os
import pathlib
import resource
import signal
import socket
import subprocess
import sys
from dataclasses import dataclass

from mothnotch.soak import shim

HOST = "127.0.0.1"
REPOSITORY = pathlib.Path(__file__).resolve().parent.parent.parent
HARNESS_DESCRIPTORS = 4  # file descriptors that the trace and the fault injection add to a root


def free_ports(count: int) -> list[int]:
    """Return `count` free loopback ports."""
    sockets = [socket.socket() for _ in range(count)]
    for sock in sockets:
        sock.bind((HOST, 0))
    numbers = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return numbers


@dataclass(frozen=True)
class ProcessMemory:
    """The memory of a process in KiB.

    `own_kb`: what it has written, memory in files included. `resident_kb`: that and the mapped
    files, which other processes may share. Both are 0 once it has ended.
    """

    own_kb: int = 0
    resident_kb: int = 0

    def most(self, other: "ProcessMemory") -> "ProcessMemory":
        """Return the maxima of both."""
        return ProcessMemory(
            max(self.own_kb, other.own_kb), max(self.resident_kb, other.resident_kb)
        )


def process_memory(pid: int) -> ProcessMemory:
    """Return the memory of a process."""
    try:
        lines = pathlib.Path(f"/proc/{pid}/status").read_text().splitlines()
    except OSError:
        return ProcessMemory()
    sizes = {name: value for name, _, value in (line.partition(":") for line in lines)}
    if "VmRSS" not in sizes:
        return ProcessMemory()
    own_kb = sum(int(sizes[name].split()[0]) for name in ("RssAnon", "RssShmem"))
    return ProcessMemory(own_kb, int(sizes["VmRSS"].split()[0]))


def start_bad_clients(kind: str, address: str, count: int, seconds: float, log=None):
    """Start bad clients, which end by themselves; `log`: a file for their standard error."""
    return subprocess.Popen(
        [
            sys.executable,
            "-m",
            "mothnotch.soak.bad_clients",
            kind,
            address,
            str(count),
            str(seconds),
        ],
        cwd=REPOSITORY,
        stdout=subprocess.DEVNULL if log else subprocess.PIPE,
        stderr=log,
        text=True,
    )


class Helper:
    """A process of the soak that takes commands as JSON lines on standard input."""

    def __init__(self, module: str, options: dict, log):
        """Start a module of this package; `log` is an open file for its standard error."""
        self.process = subprocess.Popen(
            [sys.executable, "-m", f"mothnotch.soak.{module}", json.dumps(options)],
            cwd=REPOSITORY,
            stdin=subprocess.PIPE,
            stderr=log,
        )

    def send_command(self, **command):
        """Send the process a command, if it still runs."""
        with contextlib.suppress(OSError):
            self.process.stdin.write((json.dumps(command) + "\n").encode())
            self.process.stdin.flush()

    def close_stdin(self):
        """Close its standard input, so that the process ends."""
        with contextlib.suppress(OSError):
            self.process.stdin.close()

    def kill(self):
        """Kill the process and wait for its end."""
        self.process.kill()
        self.process.wait()


class RootProcess:
    """One process of a root, with its trace and its log; a restart makes a new one."""

    def __init__(self, soak, number: int, incarnation: int):
        """Start root `number` of the soak; `incarnation` counts its earlier processes."""
        self.soak, self.number, self.incarnation, self.killed = soak, number, incarnation, False
        folder = soak.folder
        self.trace, self.log = (
            folder / f"root{number}.{incarnation}.trace",
            folder / f"root{number}.{incarnation}.log",
        )
        env = {
            **os.environ,
            "BALANCER_CONFIG": str(soak.config_path(number)),
            "PYTHONPATH": str(folder / "shim"),
            shim.CONTROL_VARIABLE: str(soak.control_path(number)),
            "MOTHNOTCH_TRACE": str(self.trace),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        with open(self.log, "wb") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "mothnotch.node"], cwd=REPOSITORY, env=env, stderr=log
            )
        limit = soak.deployment.sockets + HARNESS_DESCRIPTORS
        resource.prlimit(self.process.pid, resource.RLIMIT_NOFILE, (limit, limit))

    def memory(self) -> ProcessMemory:
        """Return its memory."""
        return process_memory(self.process.pid)

    def catches_signals(self) -> bool:
        """Return whether the program has installed its handlers of SIGHUP and SIGTERM."""
        try:
            status = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return False
        caught = int(status.partition("SigCgt:")[2].split()[0], 16)
        return all(caught >> (number - 1) & 1 for number in (signal.SIGHUP, signal.SIGTERM))

    def read_events(self):
        """Yield the records of its trace and the lines of its log, as events of the soak."""
        if self.trace.exists():
            for line in self.trace.read_bytes().split(b"\n")[:-1]:
                event = json.loads(line)
                yield {
                    **event,
                    "kind": f"root {event['kind']}",
                    "root": self.number,
                    "life": self.incarnation,
                    "who": "root",
                }
        for line in self.log.read_text(errors="replace").splitlines():
            try:
                log_line = json.loads(line)
            except ValueError:
                log_line = {"event": "unexpected error", "text": line}
            yield {
                "t": 0.0,
                "kind": "root log",
                "root": self.number,
                "life": self.incarnation,
                "who": "root",
                "line": log_line,
            }

    def record_end(self, killed_at: float | None = None):
        """Record that the process has ended; `killed_at` is the time of a planned kill, if any."""
        self.soak.event_log.write(
            "gone", root=self.number, life=self.incarnation, killed_at=killed_at
        )
