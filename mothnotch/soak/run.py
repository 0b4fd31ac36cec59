"""Run soaks: start roots, leaves, a proxy, discovery and clients as processes on loopback, inject
the drawn faults, and check the recorded history.

    python -m mothnotch.soak.run --seeds 1-20

prints one line per soak with the rules that were violated, and exits with status 1 if there were
any. The folder of a soak that violated a rule is kept.
"""

import argparse
import contextlib
import dataclasses
import json
import pathlib
import random
import shutil
import sys
import tempfile

import trio

from mothnotch.decisions.resource_limits import MEGABYTE
from mothnotch.soak import judge, plan, records, settings, shim
from mothnotch.soak.faults import FaultInjector
from mothnotch.soak.processes import (
    HOST,
    Helper,
    ProcessMemory,
    RootProcess,
    free_ports,
    start_bad_clients,
)

LENGTH_S, FAULTS = 14.0, 16
KILOBYTE = 1024
MEMORY_INTERVAL_S = 0.05  # between two looks at the memory of the roots
CLIENTS_PER_ROOT, REQUEST_RATE = 2, 4.0
MACHINE_STALL_THRESHOLD_S = 0.25  # a sleep that ends this late shows that the machine stalled


class Soak:
    """One soak: its deployment, its schedule of faults and its processes."""

    def __init__(self, seed, folder, length_s, faults):
        self.seed, self.folder, self.length_s = seed, pathlib.Path(folder), length_s
        self.random = random.Random(seed)
        self.deployment = settings.draw_limits(
            random.Random(f"limits {seed}"), settings.draw_deployment(self.random)
        )
        self.faults = sorted(
            plan.draw_faults(self.random, self.deployment, length_s, faults)
            + plan.draw_drains_during_restarts(
                random.Random(f"drains during restarts {seed}"), self.deployment, length_s
            )
            + plan.draw_stops_during_hangs(
                random.Random(f"stops during hangs {seed}"), self.deployment, length_s
            )
            + plan.draw_wrong_lengths(
                random.Random(f"wrong lengths {seed}"), self.deployment, length_s
            )
            + plan.draw_kill_series(
                random.Random(f"kill series {seed}"), self.deployment, length_s
            ),
            key=lambda fault: fault.at_s,
        )
        self.chunked_load = plan.draw_chunked_load(
            random.Random(f"chunked load {seed}"), self.deployment, length_s
        )
        self.bad_clients = plan.draw_bad_clients(
            random.Random(f"bad clients {seed}"), self.deployment, length_s
        )
        self.insisting_clients = plan.draw_insisting_clients(
            random.Random(f"insisting clients {seed}")
        )
        self.most_memory = ProcessMemory()
        self.event_log = records.EventLog(folder, "soak")
        self.fault_injector = FaultInjector(self)
        deployment = self.deployment
        port_numbers = iter(free_ports(deployment.roots * 3 + deployment.leaves * 2))
        self.root_ports = [next(port_numbers) for _ in range(deployment.roots)]
        self.agent_ports = [
            (next(port_numbers), next(port_numbers)) for _ in range(deployment.roots)
        ]
        self.leaf_ports = [next(port_numbers) for _ in range(deployment.leaves)]
        self.route_ports = [next(port_numbers) for _ in range(deployment.leaves)]
        (
            self.root_processes,
            self.current_processes,
            self.ready_processes,
            self.leaf_incarnations,
        ) = [], {}, [], [0] * deployment.leaves
        self.machine_stall_s = 0.0
        self.bad_client_processes = []
        self.agent_index, self.boot_ms, self.controls = (
            [0] * deployment.roots,
            [0] * deployment.leaves,
            [],
        )

    def config_path(self, number):
        return self.folder / f"root{number}.json"

    def control_path(self, number):
        return self.folder / f"root{number}.control"

    def discovery_target(self, leaf, state="Ready"):
        return {
            "uid": f"s{leaf}",
            "endpoint": f"{HOST}:{self.route_ports[leaf]}",
            "az": "a",
            "pod_group": leaf % settings.CELLS,
            "state": state,
            "capacity_hint": 1.0,
            "boot_ms": self.boot_ms[leaf],
        }

    def write_config(self, number, complete=True):
        text = json.dumps(
            {
                "name": f"n{number}",
                "listen": f"{HOST}:{self.root_ports[number]}",
                "seed": f"{self.seed:x}{number}",
                "discovery": f"{HOST}:{self.agent_ports[number][self.agent_index[number]]}",
                "known": {
                    "rev": 40,
                    "all": True,
                    "targets": [
                        self.discovery_target(leaf) for leaf in range(self.deployment.leaves)
                    ],
                },
                "limits": {
                    "cores": 1,
                    "memory_mb": self.deployment.memory_mb,
                    "sockets": self.deployment.sockets,
                },
                "settings": self.deployment.settings(number),
            }
        )
        self.config_path(number).write_text(text if complete else text[: len(text) // 2])

    # ---- processes ----

    def start_leaf(self, leaf):
        deployment = self.deployment
        self.leaves[leaf] = Helper(
            "leaf",
            {
                "name": f"s{leaf}",
                "folder": str(self.folder),
                "port": self.leaf_ports[leaf],
                "streams": deployment.streams,
                "idle_s": deployment.idle_s,
                "stops": deployment.stops,
                "seed": self.seed * 100 + leaf,
                "life": self.leaf_incarnations[leaf],
            },
            self.helper_log,
        )

    def start_root(self, number):
        root = RootProcess(
            self, number, sum(other.number == number for other in self.root_processes)
        )
        self.event_log.write("root started", root=number)
        self.root_processes.append(root)
        self.current_processes[number] = root

    async def run(self):
        """Run the soak and return the Verdict."""
        deployment = self.deployment
        (self.folder / "shim").mkdir()
        shutil.copy(shim.__file__, self.folder / "shim" / "sitecustomize.py")
        self.helper_log = open(self.folder / "helpers.log", "wb")
        self.leaves = [None] * deployment.leaves
        for leaf in range(deployment.leaves):
            self.start_leaf(leaf)
        self.proxy = Helper(
            "proxy",
            {
                "folder": str(self.folder),
                "seed": self.seed,
                "routes": [
                    (f"s{leaf}", self.route_ports[leaf], self.leaf_ports[leaf])
                    for leaf in range(deployment.leaves)
                ],
            },
            self.helper_log,
        )
        self.discovery = Helper(
            "agent",
            {
                "folder": str(self.folder),
                "ports": self.agent_ports,
                "targets": [self.discovery_target(leaf) for leaf in range(deployment.leaves)],
            },
            self.helper_log,
        )
        for number in range(deployment.roots):
            self.write_config(number)
            control = shim.Control(self.control_path(number), create=True)
            control[shim.SEED] = self.seed * 10 + number
            self.controls.append(control)
            self.start_root(number)
        try:
            with trio.fail_after(30):
                for number in range(deployment.roots):
                    await self.wait_until_ready(number)
            await self.run_with_faults()
        finally:
            self.kill_all()
        return judge.check_history(self.read_events(), deployment)

    async def detect_machine_stalls(self):
        """Record spans in which the machine did not schedule even this idle process."""
        while True:
            due = records.now() + 0.02
            await trio.sleep(0.02)
            stall_s = records.now() - due
            if stall_s > MACHINE_STALL_THRESHOLD_S:
                self.machine_stall_s += stall_s
                self.event_log.write("machine stood still", s=stall_s)

    async def keep_to_memory(self):
        """Kill each root whose own memory exceeds its limit, as the platform does."""
        while True:
            await trio.sleep(MEMORY_INTERVAL_S)
            for root in filter(None, list(self.current_processes.values())):
                memory = root.memory()
                self.most_memory = self.most_memory.most(memory)
                if memory.own_kb * KILOBYTE > self.deployment.memory_mb * MEGABYTE:
                    self.event_log.write("memory exceeded", root=root.number, own_kb=memory.own_kb)
                    root.process.kill()

    async def run_bad_clients(self, began):
        """Run the bad clients for their part of the soak."""
        load = self.bad_clients
        await trio.sleep(max(0, began + load.begin_s - records.now()))
        self.event_log.write(
            "bad clients", root=load.root, what=load.kind, clients=load.clients, end_s=load.end_s
        )
        process = start_bad_clients(
            load.kind,
            f"{HOST}:{self.root_ports[load.root]}",
            load.clients,
            load.end_s - load.begin_s,
            self.helper_log,
        )
        self.bad_client_processes.append(process)

    def chunked_load_options(self, number, began):
        """Return the chunked load for the clients of a root, None if another root has it."""
        load = self.chunked_load
        if number != load.root:
            return None
        return {
            "clients": load.clients,
            "chunk_bytes": load.chunk_bytes,
            "begin": began + load.begin_s,
            "end": began + load.end_s,
        }

    async def run_with_faults(self):
        began = records.now()
        clients = [
            Helper(
                "client",
                {
                    "folder": str(self.folder),
                    "name": f"c{number}{n}",
                    "root": number,
                    "rate": REQUEST_RATE,
                    "port": self.root_ports[number],
                    "until": began + self.length_s - 1,
                    "deadline_s": self.deployment.deadline_s,
                    "seed": self.seed * 1000 + number * 10 + n,
                    "idle": self.deployment.sockets // (2 * CLIENTS_PER_ROOT)
                    if self.deployment.crowd
                    else 0,
                    "chunked_load": self.chunked_load_options(number, began) if n == 0 else None,
                    "insisting": self.insisting_clients if n == 0 else 0,
                },
                self.helper_log,
            )
            for number in range(self.deployment.roots)
            for n in range(CLIENTS_PER_ROOT)
        ]
        async with trio.open_nursery() as self.nursery:
            self.nursery.start_soon(self.detect_machine_stalls)
            self.nursery.start_soon(self.keep_to_memory)
            self.nursery.start_soon(self.run_bad_clients, began)
            for fault in self.faults:
                await trio.sleep(max(0, began + fault.at_s - records.now()))
                self.event_log.write(
                    "fault", what=fault.kind, whom=fault.target, **fault.parameters
                )
                self.nursery.start_soon(self.fault_injector.inject_fault, fault)
            await trio.sleep(max(0, began + self.length_s - records.now()))
            with trio.move_on_after(8):
                while any(client.process.poll() is None for client in clients):
                    await trio.sleep(0.05)
            for client in clients:
                client.kill()
            for control in self.controls:
                control.clear_failures()
            async with trio.open_nursery() as nursery:
                for number in range(self.deployment.roots):
                    nursery.start_soon(self.fault_injector.stop_root, number, False)
            self.nursery.cancel_scope.cancel()

    def kill_all(self):
        for root in self.root_processes:
            if root.process.poll() is None:
                root.killed = True
                root.process.kill()
            root.process.wait()
        for helper in [*self.leaves, self.proxy, self.discovery]:
            helper.kill()
        for process in self.bad_client_processes:
            process.kill()
            process.wait()
        self.helper_log.close()
        for root in self.root_processes:
            self.event_log.write(
                "root ended",
                root=root.number,
                status=root.process.returncode,
                killed=root.killed,
            )

    def read_events(self):
        events = records.load_events(self.folder)
        for root in self.root_processes:
            events += root.read_events()
        return sorted(events, key=lambda event: event["t"])

    async def wait_until_ready(self, number):
        """Wait until the readiness endpoint of a root answers 200."""
        root = self.current_processes[number]
        while root is not None and root.process.poll() is None:
            with contextlib.suppress(OSError, trio.BrokenResourceError):
                stream = await trio.open_tcp_stream(HOST, self.root_ports[number])
                async with stream:
                    await stream.send_all(
                        b"GET /-/ready HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
                    )
                    if (await stream.receive_some(1024)).startswith(b"HTTP/1.1 200"):
                        self.event_log.write("serving", root=number)
                        self.ready_processes.append(root)
                        return
            await trio.sleep(0.05)


def run_soak(seed, length_s, faults, keep):
    """Run one soak and return (soak, verdict); keep its folder if a rule was violated."""
    folder = tempfile.mkdtemp(prefix=f"soak{seed}.", dir=keep)
    soak = Soak(seed, folder, length_s, faults)
    verdict = trio.run(soak.run)
    if verdict.violations:
        (pathlib.Path(folder) / "broken.json").write_text(
            json.dumps(verdict.violations, indent=1, default=str)
        )
    else:
        shutil.rmtree(folder)
    return soak, verdict


def parse_seeds(text):
    """Return the seeds of a text such as "3" or "1-20"."""
    first, _, last = text.partition("-")
    return range(int(first), int(last or first) + 1)


def main():
    parser = argparse.ArgumentParser(description="randomized fault soak of real root processes")
    parser.add_argument("--seeds", type=parse_seeds, default=parse_seeds("1"))
    parser.add_argument("--length", type=float, default=LENGTH_S)
    parser.add_argument("--faults", type=int, default=FAULTS)
    parser.add_argument(
        "--keep",
        default=tempfile.gettempdir(),
        help="folder for the records of soaks that broke a rule",
    )
    parser.add_argument("--json", help="file to which one JSON line per soak is appended")
    options, failed, answered = parser.parse_args(), 0, 0
    try:
        pathlib.Path(options.keep).mkdir(parents=True, exist_ok=True)
    except OSError as error:
        parser.error(f"--keep {options.keep}: {error.strerror}")
    for seed in options.seeds:
        soak, verdict = run_soak(seed, options.length, options.faults, options.keep)
        failed += bool(verdict.violations)
        answered += verdict.counts[200]
        rules = sorted({rule for rule, _ in verdict.violations})
        print(
            f"seed {seed}: {soak.deployment.roots} roots, {soak.deployment.leaves} leaves, "
            f"{soak.deployment.streams} parts a connection; "
            f"{soak.bad_clients.clients} x {soak.bad_clients.kind}, "
            f"{soak.insisting_clients} insisting{', crowd' * soak.deployment.crowd}; "
            f"{soak.deployment.sockets} descriptors; "
            f"{soak.most_memory.own_kb * KILOBYTE / MEGABYTE:.1f} of "
            f"{soak.deployment.memory_mb} MB, resident "
            f"{soak.most_memory.resident_kb * KILOBYTE / MEGABYTE:.1f}; "
            f"{dict(verdict.counts)}; excused {dict(verdict.excused)}; "
            + (
                f"the machine stalled for {soak.machine_stall_s:.1f} s; "
                if soak.machine_stall_s
                else ""
            )
            + (f"BROKEN {rules}: {soak.folder}" if rules else "none broken"),
            flush=True,
        )
        if options.json:
            with open(options.json, "a") as json_file:
                json_file.write(
                    json.dumps(
                        {
                            "seed": seed,
                            "deployment": dataclasses.asdict(soak.deployment),
                            "faults": [f.kind for f in soak.faults],
                            "counts": verdict.counts,
                            "excused": verdict.excused,
                            "broken": verdict.violations,
                        },
                        default=str,
                    )
                    + "\n"
                )
    print(f"{len(options.seeds)} soaks, {answered} answered, {failed} broke a rule")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
