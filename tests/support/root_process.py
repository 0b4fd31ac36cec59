"""A real process of `run` for tests: its clients, leaves and discovery are the test's own, and its
system calls and wall clock fail and step as the test says (mothnotch/soak/shim.py).
"""

import json
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import sys
from contextlib import asynccontextmanager

import trio

from mothnotch.decisions.balancer.placement import rendezvous_order
from mothnotch.soak import shim
from mothnotch.standins.platform import request
from mothnotch.standins.platform_settings import CELLS, REACH
from tests.support.platform_rig import HOST, Client, Rig, address_of

REPOSITORY = pathlib.Path(__file__).resolve().parent.parent.parent


class RootProcess:
    """A running root, and what a test does to it."""

    def __init__(self, rig, process, where, control, log_path, config_path):
        self.rig, self.process, self.where, self.control = rig, process, where, control
        self.log_path, self.config_path = log_path, config_path

    def client(self):
        return Client(self.where)

    def send_signal(self, number):
        self.process.send_signal(number)

    @asynccontextmanager
    async def held(self):
        """The process is stopped meanwhile: what happens then crosses in the instant at which it
        goes on.
        """
        self.send_signal(signal.SIGSTOP)
        await trio.sleep(0.05)
        yield
        self.send_signal(signal.SIGCONT)

    def log(self):
        return self.log_path.read_text()

    def alive(self):
        return self.process.poll() is None

    def home(self, shard):
        """The leaf that a part of the tests' key goes to first."""
        return self.holders(shard)[0]

    def holders(self, shard):
        """The leaves that hold a shard, by the hash of the tests' key."""
        cells = [(shard + j) % CELLS for j in range(REACH)]
        weighted = [(1.0, leaf.name, leaf) for leaf in self.rig.leaves if leaf.cell in cells]
        return rendezvous_order(f"7f3a|{shard}", weighted)

    async def ended(self, within_s=10):
        with trio.fail_after(within_s):
            while self.alive():
                await trio.sleep(0.01)
        return self.process.returncode


def free_port():
    with socket.socket() as sock:
        sock.bind((HOST, 0))
        return sock.getsockname()[1]


async def beat(watch):
    """Keeps a watch alive, as the agent does, until the root gives it up."""
    try:
        while True:
            await trio.sleep(1)
            await watch.send_chunk(b"\n")
    except trio.BrokenResourceError:
        pass


@asynccontextmanager
async def root_process(
    tmp_path, stderr=None, targets=None, answer_watch=True, where=None, **changes
):
    """A root that listens, its first watch answered with a beat. `targets`: what it knows, in place
    of the rig's leaves; `where`: its address, else a free one.
    """
    rig, where = Rig(**changes), where or f"{HOST}:{free_port()}"
    text = {**rig.config_values, "listen": where, "discovery": address_of(rig.agent.socket)}
    if targets is not None:
        text["known"] = {"rev": 40, "all": True, "targets": targets}
    config_path, control_path, log_path = (
        tmp_path / "config.json",
        tmp_path / "control",
        tmp_path / "log",
    )
    config_path.write_text(json.dumps(text))
    control = shim.Control(control_path, create=True)
    shutil.copy(shim.__file__, tmp_path / "sitecustomize.py")
    env = {
        **os.environ,
        "BALANCER_CONFIG": str(config_path),
        "PYTHONPATH": str(tmp_path),
        shim.CONTROL_VARIABLE: str(control_path),
        "PYTHONDONTWRITEBYTECODE": "1",
    }
    with open(stderr or log_path, "w") as log:
        process = subprocess.Popen(
            [sys.executable, "-m", "mothnotch.node"], cwd=REPOSITORY, env=env, stderr=log
        )
    try:
        with trio.fail_after(60):
            async with trio.open_nursery() as rig.nursery:
                root = RootProcess(rig, process, where, control, log_path, config_path)
                if answer_watch:
                    rig.first_watch = await rig.accept_watch()
                    await rig.first_watch.send_chunk(b"\n")
                    rig.nursery.start_soon(beat, rig.first_watch)
                    await ready(root)
                yield root
                rig.nursery.cancel_scope.cancel()
    finally:
        process.kill()
        process.wait()


async def ready(root):
    """Waits until the root says that it is ready."""
    while True:
        assert root.alive(), f"the root ended with status {root.process.returncode}"
        try:
            client = root.client()
            client.send_bytes(b"GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n")
            got = await client.read_answer()
            client.disconnect()
            if got is not None and got[0] == 200:
                return
        except OSError:
            pass
        await trio.sleep(0.02)


async def used_link(root, home):
    """A connection to a leaf that has answered once."""
    client = root.client()
    client.send_bytes(request("warm", "read", (0,), timeout_ms=4000))
    link = await home.accept_connection()
    assert await link.read_call() == ["warm.0"]
    await link.answer_part("warm.0", after_s=0.05)
    assert (await client.read_answer())[0] == 200
    client.disconnect()
    return link
