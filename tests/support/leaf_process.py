"""Leaves of a test in a process of their own, so that a busy test does not slow them down.

`python -m tests.support.leaf_process WORK_S`: prints the leaves' addresses as a line of JSON, then
answers each part after WORK_S until its standard input ends, and prints a line of JSON with the
parts that came: [time of the monotonic clock, wire id] each.
"""

import asyncio
import contextlib
import json
import struct
import sys
import time

from mothnotch.standins.platform_settings import CELLS


class Leaves:
    """One leaf a cell."""

    def __init__(self, work_s):
        """`work_s`: the time that each part takes."""
        self.work_s = work_s
        self.arrivals = []

    async def start(self):
        """Listen; return the addresses."""
        servers = [await asyncio.start_server(self._serve, "127.0.0.1", 0) for _ in range(CELLS)]
        return ["%s:%d" % server.sockets[0].getsockname() for server in servers]

    async def _serve(self, reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                (size,) = struct.unpack("<I", await reader.readexactly(4))
                frame = await reader.readexactly(size)
                if frame[:1] == b"m":
                    self._receive_call(frame[1:], writer)
        writer.close()

    def _receive_call(self, rest, writer):
        loop = asyncio.get_running_loop()
        while rest:
            line, _, rest = rest.partition(b"\n")
            wire_id, _, _, length = line.split(b" ")
            rest = rest[int(length) :]
            self.arrivals.append((time.monotonic(), wire_id.decode()))
            loop.call_later(self.work_s, self._answer, writer, wire_id)

    @staticmethod
    def _answer(writer, wire_id):
        frame = b"q" + wire_id + b" good 1 -\nv"
        if not writer.is_closing():
            writer.write(struct.pack("<I", len(frame)) + frame)


async def main():
    """Run until standard input ends."""
    leaves = Leaves(float(sys.argv[1]))
    print(json.dumps(await leaves.start()), flush=True)
    await asyncio.to_thread(sys.stdin.read)
    print(json.dumps(leaves.arrivals), flush=True)


if __name__ == "__main__":
    asyncio.run(main())
