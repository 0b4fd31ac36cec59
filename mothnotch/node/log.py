"""Write log lines as JSON to standard error, through the same methods as structlog's loggers.

structlog itself would cost a small root 8 MB. Repeats are rate limited: beyond `max_repeats` lines
of one event in `window_s`, further lines are only counted. A line that cannot be written at once,
because nobody reads the stream or the disk is full, is dropped and counted: no query may wait or
fail because of its log. The next line that is written tells how many were dropped.
"""

import contextlib
import time
from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from mothnotch.net.line_output import PIPE_BUF, LineOutput, standard_error

# Maximum number of events with a repeat count; beyond it all counts are reset.
MAX_COUNTED_EVENTS = 256
# Size to which a line longer than PIPE_BUF is cut: bytes of its fields' JSON, characters of its
# event.
SHORTENED_FIELDS_BYTES = 1024
SHORTENED_EVENT_LENGTH = 128


@dataclass(slots=True)
class RepeatCounter:
    """The lines of one event: when the current window began, how many lines it has had, and how
    many suppressed lines no written line has reported yet.
    """

    window_start_s: float
    count: int = 0
    suppressed: int = 0


class Log:
    """A logger that writes to a stream."""

    def __init__(
        self,
        stream=None,
        max_repeats: int = 20,
        window_s: float = 10.0,
        clock: Callable[[], float] = time.monotonic,
    ):
        """`stream`: standard error if None; if it has a descriptor, lines are written to that
        directly. `clock` is monotonic: a step of the wall clock must not silence an event.
        """
        self.output = standard_error() if stream is None else _output_of(stream)
        self.max_repeats = max_repeats
        self.window_s = window_s
        self.clock = clock
        self.counters = {}  # RepeatCounter by event

    def info(self, event: str, **fields):
        """Log an action of the root."""
        self._write("info", event, fields)

    def warning(self, event: str, **fields):
        """Log a fault that is not the root's own."""
        self._write("warning", event, fields)

    def error(self, event: str, exc_info: bool = False, **fields):
        """Log a problem that an operator should look into."""
        self._write("error", event, fields)

    def _write(self, level, event, fields):
        now_s = self.clock()
        counter = self._counter(event, now_s)
        if now_s - counter.window_start_s >= self.window_s:
            counter.window_start_s = now_s
            counter.count = 0
        counter.count += 1
        if counter.count > self.max_repeats:
            counter.suppressed += 1
            return
        line = {"t": round(time.time(), 3), "level": level, "event": event, **fields}
        if counter.suppressed:
            line["not_shown_before"] = counter.suppressed
        if self.output.dropped:
            line["dropped_before"] = self.output.dropped
        if self.output.write(_encode(line)):
            counter.suppressed = 0

    def _counter(self, event, now_s):
        if event not in self.counters and len(self.counters) > MAX_COUNTED_EVENTS:
            self.counters.clear()
        return self.counters.setdefault(event, RepeatCounter(now_s))


class StreamOutput:
    """Write lines to a text stream without a descriptor, as used by tests."""

    def __init__(self, stream):
        """`stream` provides `write` and `flush`."""
        self.dropped = 0
        self._stream = stream

    def write(self, line: bytes) -> bool:
        """Write a line; return whether the stream accepted it."""
        try:
            self._stream.write(line.decode())
        except (OSError, ValueError):
            self.dropped += 1
            return False
        self.dropped = 0
        with contextlib.suppress(OSError, ValueError):  # the line stays in the stream's buffer
            self._stream.flush()
        return True


def _output_of(stream):
    try:
        return LineOutput(stream.fileno(), stream)
    except (AttributeError, OSError, ValueError):
        return StreamOutput(stream)


def _encode(line):
    """Return a line as JSON, shortened to the size that a pipe accepts atomically."""
    data = msgspec.json.encode(line, enc_hook=repr) + b"\n"
    if len(data) <= PIPE_BUF:
        return data
    kept = ("t", "level", "not_shown_before", "dropped_before")
    short = {name: line[name] for name in kept if name in line}
    fields = {name: value for name, value in line.items() if name not in (*kept, "event")}
    text = msgspec.json.encode(fields, enc_hook=repr)[:SHORTENED_FIELDS_BYTES].decode(
        errors="ignore"
    )
    short |= {"event": line["event"][:SHORTENED_EVENT_LENGTH], "shortened": text}
    return msgspec.json.encode(short) + b"\n"
