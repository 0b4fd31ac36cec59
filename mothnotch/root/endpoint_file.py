"""Watch an endpoint list that is stored as text, in a file or in memory.

This module polls the text and notifies the core and the leaf pools of changes. The rules for
accepting a list are in mothnotch/decisions/endpoint_list.py.
"""

import os
from typing import Protocol

import trio

from mothnotch.config import ConfigError, load_roster
from mothnotch.decisions import endpoint_list
from mothnotch.decisions.start_times import StartTimes
from mothnotch.root.clock import now_us

# Interval between two polls of the file: the longest delay until a change is noticed. A poll that
# finds no change costs one stat.
POLL_S = 0.1
# Size limit of the file: a path set by mistake must not fill the root's memory.
MAX_FILE_BYTES = 8 << 20


class EndpointSource(Protocol):
    """A source of the text of an endpoint list."""

    def read_changed(self) -> str | None:
        """Return the text if it has changed since the last call, else None; raise OSError."""


class EndpointFile:
    """An endpoint list that is read from a file."""

    def __init__(self, path: str | os.PathLike):
        """Read the file at this path, which need not exist yet."""
        self.path = path
        self._last_signature = None

    def read_changed(self) -> str | None:
        """Return the file's text if the file has changed since it was last read, else None.

        Raise OSError if it cannot be read or is larger than MAX_FILE_BYTES.
        """
        stat = os.stat(self.path)
        signature = (stat.st_mtime_ns, stat.st_size, stat.st_ino)
        if signature == self._last_signature:
            return None
        if stat.st_size > MAX_FILE_BYTES:
            raise OSError(
                f"{self.path} has {stat.st_size} bytes; the limit is {MAX_FILE_BYTES} bytes"
            )
        with open(self.path, encoding="utf-8", errors="replace") as file:
            text = file.read()
        self._last_signature = signature
        return text


class InMemoryEndpointFile:
    """An endpoint list that a test or a simulated run sets through its attribute `text`."""

    def __init__(self, text: str | None = None):
        """Start with this text; None if there is none yet."""
        self.text = text

    def read_changed(self) -> str | None:
        """Return the text that was set since the last call, else None."""
        text = self.text
        self.text = None
        return text


class EndpointFileWatch:
    """Notify the core and the leaf pools of changes of the endpoint list.

    A list that is unreadable, invalid, or without any leaf left is logged and ignored: the previous
    list stays in force.
    """

    def __init__(self, source: EndpointSource, cells: int, core, leaves, network, log):
        """Watch a source for a core and its leaf pools; `cells` is the number of cells."""
        self.source = source
        self.cells = cells
        self.core = core
        self.leaves = leaves
        self.log = log
        # Number of lists applied so far.
        self.version = 0
        self._entries = []
        self._start_times = StartTimes(now_us(), network.wall_time())

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        """Run until cancelled; report the task as started after the first poll."""
        self.poll()
        task_status.started()
        while True:
            await trio.sleep(POLL_S)
            self.poll()

    def poll(self) -> bool:
        """Poll the list once; return whether a new one was applied."""
        entries = self._read_changed()
        if entries is None:
            return False
        self.version += 1
        self._entries = entries
        self._notify(entries)
        return True

    def _read_changed(self):
        """Return the list if it has changed and is valid, else None."""
        try:
            text = self.source.read_changed()
        except OSError as error:
            self.log.error("roster cannot be read; keeping the previous one", error=str(error))
            return None
        if text is None:
            return None
        try:
            entries = load_roster(text, self.cells)
        except ConfigError as error:
            self.log.error("roster is invalid; keeping the previous one", errors=error.errors)
            return None
        if endpoint_list.removes_whole_fleet(self._entries, entries):
            self.log.error(
                "roster has no leaves left; keeping the previous one", leaves=len(self._entries)
            )
            return None
        return entries

    def _notify(self, entries):
        # A removed leaf keeps its pool until its calls have ended. A leaf without an address gets
        # no new calls.
        self.leaves.update_endpoints(
            {leaf.name: leaf.address for leaf in entries if leaf.state != "removed"},
            {leaf.name for leaf in entries if leaf.state != "up"},
        )
        self.core.on_watch_event(
            endpoint_list.watch_event(entries, self.version, now_us(), self._start_times)
        )
        self.log.info(
            "roster",
            version=self.version,
            up=sum(leaf.state == "up" for leaf in entries),
            leaves=len(entries),
        )
