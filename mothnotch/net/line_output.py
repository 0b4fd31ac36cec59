"""Writes whole lines to a descriptor and never waits for whoever reads them.

A root must not stop answering because a log collector hangs, so a line that the descriptor does not
take now is dropped and counted. O_NONBLOCK would be set on the open file, which other processes may
share; a pipe or terminal is therefore opened anew for each write, with a flag of its own. A regular
file is written as it is: writes to it do not wait for a reader.

A line of which a part was written is finished before anything else is written. On a pipe that does
not happen to lines of up to PIPE_BUF bytes.
"""

import functools
import io
import os
import select
import socket
import stat
import sys

# What a pipe takes as a whole or not at all, in bytes.
PIPE_BUF = select.PIPE_BUF
# Text without a line end that a LineStream keeps, in bytes.
MAX_UNFINISHED_CHARS = 1 << 16


class LineOutput:
    """Lines to one descriptor. Bound: the rest of one line is kept, until it can be written."""

    def __init__(self, descriptor: int | None, owner: io.IOBase | None = None):
        """Write to a descriptor of the caller's; None, or one that is not open: drop all lines.

        `owner`: the stream whose it is. It is kept, and nothing is written once it is closed, as
        the descriptor may be another file's then.
        """
        self.descriptor = descriptor
        self._owner = owner
        # Lines dropped since one was last written.
        self.dropped = 0
        self._rest = b""
        try:
            mode = os.fstat(descriptor).st_mode if descriptor is not None else 0
        except OSError:
            mode = 0
        self._write = _writer_of(mode)

    def write(self, line: bytes) -> bool:
        """Write a line, with its line end; return whether it is or will be written whole."""
        written = self.finish_line() and self._take(line)
        self.dropped = 0 if written else self.dropped + 1
        return written

    def finish_line(self) -> bool:
        """Write the rest of a line that was written in part; return whether none is left."""
        if self._rest:
            self._rest = self._rest[self._write_some(self._rest) :]
        return not self._rest

    def _take(self, line):
        """Write a line behind a whole one; return whether any of it was written."""
        count = self._write_some(line)
        if count:
            self._rest = line[count:]
        return count > 0

    def _write_some(self, data):
        """Write what the descriptor takes now; return how many bytes that was."""
        total = 0
        if self._owner is not None and self._owner.closed:
            return total
        try:
            while total < len(data):
                count = self._write(self.descriptor, data[total:])
                if count <= 0:
                    break
                total += count
        except OSError:  # it is full, the disk is full or fails, or nobody reads any more
            pass
        return total


class LineStream(io.TextIOBase):
    """A text stream over a LineOutput, to stand in for `sys.stderr`: no `print` to it waits."""

    def __init__(self, output: LineOutput):
        """Write to this output, line by line."""
        self._output = output
        self._unfinished = ""

    def writable(self) -> bool:
        """Return True."""
        return True

    def fileno(self) -> int:
        """Return the output's descriptor; raise OSError if it has none."""
        if self._output.descriptor is None:
            raise OSError("no descriptor")
        return self._output.descriptor

    def write(self, text: str) -> int:
        """Write the lines that the text ends; keep the rest until its line end comes."""
        *lines, self._unfinished = (self._unfinished + text).split("\n")
        for line in lines:
            self._output.write(f"{line}\n".encode(errors="backslashreplace"))
        self._unfinished = self._unfinished[:MAX_UNFINISHED_CHARS]
        return len(text)


@functools.cache
def standard_error() -> LineOutput:
    """Return the process's one LineOutput of standard error."""
    return LineOutput(2 if sys.__stderr__ is not None else None)


@functools.cache
def standard_output() -> LineOutput:
    """Return the process's one LineOutput of standard output."""
    return LineOutput(1 if sys.__stdout__ is not None else None)


def _writer_of(mode):
    """Return how a descriptor of this file mode is written without waiting."""
    if stat.S_ISFIFO(mode) or stat.S_ISCHR(mode):
        return _write_reopened
    if stat.S_ISSOCK(mode):
        return _write_socket
    if stat.S_ISREG(mode):
        return os.write
    return _write_nowhere


def _write_reopened(descriptor, data):
    """Write through an open file of our own on the same pipe or terminal."""
    try:
        own = os.open(
            f"/proc/self/fd/{descriptor}", os.O_WRONLY | os.O_NONBLOCK | os.O_NOCTTY | os.O_CLOEXEC
        )
    except OSError:  # no /proc, no permission, no descriptor left, or a pipe without a reader
        return _write_if_ready(descriptor, data)
    try:
        return os.write(own, data)
    finally:
        os.close(own)


def _write_if_ready(descriptor, data):
    """Write if the descriptor has room. Another writer may take that room just before: the only
    case in which this waits.
    """
    poll = select.poll()
    poll.register(descriptor, select.POLLOUT)
    return os.write(descriptor, data[:PIPE_BUF]) if poll.poll(0) else 0


def _write_socket(descriptor, data):
    sock = socket.socket(fileno=descriptor)
    try:
        return sock.send(data, socket.MSG_DONTWAIT)
    finally:
        sock.detach()


def _write_nowhere(_descriptor, _data):
    return 0
