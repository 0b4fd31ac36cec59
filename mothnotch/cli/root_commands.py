"""Commands for operators of a root: check, serve, members, peers, example."""

import json
import sys
from pathlib import Path

import trio

from mothnotch import demo as demo_fleet
from mothnotch import logs, net
from mothnotch.cli.application import app, exit_with_errors, load_or_exit, stop_at_signal
from mothnotch.daemon import Root, cpu_time
from mothnotch.net.line_output import LineStream, standard_error, standard_output


@app.command
def check(config: Path):
    """Check a configuration and its roster; if they are invalid, print each error on a line and
    exit with status 2.
    """
    loaded = load_or_exit(config)
    print(
        f"{config}: {len(loaded.tables)} tables, {len(loaded.bounds()) - 1} ranges, "
        f"{len(loaded.classes)} classes: valid"
    )


@app.command
def serve(*, config: Path):
    """Run a root until SIGINT or SIGTERM; the statements accepted by then are answered."""
    sys.stderr = LineStream(standard_error())  # printing must not block on a slow reader
    loaded = load_or_exit(config)
    log = logs.logger(loaded.log.format, loaded.log.level)

    async def run():
        async with trio.open_nursery() as nursery:
            root = Root(loaded, net.SocketNetwork(), log, cpu=cpu_time)
            nursery.start_soon(stop_at_signal, root, nursery.cancel_scope)
            await nursery.start(root.run)
            addresses = " ".join(f"postgresql://{address}" for address in root.addresses)
            standard_output().write(f"serving {addresses}\n".encode())

    try:
        trio.run(run)
    except* OSError as group:
        exit_with_errors([f"{config}: cannot listen: {error}" for error in group.exceptions])


@app.command
def members(*, config: Path):
    """Print what each Consul agent in the configuration reports about the leaves, and the endpoint
    list that a root would derive from it.
    """
    from mothnotch.consul.inspect_agents import inspect_agents

    loaded = load_or_exit(config)
    if loaded.consul is None:
        exit_with_errors(
            [f"{config}: consul: not set; the leaves are listed in the file {loaded.roster}"]
        )
    for line in trio.run(inspect_agents, loaded, net.SocketNetwork()):
        print(line)


@app.command
def peers(*, config: Path):
    """Print each root's view of the others, with ages; exit with status 1 if the views differ or a
    root does not answer.
    """
    from mothnotch.peers.fleet_views import describe_fleet

    loaded = load_or_exit(config)
    if loaded.peers is None:
        exit_with_errors([f"{config}: peers: not set; this root has no peers"])
    lines, agreed = trio.run(describe_fleet, loaded.peers, net.SocketNetwork())
    for line in lines:
        print(line)
    if not agreed:
        sys.exit(1)


@app.command
def example():
    """Print an example configuration."""
    print(json.dumps(demo_fleet.CONFIG, indent=2))
