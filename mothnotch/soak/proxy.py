"""A TCP proxy process between roots and leaves, with one listening port per leaf.

Commands arrive as JSON lines on standard input: {"do": action, "leaf": name, "s": seconds}, where
the action is one of:

- "stall": forward nothing for that long.
- "silence": forward nothing more on the open connections.
- "reset": reset the open connections.
- "cut": reset each open connection after a few more bytes from the leaf.
- "refuse": reset new connections for that long.
"""

import json
import random
import sys

import trio

from mothnotch.soak.leaf import read_stdin_lines, reset_connection
from mothnotch.soak.records import EventLog, now


class Route:
    """The route to one leaf, and the faults in force on it."""

    def __init__(self, name, target):
        self.name, self.target = name, target
        self.stalled_until, self.refused_until, self.connections = 0.0, 0.0, set()


class ProxiedConnection:
    """A connection from a root and the matching connection to the leaf."""

    def __init__(self, downstream, upstream):
        self.downstream, self.upstream, self.silenced, self.bytes_until_cut = (
            downstream,
            upstream,
            False,
            None,
        )


class ProxyProcess:
    """The proxy process."""

    def __init__(self, options):
        self.event_log, self.random = (
            EventLog(options["folder"], "proxy"),
            random.Random(options["seed"]),
        )
        self.routes = {name: Route(name, target) for name, _, target in options["routes"]}
        self.ports = {name: port for name, port, _ in options["routes"]}

    async def run(self):
        async with trio.open_nursery() as self.nursery:
            for route in self.routes.values():
                listeners = await trio.open_tcp_listeners(self.ports[route.name], host="127.0.0.1")
                self.nursery.start_soon(
                    trio.serve_listeners,
                    lambda stream, route=route: self.serve_connection(route, stream),
                    listeners,
                )
            self.event_log.write("listening")
            async for line in read_stdin_lines():
                await self.apply_command(json.loads(line))
            self.nursery.cancel_scope.cancel()

    async def apply_command(self, command):
        route = self.routes[command["leaf"]]
        self.event_log.write("told to", **command)
        if command["do"] == "stall":
            route.stalled_until = now() + command["s"]
        elif command["do"] == "refuse":
            route.refused_until = now() + command["s"]
        for connection in list(route.connections):
            if command["do"] == "silence":
                connection.silenced = True
            elif command["do"] == "cut":
                connection.bytes_until_cut = self.random.randint(1, 60)
            elif command["do"] == "reset":
                await reset_connection(connection.downstream)

    async def serve_connection(self, route, downstream):
        if now() < route.refused_until:
            await reset_connection(downstream)
            return
        try:
            upstream = await trio.open_tcp_stream("127.0.0.1", route.target)
        except OSError:
            await reset_connection(downstream)  # the leaf process is not running
            return
        connection = ProxiedConnection(downstream, upstream)
        route.connections.add(connection)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                self.forward, route, connection, downstream, upstream, nursery.cancel_scope
            )
            nursery.start_soon(
                self.forward, route, connection, upstream, downstream, nursery.cancel_scope
            )
        route.connections.discard(connection)
        await trio.aclose_forcefully(downstream)
        await trio.aclose_forcefully(upstream)

    async def forward(self, route, connection, source, target, scope):
        try:
            while data := await source.receive_some(1 << 14):
                while now() < route.stalled_until or connection.silenced:
                    await trio.sleep(0.02)
                if connection.bytes_until_cut is not None and source is connection.upstream:
                    data, connection.bytes_until_cut = (
                        data[: connection.bytes_until_cut],
                        connection.bytes_until_cut - len(data),
                    )
                await target.send_all(data)
                if connection.bytes_until_cut is not None and connection.bytes_until_cut <= 0:
                    await reset_connection(target)
                    break
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            await reset_connection(target)
        scope.cancel()


if __name__ == "__main__":
    trio.run(ProxyProcess(json.loads(sys.argv[1])).run)
