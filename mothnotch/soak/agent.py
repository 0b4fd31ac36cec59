"""A simulated discovery service as a process: two agents for each root, so that a reloaded
configuration can name the other one.

Commands arrive as JSON lines on standard input:

- {"do": "tell", "targets": [...]}: publish changed targets through every agent.
- {"do": "silence", "root": n or null}: send nothing more on the open watches of one root, or of
  all; watches opened later are served.
- {"do": "drop"}: reset the open watches.
- {"do": "down", "s": seconds}: neither answer new watches nor send anything for that long.
- {"do": "slow", "root": n, "s": seconds}: answer the next watch of one root only after that long.

It records which change was sent to which root.
"""

import itertools
import json
import sys

import trio

from mothnotch.soak.leaf import read_stdin_lines, reset_connection
from mothnotch.soak.records import EventLog, now

HEARTBEAT_INTERVAL_S = 2.0


class Watch:
    """An open watch of one root."""

    def __init__(self, root, stream):
        self.root, self.stream, self.silent, self.changed = root, stream, False, trio.Event()


class DiscoveryProcess:
    """The process of the discovery service."""

    def __init__(self, options):
        self.event_log = EventLog(options["folder"], "discovery")
        self.targets, self.rev = {target["uid"]: target for target in options["targets"]}, 40
        self.ports, self.watches, self.changes = options["ports"], set(), []
        self.unavailable_until, self.numbers = 0.0, itertools.count()
        self.answer_delays_s = {}  # root -> delay of the answer to its next watch

    async def run(self):
        async with trio.open_nursery() as nursery:
            for root, ports in enumerate(self.ports):
                for port in ports:
                    listeners = await trio.open_tcp_listeners(port, host="127.0.0.1")
                    nursery.start_soon(
                        trio.serve_listeners,
                        lambda stream, root=root: self.serve_watch(root, stream),
                        listeners,
                    )
            self.event_log.write("listening")
            async for line in read_stdin_lines():
                await self.apply_command(json.loads(line))
            nursery.cancel_scope.cancel()

    async def apply_command(self, command):
        self.event_log.write(
            "told to", **{name: value for name, value in command.items() if name != "targets"}
        )
        if command["do"] == "tell":
            self.rev += 1
            self.changes.append((self.rev, command["targets"]))
            for target in command["targets"]:
                self.targets[target["uid"]] = target
                self.event_log.write(
                    "change",
                    rev=self.rev,
                    leaf=target["uid"],
                    state=target["state"],
                    boot_ms=target["boot_ms"],
                )
        elif command["do"] == "down":
            self.unavailable_until = now() + command["s"]
        elif command["do"] == "slow":
            self.answer_delays_s[command["root"]] = command["s"]
        for watch in list(self.watches):
            if command["do"] == "drop":
                await reset_connection(watch.stream)
            elif command["do"] == "silence" and command["root"] in (None, watch.root):
                watch.silent = True
                self.event_log.write("silent", root=watch.root)
            watch.changed.set()

    async def serve_watch(self, root, stream):
        watch = Watch(root, stream)
        try:
            head = b""
            while b"\r\n\r\n" not in head:
                data = await stream.receive_some(4096)
                if not data:
                    return
                head += data
            await trio.sleep(self.answer_delays_s.pop(root, 0.0))
            while now() < self.unavailable_until:
                await trio.sleep(0.05)
            target = head.split(b" ")[1].decode()
            await stream.send_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            self.watches.add(watch)
            self.event_log.write("watch served", root=root)
            requested_rev = int(target.partition("index=")[2] or 0)
            if requested_rev and requested_rev >= self.rev - len(self.changes):
                sent_rev = requested_rev
            else:
                sent_rev = await self.send_update(
                    watch,
                    self.rev,
                    [t for t in self.targets.values() if t["state"] == "Ready"],
                    True,
                )
            while True:
                for rev, targets in self.changes:
                    if rev > sent_rev:
                        sent_rev = await self.send_update(watch, rev, targets, False)
                watch.changed = trio.Event()
                with trio.move_on_after(HEARTBEAT_INTERVAL_S):
                    await watch.changed.wait()
                while watch.silent or now() < self.unavailable_until:
                    await trio.sleep(0.05)
                await self.send_chunk(stream, b"\n")
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        finally:
            self.watches.discard(watch)
            await trio.aclose_forcefully(stream)

    async def send_update(self, watch, rev, targets, full_list):
        await self.send_chunk(
            watch.stream,
            json.dumps({"rev": rev, "all": full_list, "targets": targets}).encode() + b"\n",
        )
        self.event_log.write(
            "told",
            root=watch.root,
            rev=rev,
            whole=full_list,
            states={t["uid"]: t["state"] for t in targets},
        )
        return rev

    async def send_chunk(self, stream, data):
        await stream.send_all(f"{len(data):x}\r\n".encode() + data + b"\r\n")


if __name__ == "__main__":
    trio.run(DiscoveryProcess(json.loads(sys.argv[1])).run)
