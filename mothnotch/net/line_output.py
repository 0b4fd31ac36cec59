"""Non-blocking output of whole lines to a file descriptor.

A root must keep answering when a log collector hangs, so a line that cannot be written at once is
dropped and counted. Setting O_NONBLOCK on the descriptor would affect the open file description,
which other processes may share. A pipe or terminal is therefore reopened with O_NONBLOCK for each
write. A regular file is written directly, as such writes do not wait for a reader.

A line that was written in part is completed before anything else is written. On a pipe, lines of up
to PIPE_BUF bytes are never split.
"""

import functools
import io
import os
import select
import socket
import stat
import sys

# Maximum size of an atomic write to a pipe, in bytes.
PIPE_BUF = select.PIPE_BUF
# Maximum length of an unfinished line that a LineStream keeps, in characters.
MAX_UNFINISHED_CHARS = 1 << 16


class LineOutput:
    """Line output to one descriptor; buffers at most the rest of one line."""

    def __init__(self, descriptor: int | None, owner: io.IOBase | None = None):
        """Write to a descriptor that the caller owns; if it is None or not open, drop all lines.

        `owner`: the stream that owns the descriptor. A reference to it is kept, and nothing is
        written once it is closed, as the descriptor may then belong to another file.
        """
        self.descriptor = descriptor
        self._owner = owner
        # Number of lines dropped since the last one that was written.
        self.dropped = 0
        self._rest = b""
        try:
            mode = os.fstat(descriptor).st_mode if descriptor is not None else 0
        except OSError:
            mode = 0
        self._write = _writer_for_mode(mode)

    def write(self, line: bytes) -> bool:
        """Write a line including its newline; return whether it is or will be written in full."""
        written = self.finish_line() and self._start_line(line)
        self.dropped = 0 if written else self.dropped + 1
        return written

    def finish_line(self) -> bool:
        """Write the rest of a partly written line; return whether nothing is left."""
        if self._rest:
            self._rest = self._rest[self._write_some(self._rest) :]
        return not self._rest

    def _start_line(self, line):
        """Start a new line; return whether any of it was written."""
        count = self._write_some(line)
        if count:
            self._rest = line[count:]
        return count > 0

    def _write_some(self, data):
        """Write as much as the descriptor accepts at once; return the number of bytes."""
        total = 0
        if self._owner is not None and self._owner.closed:
            return total
        try:
            while total < len(data):
                count = self._write(self.descriptor, data[total:])
                if count <= 0:
                    break
                total += count
        except OSError:  # the pipe or disk is full, the disk fails, or the reader closed the pipe
            pass
        return total


class LineStream(io.TextIOBase):
    """A text stream over a LineOutput: as `sys.stderr`, it makes `print` non-blocking."""

    def __init__(self, output: LineOutput):
        """Write to `output`, line by line."""
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
        """Write the completed lines; keep the rest until its newline is written."""
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


def _writer_for_mode(mode):
    """Return the function that writes to a descriptor of this file mode without blocking."""
    if stat.S_ISFIFO(mode) or stat.S_ISCHR(mode):
        return _write_reopened
    if stat.S_ISSOCK(mode):
        return _write_socket
    if stat.S_ISREG(mode):
        return os.write
    return _discard


def _write_reopened(descriptor, data):
    """Write to the same pipe or terminal through a separate, non-blocking open file."""
    try:
        reopened = os.open(
            f"/proc/self/fd/{descriptor}", os.O_WRONLY | os.O_NONBLOCK | os.O_NOCTTY | os.O_CLOEXEC
        )
    except OSError:  # no /proc, no permission, no free descriptor, or a pipe without a reader
        return _write_if_ready(descriptor, data)
    try:
        return os.write(reopened, data)
    finally:
        os.close(reopened)


def _write_if_ready(descriptor, data):
    """Write if the descriptor is ready.

    This blocks only if another writer fills the pipe between the check and the write.
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


def _discard(_descriptor, _data):
    return 0
