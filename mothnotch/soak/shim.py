"""Fault injection into a real process: failing system calls, short reads and writes, and steps of
the wall clock.

The process loads this file as `sitecustomize` before the program and maps the file that the
environment variable FAULT_CONTROL names. The controlling process maps the same file (`Control`) and
may change it at any time; a change applies from the next call on. Without the variable nothing is
patched. This file imports only the standard library, because it runs before the program.
"""

import builtins
import errno
import mmap
import os
import random
import socket
import struct
import sys
import time

CONTROL_VARIABLE = "FAULT_CONTROL"
SLOT = struct.Struct("<q")
CALLS = ("accept", "socket", "connect", "setsockopt", "shutdown", "recv", "send", "open", "stderr")
# Documented Linux errors, transient and permanent, from which a random failure draws. EINTR is left
# out: the interpreter repeats an interrupted call (PEP 475).
ERRORS = {
    "accept": (
        errno.ECONNABORTED,
        errno.ENFILE,
        errno.EMFILE,
        errno.ENOBUFS,
        errno.ENOMEM,
        errno.EPROTO,
    ),
    "socket": (errno.ENFILE, errno.EMFILE, errno.ENOBUFS, errno.ENOMEM),
    "connect": (
        errno.EADDRNOTAVAIL,
        errno.ENETUNREACH,
        errno.ETIMEDOUT,
        errno.EHOSTUNREACH,
        errno.ECONNREFUSED,
    ),
    "setsockopt": (errno.ENOBUFS, errno.ENOMEM),
    "shutdown": (errno.ENOBUFS, errno.ENOTCONN),
    "recv": (errno.ENOMEM, errno.ENOBUFS),
    "send": (errno.ENOBUFS, errno.ENOMEM),
    "open": (errno.EMFILE, errno.ENFILE, errno.EIO, errno.ENOMEM),
    "stderr": (errno.ENOSPC, errno.EIO),
}
# Slots of eight bytes in the control file: general ones, then four for each call in CALLS.
WALL_OFFSET_NS, STEP_TIMESTAMPS, SHORT_IO_PER_MILLION, SEED = range(4)
FIRST_CALL_SLOT, SLOTS_PER_CALL = 8, 4
FIXED_ERRNO, FIXED_COUNT, RANDOM_PER_MILLION, FAILURE_COUNT = range(SLOTS_PER_CALL)
CONTROL_FILE_SIZE = SLOT.size * (FIRST_CALL_SLOT + SLOTS_PER_CALL * len(CALLS))
TIMESTAMP_MESSAGE_TYPE = getattr(socket, "SO_TIMESTAMPNS", 35)


class Control:
    """The mapped control file, as both processes use it."""

    def __init__(self, path, create=False):
        if create:
            with open(path, "wb") as file:
                file.write(bytes(CONTROL_FILE_SIZE))
        descriptor = os.open(path, os.O_RDWR)
        self.map = mmap.mmap(descriptor, CONTROL_FILE_SIZE)
        os.close(descriptor)

    def __getitem__(self, slot):
        return SLOT.unpack_from(self.map, slot * SLOT.size)[0]

    def __setitem__(self, slot, value):
        SLOT.pack_into(self.map, slot * SLOT.size, value)

    def step_wall_clock(self, seconds, step_timestamps=True):
        """Step the wall clock of the process, and with `step_timestamps` the kernel's time stamps."""
        self[STEP_TIMESTAMPS] = int(step_timestamps)
        self[WALL_OFFSET_NS] += int(seconds * 1e9)

    def fail(self, call, error, count=1):
        """Make the next `count` calls of this kind fail with this errno."""
        slot = first_slot(call)
        self[slot + FIXED_ERRNO] = error
        self[slot + FIXED_COUNT] = count

    def fail_at_random(self, call, share):
        """Make a share of the calls of this kind fail, each with one of the call's ERRORS."""
        self[first_slot(call) + RANDOM_PER_MILLION] = int(share * 1e6)

    def short_io(self, share):
        """Make a share of reads and writes transfer only a few bytes."""
        self[SHORT_IO_PER_MILLION] = int(share * 1e6)

    def clear_failures(self):
        """End all failures of calls and short I/O; the wall clock keeps its offset."""
        self.short_io(0)
        for call in CALLS:
            self[first_slot(call) + FIXED_ERRNO] = self[first_slot(call) + RANDOM_PER_MILLION] = 0

    def failure_count(self, call):
        """Return how many calls of this kind have been made to fail."""
        return self[first_slot(call) + FAILURE_COUNT]


def first_slot(call):
    return FIRST_CALL_SLOT + SLOTS_PER_CALL * CALLS.index(call)


class FaultInjector:
    """Decides for each call whether it fails."""

    def __init__(self, control):
        self.control, self.random = control, random.Random(control[SEED])

    def raise_if_due(self, call):
        """Raise OSError if this call has to fail."""
        control, slot = self.control, first_slot(call)
        error = 0
        if control[slot + FIXED_COUNT] > 0 and control[slot + FIXED_ERRNO]:
            # Only this process writes the count; the controlling one clears the errno instead.
            control[slot + FIXED_COUNT] -= 1
            error = control[slot + FIXED_ERRNO]
        elif (
            control[slot + RANDOM_PER_MILLION]
            and self.random.random() * 1e6 < control[slot + RANDOM_PER_MILLION]
        ):
            error = self.random.choice(ERRORS[call])
        if error:
            control[slot + FAILURE_COUNT] += 1
            raise OSError(error, os.strerror(error))

    def limit_length(self, n):
        """Return how many of n bytes a read or write may transfer."""
        if n > 1 and self.control[SHORT_IO_PER_MILLION] > self.random.random() * 1e6:
            return self.random.randint(1, min(n, 9))
        return n


def install(control):
    """Patch this process."""
    injector = FaultInjector(control)
    patch_sockets(injector)
    patch_files(injector)
    patch_clock(control)


def patch_sockets(injector):
    """Patch the socket class that trio and the program use.

    A call is left alone on listeners, UDP sockets and the event loop's socket pair where its failure
    would differ from that of a call on a connection.
    """
    socket_class = socket.socket

    def inject_before(name, call, applies_to=lambda sock: True):
        original = getattr(socket_class, name)

        def method(self, *args):
            if applies_to(self):
                injector.raise_if_due(call)
            return original(self, *args)

        setattr(socket_class, name, method)

    def is_tcp(sock):
        return sock.family == socket.AF_INET and sock.type == socket.SOCK_STREAM

    original_init = socket_class.__init__

    def init(self, family=-1, type=-1, proto=-1, fileno=None):
        if fileno is None and family == socket.AF_INET:
            injector.raise_if_due("socket")
        original_init(self, family, type, proto, fileno)

    socket_class.__init__ = init
    inject_before("_accept", "accept")
    inject_before("connect", "connect", is_tcp)
    inject_before("setsockopt", "setsockopt", is_tcp)
    inject_before("shutdown", "shutdown", is_tcp)
    original_send, original_recv, original_recvmsg = (
        socket_class.send,
        socket_class.recv,
        socket_class.recvmsg,
    )

    def send(self, data, *flags):
        if is_tcp(self):
            injector.raise_if_due("send")
            data = memoryview(data)[: injector.limit_length(len(data))]
        return original_send(self, data, *flags)

    def recv(self, size, *flags):
        if is_tcp(self):
            injector.raise_if_due("recv")
            size = injector.limit_length(size)
        return original_recv(self, size, *flags)

    def recvmsg(self, size, *args):
        injector.raise_if_due("recv")
        data, ancillary, flags, address = original_recvmsg(self, injector.limit_length(size), *args)
        offset = injector.control[WALL_OFFSET_NS] if injector.control[STEP_TIMESTAMPS] else 0
        if offset:
            ancillary = [
                (
                    level,
                    message_type,
                    step_timestamp(value, offset)
                    if message_type == TIMESTAMP_MESSAGE_TYPE
                    else value,
                )
                for level, message_type, value in ancillary
            ]
        return data, ancillary, flags, address

    socket_class.send, socket_class.recv, socket_class.recvmsg = send, recv, recvmsg


def step_timestamp(stamp, offset_ns):
    seconds, nanos = struct.unpack("@ll", stamp)
    total = seconds * 10**9 + nanos + offset_ns
    return struct.pack("@ll", total // 10**9, total % 10**9)


def patch_files(injector):
    """Patch the opening of JSON files, such as the configuration, and writes to the log."""
    original_open = builtins.open

    def open_file(path, *args, **options):
        if str(path).endswith(".json"):
            injector.raise_if_due("open")
        return original_open(path, *args, **options)

    builtins.open = open_file
    original_stream = sys.stderr

    class FaultyStream:
        def write(self, text):
            injector.raise_if_due("stderr")
            return original_stream.write(text)

        def __getattr__(self, name):
            return getattr(original_stream, name)

    sys.stderr = FaultyStream()
    patch_standard_error(injector)


def patch_standard_error(injector):
    """Patch writes to the descriptor of standard error and to descriptors that reopen it."""
    original_open, original_write = os.open, os.write
    stderr_descriptors = {2}

    def open_descriptor(path, *args, **options):
        descriptor = original_open(path, *args, **options)
        (stderr_descriptors.add if path == "/proc/self/fd/2" else stderr_descriptors.discard)(
            descriptor
        )
        return descriptor

    def write(descriptor, data):
        if descriptor in stderr_descriptors:
            injector.raise_if_due("stderr")
            data = data[: injector.limit_length(len(data))]
        return original_write(descriptor, data)

    os.open, os.write = open_descriptor, write


def patch_clock(control):
    original_time = time.time
    time.time = lambda: original_time() + control[WALL_OFFSET_NS] / 1e9


if os.environ.get(CONTROL_VARIABLE) and __name__ == "sitecustomize":
    install(Control(os.environ[CONTROL_VARIABLE]))
