"""Commands of the demo fleet: leaves, demo."""

import json
import os
import subprocess
import tempfile
from pathlib import Path

import trio

from mothnotch import demo as demo_fleet
from mothnotch import logs, net
from mothnotch.cli.application import app, cancel_at_signal, exit_with_errors
from mothnotch.cli.leaf_processes import leaf_processes
from mothnotch.config import Config
from mothnotch.daemon import Root
from mothnotch.root.endpoint_file import EndpointFile

# Interval at which the leaves check whether their parent process still runs.
PARENT_POLL_S = 0.5
# Interval at which the demo checks whether its leaves have written their roster.
ROSTER_POLL_S = 0.05
# Leaves that do not serve by then never will: the demo fails instead of waiting forever.
LEAVES_START_TIMEOUT_S = 60


@app.command
def leaves(
    *,
    roster: Path,
    listen: str = "127.0.0.1",
    seed: int = 1,
    rows: int = 250,
    work_ms: float = 2.0,
    parent: int = 0,
    only: int | None = None,
    consul: str | None = None,
):
    """Run the stand-in leaves of the demo, and write their roster file once they serve.

    --only N runs leaf N alone. --parent PID ends the leaves when that parent process ends. --consul
    ADDRESS runs a stand-in Consul agent there, with which the leaves are registered.
    """
    from mothnotch.standins.leaf import Fleet

    async def run():
        async with trio.open_nursery() as nursery:
            nursery.start_soon(cancel_at_signal, nursery.cancel_scope)
            if parent:
                nursery.start_soon(_cancel_after_parent, nursery.cancel_scope, parent)
            _, leaf_list = demo_fleet.create_leaves(
                net.SocketNetwork(),
                lambda event: None,
                seed=seed,
                rows=rows,
                address=f"{listen}:0",
                work_ms=work_ms,
            )
            fleet = Fleet(leaf_list, nursery)
            if only is None:
                await fleet.start()
            else:
                await nursery.start(leaf_list[only].run)
            text = demo_fleet.roster_text(fleet)
            if consul is not None:
                agent = await demo_fleet.start_agent(net.SocketNetwork(), fleet, consul, nursery)
                text = json.dumps({"agent": agent.address})
            _write_atomically(roster, text)

    trio.run(run)


async def _cancel_after_parent(scope: trio.CancelScope, parent: int) -> None:
    """Cancel the scope once the parent process has ended, even if it was killed."""
    while os.getppid() == parent:
        await trio.sleep(PARENT_POLL_S)
    scope.cancel()


def _write_atomically(path: Path, text: str) -> None:
    """Write a file that appears only with all of its text, as other processes wait for it."""
    temporary_path = path.with_suffix(".new")
    temporary_path.write_text(text)
    temporary_path.rename(path)


@app.command
def demo(
    *,
    listen: str = "127.0.0.1:0",
    seed: int = 1,
    rows: int = 250,
    work_ms: float = 2.0,
    consul: bool = False,
):
    """Run stand-in leaves and a root on loopback, with sample tables; print postgresql://... once
    the root serves.

    With --consul the root takes the endpoint list from a stand-in Consul agent, with which the
    leaves and the root are registered. The address of the agent is printed; any Consul client can
    set a leaf to maintenance mode there.
    """
    try:
        log = {"format": "console", "level": "info" if consul else "warning"}
        config = demo_fleet.config(listen=[listen], seed=seed, log=log)
    except ValueError as error:
        exit_with_errors(str(error).splitlines())
    options = {"seed": seed, "rows": rows, "work_ms": work_ms}
    if consul:
        options["consul"] = "127.0.0.1:0"
    with (
        tempfile.TemporaryDirectory(prefix="mothnotch-") as folder,
        leaf_processes(folder, **options) as (roster, process),
    ):
        try:
            trio.run(_run_demo, config, roster, process, consul)
        except* OSError as group:
            exit_with_errors([f"cannot listen at {listen}: {error}" for error in group.exceptions])


async def _run_demo(
    config: Config, roster: Path, process: subprocess.Popen, with_consul: bool
) -> None:
    """Run a root for the leaves of the process until SIGINT or SIGTERM, and print its address."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(cancel_at_signal, nursery.cancel_scope)
        await _wait_for_leaves(roster, process)
        log = logs.logger(config.log.format, config.log.level)
        agent = None
        source = EndpointFile(roster)
        if with_consul:
            agent = json.loads(roster.read_text())["agent"]
            source = None
            config = demo_fleet.with_consul(config, agent, str(roster.with_name("last-list.db")))
        root = await nursery.start(Root(config, net.SocketNetwork(), log, source).run)
        _print_addresses(root.addresses[0], agent)


async def _wait_for_leaves(roster: Path, process: subprocess.Popen) -> None:
    """Return once the roster exists; raise RuntimeError if the leaves end first."""
    with trio.fail_after(LEAVES_START_TIMEOUT_S):
        while not roster.exists():
            if process.poll() is not None:
                raise RuntimeError(f"the leaves ended with status {process.returncode}")
            await trio.sleep(ROSTER_POLL_S)


def _print_addresses(address: str, agent: str | None) -> None:
    print(
        f"postgresql://demo@{address}/stock  (tables stock, orders, holds; "
        f"{demo_fleet.SHARDS} bin ranges on {demo_fleet.CELLS} leaves; Ctrl-C ends it)",
        flush=True,
    )
    if agent is not None:
        print(
            f"http://{agent}  a stand-in Consul agent; to drain a leaf:\n"
            f"  curl -X PUT 'http://{agent}/v1/agent/service/maintenance/leaf-3?enable=true'",
            flush=True,
        )
