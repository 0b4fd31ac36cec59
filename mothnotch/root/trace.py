"""A trace of what a root does with each request, attempt and connection, for troubleshooting.

Tracing is off unless the environment variable MOTHNOTCH_TRACE names a file. Each event is then one
JSON line with the monotonic time, the kind, and the ids that it concerns: request id, query, wire
id of a part, leaf, connection number, and the reason of each close, retry, rejection and end. A
line that cannot be written at once ends the trace; queries are not affected.
"""

import contextlib
import os
import time

import msgspec

from mothnotch.net.line_output import LineOutput

# The environment variable with the path of the trace file.
PATH_VARIABLE = "MOTHNOTCH_TRACE"


class Trace:
    """Writes the trace, if it is enabled."""

    def __init__(self, path: str | None = None):
        """Append to the file at this path; stay off without a path or if it cannot be opened."""
        self._output = None
        if path:
            with contextlib.suppress(OSError):
                flags = os.O_WRONLY | os.O_APPEND | os.O_CREAT | os.O_NONBLOCK
                self._output = LineOutput(os.open(path, flags, 0o666))

    @classmethod
    def from_environment(cls) -> "Trace":
        """Return a trace to the file named by the environment, off if none is named."""
        return cls(os.environ.get(PATH_VARIABLE))

    @property
    def enabled(self) -> bool:
        """Whether events are recorded; callers check it before they collect an event's fields."""
        return self._output is not None

    def record(self, kind: str, **fields):
        """Record one event."""
        if self._output is None:
            return
        line = {"t": time.monotonic(), "kind": kind, **fields}
        if not self._output.write(msgspec.json.encode(line, enc_hook=repr) + b"\n"):
            self._output = None
