"""Stand-ins for the platform's agent, leaves and clients, and the start of a root as a process.

Standard library only. All of them use loopback addresses and the real clock. Times in the record
are seconds since the record was opened.
"""

import asyncio
import contextlib
import json
import os
import secrets
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from pathlib import Path

REPOSITORY = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
HEARTBEAT_S = 2.0


class Record:
    """What was sent, answered and run, one line each, in `record.txt` of a case."""

    def __init__(self, folder):
        """Overwrite the record of an earlier run."""
        self.began_s = time.monotonic()
        self.file = (Path(folder) / "record.txt").open("w", encoding="utf-8")  # noqa: SIM115

    def now_s(self):
        """Return the time since the record was opened."""
        return time.monotonic() - self.began_s

    def write(self, who, event, **fields):
        """Write a line."""
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.file.write(f"{self.now_s():8.3f} {who}: {event} {text}".rstrip() + "\n")
        self.file.flush()


def free_port():
    """Return a loopback port that is free now."""
    with socket.socket() as sock:
        sock.bind((HOST, 0))
        return sock.getsockname()[1]


async def start_server(handler, port=0):
    """Listen on a loopback port; return the server and its port."""
    server = await asyncio.start_server(handler, HOST, port, limit=1 << 20)
    return server, server.sockets[0].getsockname()[1]


def reset(writer):
    """Close a connection with a TCP reset."""
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class Agent:
    """An agent of discovery: whole lists, watches with changes, a heartbeat every 2 s.

    `is_down`: it stays silent, on open watches and on new ones, and goes on after it.
    """

    def __init__(self, record, name="agent", rev=41):
        """Start with an empty list."""
        self.record, self.name, self.rev = record, name, rev
        self.targets, self.changes = {}, []
        self.is_down = False
        self.wakers = set()
        self.writers = set()

    async def start(self):
        """Listen."""
        self.server, self.port = await start_server(self._serve)
        self.address = f"{HOST}:{self.port}"

    def set_target(self, leaf, state="Ready", boot_ms=0):
        """Put a leaf in the list without a change."""
        self.targets[leaf.name] = leaf.target(state, boot_ms)

    def listing(self, whole=True, targets=None, rev=None):
        """Return a list in discovery's form."""
        entries = list(self.targets.values()) if targets is None else targets
        return {"rev": self.rev if rev is None else rev, "all": whole, "targets": entries}

    def tell(self, *targets):
        """Publish a change."""
        self.rev += 1
        for target in targets:
            if target["state"] == "Gone":
                self.targets.pop(target["uid"], None)
            else:
                self.targets[target["uid"]] = target
            self.record.write(
                self.name, "has", rev=self.rev, leaf=target["uid"], state=target["state"]
            )
        self.changes.append((self.rev, targets))
        self.wake()

    def wake(self):
        """Let the open watches go on."""
        for event in self.wakers:
            event.set()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        woken = asyncio.Event()
        self.wakers.add(woken)
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            target = head.split(b" ")[1].decode()
            self.record.write(self.name, "asked", target=target)
            while self.is_down:
                await asyncio.sleep(0.01)
            asked = int(target.partition("index=")[2] or 0)
            if "stream=1" not in target:
                body = json.dumps(self.listing()).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
                return
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            sent = asked
            oldest = self.changes[0][0] - 1 if self.changes else self.rev
            if not oldest <= asked <= self.rev:
                sent = self.rev
                self._send(writer, self.listing())
            while True:
                for rev, targets in self.changes:
                    if rev > sent:
                        sent = rev
                        self._send(writer, self.listing(False, targets, rev))
                woken.clear()
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(woken.wait(), HEARTBEAT_S)
                while self.is_down:
                    await asyncio.sleep(0.01)
                writer.write(b"1\r\n\n\r\n")
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.wakers.discard(woken)
            self.writers.discard(writer)
            writer.close()

    def _send(self, writer, listing):
        data = json.dumps(listing).encode() + b"\n"
        writer.write(b"%x\r\n" % len(data) + data + b"\r\n")
        states = ",".join(f"{t['uid']}={t['state']}" for t in listing["targets"])
        self.record.write(self.name, "sent", rev=listing["rev"], all=listing["all"], targets=states)


def encode_frame(letter, rest):
    """Return a frame."""
    return struct.pack("<I", 1 + len(rest)) + letter + rest


def value_of(predicate, shard):
    """Return the value that every leaf gives for a part: 16 hex digits, as on the protocol page."""
    import hashlib

    return hashlib.blake2b(f"{predicate}/{shard}".encode(), digest_size=8).hexdigest()


class Leaf:
    """A leaf. It answers each part `good` after `work_s`, in a task of its own.

    `answer`: an async function (leaf, writer, wire_id, shard, text) that answers in its place;
    `is_hanging`: it reads and answers nothing.
    """

    def __init__(self, record, name, cell, work_s=0.02, zone="a"):
        """Create a leaf that does not listen yet."""
        self.record, self.name, self.cell, self.work_s, self.zone = (
            record,
            name,
            cell,
            work_s,
            zone,
        )
        self.is_hanging = False
        self.answer = Leaf.answer_good
        self.parts = []  # (time, wire id, options) of each part that came whole
        self.given_up = []  # (time, wire id)
        self.writers = set()

    async def start(self):
        """Listen."""
        self.server, self.port = await start_server(self._serve)

    def target(self, state="Ready", boot_ms=0):
        """Return its entry in a list."""
        return {
            "uid": self.name,
            "endpoint": f"{HOST}:{self.port}",
            "az": self.zone,
            "model": "m2",
            "pod_group": self.cell,
            "state": state,
            "capacity_hint": 1.0,
            "boot_ms": boot_ms,
        }

    async def answer_good(self, writer, wire_id, shard, text):
        """Answer a part as a sound leaf."""
        await asyncio.sleep(self.work_s)
        await self.wait_while_hanging()
        self.write_answer(writer, wire_id, "good", value_of(text, shard))

    async def wait_while_hanging(self):
        """Wait until it goes on."""
        while self.is_hanging:
            await asyncio.sleep(0.005)

    def write_answer(self, writer, wire_id, end, value):
        """Write an answer's frame."""
        rest = f"{wire_id} {end} 1840277719 inflight=1\n{value}".encode()
        if not writer.is_closing():
            writer.write(encode_frame(b"q", rest))
            self.record.write(self.name, "answered", id=wire_id, end=end, value=value)

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        tasks = set()
        self.record.write(self.name, "connection accepted")
        try:
            while True:
                length = struct.unpack("<I", await reader.readexactly(4))[0]
                frame = await reader.readexactly(length)
                await self.wait_while_hanging()
                letter, rest = frame[:1], frame[1:]
                if letter == b"n":
                    self.given_up.append((self.record.now_s(), rest.decode()))
                    self.record.write(self.name, "part given up", id=rest.decode())
                while letter == b"m" and rest:
                    line, _, rest = rest.partition(b"\n")
                    wire_id, shard, options, size = line.decode().split(" ")
                    text, rest = rest[: int(size)].decode(), rest[int(size) :]
                    self.parts.append((self.record.now_s(), wire_id, options))
                    self.record.write(self.name, "part came", id=wire_id, list=options)
                    task = asyncio.create_task(self.answer(self, writer, wire_id, int(shard), text))
                    tasks.add(task)
                    task.add_done_callback(tasks.discard)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            self.record.write(self.name, "connection ended")
        finally:
            self.writers.discard(writer)
            writer.close()


class Root:
    """A root as a process, started by `run` of deploy/balancer.toml."""

    def __init__(self, record, folder, agent, settings, name="n0", sockets=256, memory_mb=192):
        """Write its configuration; nothing runs yet."""
        self.record, self.name = record, name
        self.port = free_port()
        self.address = f"{HOST}:{self.port}"
        self.config_path = Path(folder) / f"{name}.json"
        self.log_path = Path(folder) / f"{name}.log"
        self.known = agent.listing()
        self.settings = settings
        self.limits = {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets}
        self.process = None
        self.configure(agent.address)

    def configure(self, discovery):
        """Write the configuration file, with this discovery address."""
        self.discovery = discovery
        config = {
            "name": self.name,
            "listen": self.address,
            "discovery": discovery,
            "seed": secrets.token_hex(8),
            "limits": self.limits,
            "known": self.known,
            "settings": self.settings,
        }
        new = self.config_path.with_suffix(".new")
        new.write_text(json.dumps(config))
        new.replace(self.config_path)

    async def start(self):
        """Start the process, without waiting until it is ready."""
        with open(REPOSITORY / "deploy" / "balancer.toml", "rb") as file:
            command = tomllib.load(file)["run"]
        self.log = self.log_path.open("ab")
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh",
            "-c",
            command,
            cwd=REPOSITORY,
            env=os.environ
            | {
                "BALANCER_NAME": self.name,
                "BALANCER_LISTEN": self.address,
                "BALANCER_DISCOVERY": self.discovery,
                "BALANCER_CONFIG": str(self.config_path),
            },
            stdout=self.log,
            stderr=self.log,
        )
        self.record.write(self.name, "started", command=repr(command))

    async def wait_until_ready(self, timeout_s=30.0):
        """Wait until `GET /-/ready` answers 200; raise TimeoutError."""
        async with asyncio.timeout(timeout_s):
            while True:
                with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                    client = await Client.connect(self.record, self.address, "front")
                    status, _ = await client.get("/-/ready")
                    client.close()
                    if status == 200:
                        self.record.write("front", "root is ready", root=self.name)
                        return
                await asyncio.sleep(0.05)

    def signal(self, number):
        """Send the process a signal."""
        self.record.write("platform", "signal", root=self.name, signal=signal.Signals(number).name)
        self.process.send_signal(number)

    async def stop(self):
        """Kill the process, if it still runs, and wait for its end."""
        if self.process is not None:
            with contextlib.suppress(ProcessLookupError):
                self.process.kill()
            await self.process.wait()
            self.log.close()

    @property
    def is_running(self):
        """Whether the process has not ended."""
        return self.process.returncode is None


class Client:
    """A client's connection to a root."""

    def __init__(self, record, name, reader, writer):
        """Use `connect`."""
        self.record, self.name, self.reader, self.writer = record, name, reader, writer

    @classmethod
    async def connect(cls, record, address, name="client"):
        """Connect to a root."""
        host, port = address.split(":")
        return cls(record, name, *await asyncio.open_connection(host, int(port)))

    async def get(self, path):
        """Return the status and body of a GET."""
        self.writer.write(f"GET {path} HTTP/1.1\r\nHost: api.internal\r\n\r\n".encode())
        return await self.read_answer()

    def send(self, request_id, class_name, shards, timeout_ms, key=None, predicate="c41e77d0"):
        """Send a query for these shards, in equal portions."""
        body = json.dumps(
            {
                "ranges": [{"range": s, "portion": 1 / len(shards)} for s in shards],
                "predicate": predicate,
            }
        )
        head = [
            "POST /api?sid=7f3a9c21e0b4d655 HTTP/1.1",
            "Host: api.internal",
            f"X-Request-ID: {request_id}",
            f"X-Priority-Class: {class_name}",
            "X-Tenant-Id: acme",
            f"X-Timeout-Ms: {timeout_ms}",
        ]
        if key is not None:
            head.append(f"Idempotency-Key: {key}")
        head.append(f"Content-Length: {len(body)}")
        self.writer.write(("\r\n".join(head) + "\r\n\r\n" + body).encode())
        self.record.write(
            self.name,
            "sent",
            id=request_id,
            class_name=class_name,
            shards=shards,
            timeout_ms=timeout_ms,
        )

    async def read_answer(self):
        """Return (status, body); raise OSError or IncompleteReadError if the connection ends."""
        head = (await self.reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        status = int(head.split(" ")[1])
        length = next(
            int(line.split(":")[1])
            for line in head.split("\r\n")
            if line.lower().startswith("content-length:")
        )
        body = await self.reader.readexactly(length)
        self.record.write(self.name, "got", status=status, body=body.decode("latin-1")[:200])
        return status, body

    def close(self):
        """Close the connection."""
        self.writer.close()


def request_id():
    """Return a fresh request id."""
    return secrets.token_hex(8)


def settings(lanes, cells=4, reach=2, shards=8, balancers=1, **changes):
    """Return the settings of a small deployment.

    `lanes`: (name, semantics, aim in ms, deadline in ms, late worth, repeat window in ms) each.
    """
    count = len(lanes)
    found = {
        "areas": ["a"],
        "balancers": balancers,
        "me": 0,
        "zone": "a",
        "stepUs": 5000,
        "stage": 0,
        "stages": ["root"],
        "serviceType": "fanout",
        "skus": ["m2"],
        "discovery": "automatic",
        "weightSource": "off",
        "worthBy": "request",
        "overShareWorth": 0.05,
        "clients": {"marksRetry": True},
        "familyInfo": {
            "positions": cells,
            "reach": reach,
            "slabs": shards,
            "perCall": 16,
            "perCallWorkUs": 3000,
            "wholeAt": [1.0] * count,
            "floorByClass": [1.0] * count,
            "classPartial": [0.9] * count,
            "secondStep": [0] * count,
            "warmKeys": False,
        },
        "lanes": [
            {
                "name": name,
                "semantics": semantics,
                "aimUs": aim_ms * 1000,
                "deadlineUs": deadline_ms * 1000,
                "lateWorth": late_worth,
                "worth": 1.0,
                "group": "all",
                "streamed": False,
                "repeatWindowUs": window_ms * 1000,
            }
            for name, semantics, aim_ms, deadline_ms, late_worth, window_ms in lanes
        ],
        "limits": {
            "cancel": True,
            "probes": True,
            "peerMessages": False,
            "mayDuplicate": False,
            "maxAttempts": 3,
            "retryAfter": True,
            "maxRetryAfterUs": 500_000,
            "dialTimeoutUs": 250_000,
            "multiplex": 32,
            "idleCloseUs": 15_000_000,
            "openCap": 400,
            "cpuUsPerS": 400_000,
            "cpuUsPerRequest": 0.0,
        },
        "rules": {
            "answerSlackUs": 20_000,
            "coldFrom": 0.2,
            "rampTimeUs": 10_000_000,
            "fallMultiple": 2.0,
            "fallUs": 2_000_000,
            "drainGraceUs": 250_000,
            "mustAskInUs": 10_000_000,
        },
        "stats": {"names": ["outstanding"], "source": "inline"},
        "tenants": [{"name": "acme", "allowancePerS": 1000.0, "fraction": 1.0}],
        "prices": {},
        "goal": {"whole": 1.0},
    }
    for name, value in changes.items():
        found[name] = found[name] | value if isinstance(found.get(name), dict) else value
    return found


class CouldNotRunError(Exception):
    """The case could not run, whatever the root does."""


def main(case, folder):
    """Run `case(record, folder, has_trouble)`, which returns whether the rule held; exit with 1
    if it was broken, 0 if it held, 2 if the case could not run.

    The case's temporary folder is removed at the end; a root's log is kept in the record.
    """
    record = Record(folder)
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    temporary = tempfile.mkdtemp(prefix="review-")
    status = 2
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))  # runs the case's clean-up

    async def run():
        async with asyncio.timeout(110):
            return await case(record, temporary, has_trouble)

    try:
        held = asyncio.run(run())
        status = 0 if held else 1
        record.write("judge", "rule held" if held else "RULE BROKEN", trouble=has_trouble)
    except Exception as error:  # also a defect of the case itself must not look like a broken rule
        record.write("judge", "could not run", error=repr(error))
    finally:
        for log in sorted(Path(temporary).glob("*.log")):
            record.file.write(f"---- the log of {log.stem}\n{log.read_text(errors='replace')}")
        record.file.close()
        shutil.rmtree(temporary, ignore_errors=True)
    print((Path(folder) / "record.txt").read_text(errors="replace")[-1500:], file=sys.stderr)
    sys.exit(status)
