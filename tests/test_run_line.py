"""The `run` command of deploy/balancer.toml as a process, checked against the platform's rules: no
other programs, no forks, only TCP and UDP over IPv4, no spinning threads, and no import of modules
that are not part of a platform root.

The process reports its actions through an audit hook, loaded as `sitecustomize`; /proc provides the
rest.
"""

import json
import os
import pathlib
import signal
import subprocess
import sys
import sysconfig
import time
import tomllib

import pytest
import trio

from mothnotch import net
from mothnotch.standins import platform
from mothnotch.standins.platform_settings import CELLS, REACH, options

REPOSITORY = pathlib.Path(__file__).resolve().parent.parent
HOOK = """
import json, os, sys
file = os.open(os.environ["SEEN"], os.O_WRONLY | os.O_CREAT | os.O_APPEND)
ALWAYS = ("os.exec", "os.posix_spawn", "os.spawn", "os.system", "subprocess.Popen", "os.forkpty")
def say(*words):
    os.write(file, (json.dumps(words) + "\\n").encode())
def hook(event, args):
    if event == "import":
        say("import", args[0])
    elif event == "socket.__new__":
        say("socket", int(args[1]), int(args[2]))
    elif event in ("socket.bind", "socket.connect"):
        say(event, repr(args[1]))
    elif event in ALWAYS:
        say("refused", event, repr(args[0])[:200])
os.register_at_fork(before=lambda: say("refused", "fork"))
for name in ("sendfile", "splice"):
    if hasattr(os, name):
        setattr(os, name, lambda *args, name=name: say("refused", name))
sys.addaudithook(hook)
"""
# The packages that a platform root consists of. All others (fronts, Consul, stores, peers of roots)
# are not used on the platform.
PROJECT_PACKAGES = ("decisions", "root", "node", "leaves", "net")
LIBRARIES = {
    "trio",
    "h11",
    "msgspec",
    "attr",
    "attrs",
    "outcome",
    "sniffio",
    "sortedcontainers",
    "idna",
}
# msgspec imports it if available, and works without it where `build` has not installed it.
OPTIONAL = {"typing_extensions"}
IPV4, UNIX = 2, 1


def start(tmp_path, discovery_address, port):
    """Start the process of `run`; return it and the file to which it reports its actions."""
    run = tomllib.loads((REPOSITORY / "deploy/balancer.toml").read_text())["run"]
    command = run.split()
    assert (
        command[0] == "exec" and command[1] == ".venv/bin/python" and not set(run) & set(";&|`$()")
    ), "one process, by exec"
    config, events_path = tmp_path / "config.json", tmp_path / "seen"
    config.write_text(
        json.dumps(
            {
                "name": "n0",
                "listen": f"127.0.0.1:{port}",
                "discovery": discovery_address,
                "seed": "1",
                "known": None,
                "limits": {"cores": 1, "memory_mb": 64, "sockets": 256},
                "settings": options(),
            }
        )
    )
    (tmp_path / "sitecustomize.py").write_text(HOOK)
    env = {
        **os.environ,
        "BALANCER_CONFIG": str(config),
        "SEEN": str(events_path),
        "PYTHONPATH": str(tmp_path),
        "PYTHONDONTWRITEBYTECODE": "1",
    }
    # The interpreter of these tests is used in place of the one that `build` installs.
    process = subprocess.Popen(
        [sys.executable, *command[2:]], cwd=REPOSITORY, env=env, stderr=subprocess.PIPE
    )
    return process, events_path


@pytest.fixture(scope="module")
def observed(tmp_path_factory):
    """Return what a root did that started, served a query, was idle for a while, reloaded its
    configuration and ended.
    """
    tmp_path = tmp_path_factory.mktemp("run")
    network, world, found = net.SocketNetwork(), platform.World(), {}

    async def main():
        async with trio.open_nursery() as nursery:
            leaves = [
                platform.Leaf(world, network, f"s{n}", n, CELLS, REACH, 0.01, "127.0.0.1:0")
                for n in range(CELLS)
            ]
            for leaf in leaves:
                await nursery.start(leaf.run)
            discovery = platform.Discovery(
                network,
                [
                    {
                        "uid": leaf.name,
                        "endpoint": leaf.address,
                        "az": "a",
                        "pod_group": leaf.cell,
                        "state": "Ready",
                        "capacity_hint": 1.0,
                        "boot_ms": 0,
                    }
                    for leaf in leaves
                ],
                "127.0.0.1:0",
            )
            await nursery.start(discovery.run)
            listener = (await network.listen("127.0.0.1:0"))[0]
            port = listener.socket.getsockname()[1]
            await listener.aclose()
            process, file = start(tmp_path, discovery.address, port)
            try:
                with trio.fail_after(60):
                    while True:
                        try:
                            client = await platform.Client(
                                world, network, f"127.0.0.1:{port}"
                            ).connect()
                            await client.send(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
                            if (await client.read_answer())[0] == 200:
                                break
                        except OSError:
                            assert process.poll() is None, process.stderr.read()
                        await trio.sleep(0.05)
                    found["answer"] = (await client.ask("r1", "read", (0, 1, 2, 3)))[0]
                    found["cpu_s"] = -cpu_s(process.pid)
                    began_s = time.monotonic()
                    await trio.sleep(1.5)
                    found["cpu_s"], found["elapsed_s"] = (
                        found["cpu_s"] + cpu_s(process.pid),
                        time.monotonic() - began_s,
                    )
                    proc = pathlib.Path(f"/proc/{process.pid}")
                    found["exe"] = os.readlink(proc / "exe")
                    found["maps"] = (proc / "maps").read_text()
                    found["threads"] = len(os.listdir(proc / "task"))
                    found["children"] = "".join(
                        (t / "children").read_text()
                        for t in (proc / "task").iterdir()
                        if (t / "children").exists()
                    )
                    found["files"] = [os.readlink(f) for f in (proc / "fd").iterdir()]
                    process.send_signal(signal.SIGHUP)
                    assert (await client.ask("r2", "hold", (3,), key="k1"))[0] == 200
                    process.send_signal(signal.SIGTERM)
                    while process.poll() is None:
                        await trio.sleep(0.05)
            finally:
                process.kill()
                process.wait()
            found["status"] = process.returncode
            nursery.cancel_scope.cancel()

    trio.run(main)
    found["events"] = [json.loads(line) for line in file_lines(tmp_path / "seen")]
    return found


def file_lines(path):
    return path.read_text().splitlines()


def cpu_s(pid):
    """Return the CPU time that a process has used, in seconds."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def test_serves_and_exits_on_sigterm(observed):
    assert observed["answer"] == 200 and observed["status"] == 0


def test_starts_no_program_and_never_forks(observed):
    assert [e for e in observed["events"] if e[0] == "refused"] == [] and observed[
        "children"
    ].strip() == ""
    assert not any("io_uring" in name for name in observed["files"])


def test_is_linked_dynamically_against_the_c_library(observed):
    assert "libc.so" in observed["maps"] or "libc-" in observed["maps"]
    assert pathlib.Path(observed["exe"]).resolve() == pathlib.Path(sys.executable).resolve()


def test_sockets_are_ipv4_except_the_pair_that_wakes_the_event_loop(observed):
    assert {e[1] for e in observed["events"] if e[0] == "socket"} <= {IPV4, UNIX}
    addresses = [e[1] for e in observed["events"] if e[0] in ("socket.bind", "socket.connect")]
    assert addresses and all(name.startswith("('127.0.0.1', ") for name in addresses)


def test_no_thread_spins(observed):
    assert observed["cpu_s"] < 0.3 * observed["elapsed_s"] and observed["threads"] <= 4


def test_imports_only_packages_of_a_platform_root(observed):
    names = {e[1] for e in observed["events"] if e[0] == "import"}
    imported = {name.split(".")[1] for name in names if name.startswith("mothnotch.")}
    assert imported <= set(PROJECT_PACKAGES), imported - set(PROJECT_PACKAGES)
    assert "mothnotch.net.memory" not in names  # an in-memory fake for tests
    top_level = {name.split(".")[0] for name in names} - {"mothnotch"}
    site_packages = {sysconfig.get_paths()["purelib"], sysconfig.get_paths()["platlib"]}
    installed = {
        name
        for name in top_level
        for place in site_packages
        if (pathlib.Path(place) / name).is_dir() or (pathlib.Path(place) / f"{name}.py").is_file()
    }
    assert installed - OPTIONAL <= LIBRARIES, installed - OPTIONAL - LIBRARIES


# ---- graceful shutdown of the process, as seen by its clients ----


def test_request_in_any_state_at_sigterm_gets_exactly_one_answer(tmp_path):
    """The process is stopped (SIGSTOP) while requests and SIGTERM are sent, so that they race."""
    from tests.support.platform_rig import Client, LeafConnection, Rig

    async def main():
        rig, answers = Rig(), {}
        listener = (await net.SocketNetwork().listen("127.0.0.1:0"))[0]
        address = f"127.0.0.1:{listener.socket.getsockname()[1]}"
        await listener.aclose()
        process, _ = start(
            tmp_path, f"127.0.0.1:{rig.agent.socket.getsockname()[1]}", address.rpartition(":")[2]
        )

        async def serve_leaf(leaf):
            async def serve_stream(stream):
                connection = LeafConnection(stream)
                while (found := await connection.read_frame()) is not None:
                    if found[0] == "m":
                        from tests.support.platform_rig import wire_ids

                        for wire_id in wire_ids(found[1]):
                            if not wire_id.startswith("hung"):
                                nursery.start_soon(connection.answer_part, wire_id, "v", 0.1)

            while True:
                nursery.start_soon(serve_stream, await leaf.listener.accept())

        async def serve_watch():
            watch = await rig.accept_watch()
            await watch.send_listing(41, *[rig.target(x) for x in rig.leaves], whole=True)
            while True:
                await trio.sleep(1)
                await watch.send_chunk(b"\n")

        async def read_answers(name, client, count=1):
            answers[name] = [await client.read_answer() for _ in range(count)]
            answers[name].append(await client.read_answer())  # and no further answer

        try:
            with trio.fail_after(60):
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(serve_watch)
                    for leaf in rig.leaves:
                        nursery.start_soon(serve_leaf, leaf)
                    while True:
                        try:
                            kept = Client(address)
                            kept.send_bytes(b"GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n")
                            if (await kept.read_answer())[0] == 200:
                                break
                        except OSError:
                            assert process.poll() is None, process.stderr.read()
                        await trio.sleep(0.05)
                    hung, half, early, out, idle = (Client(address) for _ in range(5))
                    idle.send_bytes(b"GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n")
                    assert (await idle.read_answer())[0] == 200
                    hung.send_bytes(platform.request("hung", "read", (0,), timeout_ms=900))
                    text = platform.request("half", "read", (1,))
                    half.send_bytes(text[:-20])
                    await trio.sleep(0.2)  # the root reads these, but not the following ones
                    process.send_signal(signal.SIGSTOP)
                    kept.send_bytes(platform.request("kept", "read", (0,)))
                    out.send_bytes(platform.request("out", "hold", (3,), key="k"))
                    backlog = Client(address)
                    backlog.send_bytes(platform.request("backlog", "read", (2,)))
                    process.send_signal(signal.SIGTERM)
                    process.send_signal(signal.SIGCONT)
                    began_s = trio.current_time()
                    for name, client in (
                        ("hung", hung),
                        ("kept", kept),
                        ("out", out),
                        ("backlog", backlog),
                        ("half", half),
                        ("early", early),
                    ):
                        nursery.start_soon(read_answers, name, client)
                    await trio.sleep(0.2)
                    process.send_signal(signal.SIGTERM)  # a repeated signal
                    half.send_bytes(text[-20:])
                    new = Client(address)
                    new.send_bytes(platform.request("new", "read", (1,)))
                    nursery.start_soon(read_answers, "new", new)
                    await trio.sleep(0.15)
                    # Stopped at the time when it would end accepting.
                    process.send_signal(signal.SIGSTOP)
                    idle.send_bytes(platform.request("idle", "read", (0,)))
                    late = Client(address)
                    late.send_bytes(platform.request("late", "read", (2,)))
                    nursery.start_soon(read_answers, "late", late)
                    nursery.start_soon(read_answers, "idle", idle)
                    await trio.sleep(0.35)
                    process.send_signal(signal.SIGCONT)
                    # The first request on an early connection.
                    early.send_bytes(platform.request("early", "read", (1,)))
                    while process.poll() is None:
                        await trio.sleep(0.02)
                    elapsed_s = trio.current_time() - began_s
                    await trio.sleep(0.1)
                    nursery.cancel_scope.cancel()
        finally:
            process.kill()
            process.wait()
        log = process.stderr.read().decode()
        assert (
            process.returncode == 0 and "not answered" not in log and "unexpected" not in log
        ), log
        assert elapsed_s < 1.5 + 0.7, elapsed_s  # the longest deadline and the shutdown slack
        assert {name: [got and got[0] for got in found] for name, found in answers.items()} == {
            "hung": [503, None],
            **{
                name: [200, None]
                for name in ("kept", "out", "backlog", "half", "early", "new", "idle", "late")
            },
        }

    trio.run(main)
