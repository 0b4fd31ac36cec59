"""`run` of deploy/balancer.toml as a process, held against what the platform refuses: other
programs, forks, sockets that are not TCP or UDP over IPv4, threads that spin, parts of the program
that have no place there.

The process reports on itself by an audit hook, loaded as `sitecustomize`; /proc tells the rest.
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
# What a root on the platform is made of. Whatever else the program has (fronts, Consul, stores,
# roots' peers) is off there.
OURS = ("decisions", "root", "node", "leaves", "net")
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
OPTIONAL = {
    "typing_extensions"
}  # msgspec asks for it, and does without where `build` has not installed it
IPV4, UNIX = 2, 1


def start(tmp_path, where, port):
    """The process that `run` starts, and the file in which it tells what it does."""
    run = tomllib.loads((REPOSITORY / "deploy/balancer.toml").read_text())["run"]
    words = run.split()
    assert (
        words[0] == "exec" and words[1] == ".venv/bin/python" and not set(run) & set(";&|`$()")
    ), "one process, by exec"
    config, seen = tmp_path / "config.json", tmp_path / "seen"
    config.write_text(
        json.dumps(
            {
                "name": "n0",
                "listen": f"127.0.0.1:{port}",
                "discovery": where,
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
        "SEEN": str(seen),
        "PYTHONPATH": str(tmp_path),
        "PYTHONDONTWRITEBYTECODE": "1",
    }
    # The interpreter of these tests stands in for the one that `build` makes.
    process = subprocess.Popen(
        [sys.executable, *words[2:]], cwd=REPOSITORY, env=env, stderr=subprocess.PIPE
    )
    return process, seen


@pytest.fixture(scope="module")
def seen(tmp_path_factory):
    """What a root did that started, served a query, was quiet for a while, read its configuration
    again and ended.
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
                            await client.say(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
                            if (await client.answer())[0] == 200:
                                break
                        except OSError:
                            assert process.poll() is None, process.stderr.read()
                        await trio.sleep(0.05)
                    found["answer"] = (await client.ask("r1", "read", (0, 1, 2, 3)))[0]
                    found["cpu"] = -cpu(process.pid)
                    began = time.monotonic()
                    await trio.sleep(1.5)
                    found["cpu"], found["span"] = (
                        found["cpu"] + cpu(process.pid),
                        time.monotonic() - began,
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


def cpu(pid):
    """Seconds of the processor that a process has used."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def test_it_serves_and_ends_by_itself(seen):
    assert seen["answer"] == 200 and seen["status"] == 0


def test_it_starts_no_program_and_never_forks(seen):
    assert [e for e in seen["events"] if e[0] == "refused"] == [] and seen["children"].strip() == ""
    assert not any("io_uring" in name for name in seen["files"])


def test_it_is_linked_dynamically_against_the_c_library(seen):
    assert "libc.so" in seen["maps"] or "libc-" in seen["maps"]
    assert pathlib.Path(seen["exe"]).resolve() == pathlib.Path(sys.executable).resolve()


def test_its_sockets_are_ipv4_but_for_the_pair_that_wakes_the_loop(seen):
    assert {e[1] for e in seen["events"] if e[0] == "socket"} <= {IPV4, UNIX}
    named = [e[1] for e in seen["events"] if e[0] in ("socket.bind", "socket.connect")]
    assert named and all(name.startswith("('127.0.0.1', ") for name in named)


def test_none_of_its_threads_spins(seen):
    assert seen["cpu"] < 0.3 * seen["span"] and seen["threads"] <= 4


def test_it_imports_only_what_a_root_on_the_platform_is_made_of(seen):
    names = {e[1] for e in seen["events"] if e[0] == "import"}
    ours = {name.split(".")[1] for name in names if name.startswith("mothnotch.")}
    assert ours <= set(OURS), ours - set(OURS)
    assert "mothnotch.net.memory" not in names  # a fake, for the virtual clock
    top = {name.split(".")[0] for name in names} - {"mothnotch"}
    places = {sysconfig.get_paths()["purelib"], sysconfig.get_paths()["platlib"]}
    installed = {
        name
        for name in top
        for place in places
        if (pathlib.Path(place) / name).is_dir() or (pathlib.Path(place) / f"{name}.py").is_file()
    }
    assert installed - OPTIONAL <= LIBRARIES, installed - OPTIONAL - LIBRARIES


# ---- the end of the process, counted by its clients ----


def test_whatever_state_a_request_is_in_at_the_word_to_stop_its_client_gets_one_answer(tmp_path):
    """The process is held (SIGSTOP) while requests come and the word to stop does, so that all
    cross it.
    """
    from tests.support.platform_rig import Client, LeafConnection, Rig

    async def main():
        rig, answers = Rig(), {}
        listener = (await net.SocketNetwork().listen("127.0.0.1:0"))[0]
        where = f"127.0.0.1:{listener.socket.getsockname()[1]}"
        await listener.aclose()
        process, _ = start(
            tmp_path, f"127.0.0.1:{rig.agent.socket.getsockname()[1]}", where.rpartition(":")[2]
        )

        async def leaf(one):
            async def link(stream):
                side = LeafConnection(stream)
                while (found := await side.read_frame()) is not None:
                    if found[0] == "m":
                        from tests.support.platform_rig import wire_ids

                        for wire_id in wire_ids(found[1]):
                            if not wire_id.startswith("hung"):
                                nursery.start_soon(side.answer_part, wire_id, "v", 0.1)

            while True:
                nursery.start_soon(link, await one.listener.accept())

        async def agent():
            watch = await rig.accept_watch()
            await watch.send_listing(41, *[rig.target(x) for x in rig.leaves], whole=True)
            while True:
                await trio.sleep(1)
                await watch.send_chunk(b"\n")

        async def take(name, client, count=1):
            answers[name] = [await client.read_answer() for _ in range(count)]
            answers[name].append(await client.read_answer())  # and nothing after it

        try:
            with trio.fail_after(60):
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(agent)
                    for one in rig.leaves:
                        nursery.start_soon(leaf, one)
                    while True:
                        try:
                            kept = Client(where)
                            kept.send_bytes(b"GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n")
                            if (await kept.read_answer())[0] == 200:
                                break
                        except OSError:
                            assert process.poll() is None, process.stderr.read()
                        await trio.sleep(0.05)
                    hung, half, early, out, idle = (Client(where) for _ in range(5))
                    idle.send_bytes(b"GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n")
                    assert (await idle.read_answer())[0] == 200
                    hung.send_bytes(platform.request("hung", "read", (0,), timeout_ms=900))
                    text = platform.request("half", "read", (1,))
                    half.send_bytes(text[:-20])
                    await trio.sleep(0.2)  # those are read; what follows is not
                    process.send_signal(signal.SIGSTOP)
                    kept.send_bytes(platform.request("kept", "read", (0,)))
                    out.send_bytes(platform.request("out", "hold", (3,), key="k"))
                    backlog = Client(where)
                    backlog.send_bytes(platform.request("backlog", "read", (2,)))
                    process.send_signal(signal.SIGTERM)
                    process.send_signal(signal.SIGCONT)
                    began = trio.current_time()
                    for name, client in (
                        ("hung", hung),
                        ("kept", kept),
                        ("out", out),
                        ("backlog", backlog),
                        ("half", half),
                        ("early", early),
                    ):
                        nursery.start_soon(take, name, client)
                    await trio.sleep(0.2)
                    process.send_signal(signal.SIGTERM)  # once more
                    half.send_bytes(text[-20:])
                    new = Client(where)
                    new.send_bytes(platform.request("new", "read", (1,)))
                    nursery.start_soon(take, "new", new)
                    await trio.sleep(0.15)
                    process.send_signal(
                        signal.SIGSTOP
                    )  # held over the instant at which it takes no more
                    idle.send_bytes(platform.request("idle", "read", (0,)))
                    late = Client(where)
                    late.send_bytes(platform.request("late", "read", (2,)))
                    nursery.start_soon(take, "late", late)
                    nursery.start_soon(take, "idle", idle)
                    await trio.sleep(0.35)
                    process.send_signal(signal.SIGCONT)
                    early.send_bytes(
                        platform.request("early", "read", (1,))
                    )  # a connection that asked nothing until then
                    while process.poll() is None:
                        await trio.sleep(0.02)
                    ended = trio.current_time() - began
                    await trio.sleep(0.1)
                    nursery.cancel_scope.cancel()
        finally:
            process.kill()
            process.wait()
        log = process.stderr.read().decode()
        assert (
            process.returncode == 0 and "not answered" not in log and "unexpected" not in log
        ), log
        assert ended < 1.5 + 0.7, ended  # the longest deadline and what comes on top
        assert {name: [got and got[0] for got in found] for name, found in answers.items()} == {
            "hung": [503, None],
            **{
                name: [200, None]
                for name in ("kept", "out", "backlog", "half", "early", "new", "idle", "late")
            },
        }

    trio.run(main)
