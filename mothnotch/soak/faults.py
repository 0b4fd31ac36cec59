"""Injection of the drawn faults into the processes of a soak."""

import math
import signal
import time

import trio

from mothnotch.soak import plan, records
from mothnotch.soak.settings import CELLS, REACH

RESTART_NOTICE_DELAY_S = 0.3
START_SIGNAL_WINDOW_S = 0.4  # a starting root is sent signals within this time


class FaultInjector:
    """Injects faults into the processes of `soak`, a mothnotch.soak.run.Soak."""

    def __init__(self, soak):
        """Inject nothing yet."""
        self.soak = soak

    async def inject_fault(self, fault):
        """Inject a fault of the schedule, and return once it is over."""
        handlers = {
            "stop root": lambda: self.stop_root(fault.target, True),
            "kill root": lambda: self.kill_root(fault.target),
            "kill root in series": lambda: self.kill_root_in_series(
                fault.target, **fault.parameters
            ),
            "hold root": lambda: self.suspend_root(fault.target, **fault.parameters),
            "signal root": lambda: self.signal_root(fault.target, **fault.parameters),
            "reload root": lambda: self.reload_root(fault.target, **fault.parameters),
            "step wall": lambda: self.step_wall_clock(fault.target, **fault.parameters),
            "fail calls": lambda: self.fail_calls(fault.target, **fault.parameters),
            "short io": lambda: self.short_io(fault.target, **fault.parameters),
            "restart leaf": lambda: self.restart_leaf(fault.target, **fault.parameters),
            "drain leaf": lambda: self.drain_leaf(fault.target, **fault.parameters),
            "drain during restart": lambda: self.drain_during_restart(
                fault.target, **fault.parameters
            ),
            "stop during hang": lambda: self.stop_during_hang(fault.target, **fault.parameters),
        }
        if fault.kind in handlers:
            await handlers[fault.kind]()
        elif fault.kind in ("hang leaf", "leaf mood", "close idle", "reset leaf"):
            if fault.kind == "hang leaf":
                self.record_leaf_fault(fault.target, fault.parameters["s"])
            command = {
                "hang leaf": "hang",
                "leaf mood": "mood",
                "close idle": "close_idle",
                "reset leaf": "reset",
            }[fault.kind]
            self.soak.leaves[fault.target].send_command(do=command, **fault.parameters)
        elif fault.kind.endswith("route"):
            self.record_leaf_fault(fault.target, fault.parameters.get("s", self.soak.length_s))
            self.soak.proxy.send_command(
                do=fault.kind.split()[0], leaf=f"s{fault.target}", **fault.parameters
            )
        elif fault.kind == "silence watch":
            self.soak.discovery.send_command(do="silence", root=fault.target)
        elif fault.kind == "drop watches":
            self.soak.discovery.send_command(do="drop")
        else:
            self.soak.discovery.send_command(do="down", **fault.parameters)

    def record_leaf_fault(self, leaf, s):
        """Record that a leaf or its route may delay messages for `s` seconds."""
        self.soak.event_log.write("leaf trouble", leaf=f"s{leaf}", s=s)

    async def stop_root(self, number, restart, series=("TERM",), gap_s=0.0):
        """Send signals, SIGTERM among them; kill the root if it does not end in time after that."""
        root = self.soak.current_processes[number]
        if root is None or root.process.poll() is not None:
            return
        if root not in self.soak.ready_processes:
            root.killed = True  # excused: a starting root may see SIGTERM too late to end in time
        self.soak.current_processes[number] = None
        kill_after_s = plan.kill_delay_s(self.soak.deployment)
        kill_at_s = math.inf
        for name in series:
            if name == "TERM" and kill_at_s == math.inf:
                self.soak.event_log.write("stopping", root=number)
                kill_at_s = trio.current_time() + kill_after_s
            self.send_signal(root, name)
            await trio.sleep(gap_s)
        with trio.move_on_at(kill_at_s):
            while root.process.poll() is None:
                await trio.sleep(0.01)
        if root.process.poll() is None:
            root.process.kill()  # it should have ended by itself, so this is reported as a crash
            root.process.wait()
        root.record_end()
        if restart:
            self.soak.start_root(number)
            await self.soak.wait_until_ready(number)

    async def signal_root(self, number, series, gap_s, at_start):
        """Send a series of signals to a serving root, or to one that has just been started."""
        if self.soak.current_processes[number] is None:
            return
        if at_start:
            await self.stop_root(number, False)
            self.soak.start_root(number)
            with trio.move_on_after(START_SIGNAL_WINDOW_S):
                while not self.soak.current_processes[number].catches_signals():
                    await trio.sleep(0.001)
            await trio.sleep(self.soak.random.uniform(0, START_SIGNAL_WINDOW_S))
        if "TERM" in series:
            await self.stop_root(number, True, series, gap_s)
            return
        root = self.soak.current_processes[number]
        if root is None or root.process.poll() is not None:
            return
        if not at_start and root not in self.soak.ready_processes:
            return  # SIGHUP ends a process that has not installed its handlers yet
        for name in series:
            self.soak.agent_index[number] = 1 - self.soak.agent_index[number]
            self.soak.write_config(number)
            self.send_signal(root, name)
            await trio.sleep(gap_s)
        if root not in self.soak.ready_processes:
            await self.soak.wait_until_ready(number)

    def send_signal(self, root, name):
        """Send a signal to a root process, and record a reload of its configuration."""
        if name == "HUP":
            self.soak.event_log.write("reloaded", root=root.number)
        root.process.send_signal(getattr(signal, f"SIG{name}"))

    async def kill_root(self, number):
        """Kill a root with SIGKILL, and start it anew."""
        if not self._kill(number):
            return
        await trio.sleep(0.2)
        self.soak.start_root(number)
        await self.soak.wait_until_ready(number)

    async def kill_root_in_series(self, number, up_s, down_s):
        """Kill a root, start it anew, kill it soon after that, and start it again."""
        for _ in range(2):
            if not self._kill(number):
                return
            await trio.sleep(down_s)
            self.soak.start_root(number)
            await trio.sleep(up_s)
        await self.soak.wait_until_ready(number)

    def _kill(self, number):
        """Kill a root with SIGKILL; return whether it was running."""
        root = self.soak.current_processes[number]
        if root is None or root.process.poll() is not None:
            return False
        self.soak.current_processes[number], root.killed = None, True
        killed_at = records.now()
        root.process.kill()
        root.process.wait()
        root.record_end(killed_at)
        return True

    async def suspend_root(self, number, s):
        """Stop a root with SIGSTOP for `s` seconds."""
        root = self.soak.current_processes[number]
        if root is None or root.process.poll() is not None:
            return
        self.soak.event_log.write("held", root=number, s=s)
        root.process.send_signal(signal.SIGSTOP)
        await trio.sleep(s)
        root.process.send_signal(signal.SIGCONT)

    async def reload_root(self, number, half=False, again_after_s=None):
        """Have a root read a configuration that names its other agent."""
        root = self.soak.current_processes[number]
        if root is None or root.process.poll() is not None or root not in self.soak.ready_processes:
            return  # a root that is not ready yet is never reloaded
        self.soak.agent_index[number] = 1 - self.soak.agent_index[number]
        if half:
            self.soak.write_config(number, complete=False)
            self.send_signal(root, "HUP")
            await trio.sleep(0.1)
        self.soak.write_config(number)
        self.send_signal(root, "HUP")
        if again_after_s is not None:
            await trio.sleep(again_after_s)
            await self.reload_root(number)

    async def step_wall_clock(self, number, s, stamps):
        """Step a root's wall clock, and its kernel time stamps with `stamps`."""
        self.soak.controls[number].step_wall_clock(s, stamps)

    async def fail_calls(self, number, call, share, s):
        """Make a share of one kind of system call fail for `s` seconds."""
        self.soak.controls[number].fail_at_random(call, share)
        await trio.sleep(s)
        self.soak.controls[number].fail_at_random(call, 0)

    async def short_io(self, number, share, s):
        """Make a share of reads and writes transfer only a few bytes for `s` seconds."""
        self.soak.controls[number].short_io(share)
        await trio.sleep(s)
        self.soak.controls[number].short_io(0)

    async def restart_leaf(self, leaf, down_s):
        """Kill a leaf, start it after `down_s`, and have discovery tell its start."""
        self.soak.event_log.write("leaf killed", leaf=f"s{leaf}")
        self.soak.leaves[leaf].kill()
        await trio.sleep(down_s)
        self.soak.leaf_incarnations[leaf] += 1
        self.soak.boot_ms[leaf] = int(time.time() * 1000)
        self.soak.start_leaf(leaf)
        self.soak.event_log.write("leaf started", leaf=f"s{leaf}")
        await trio.sleep(RESTART_NOTICE_DELAY_S)
        self.soak.discovery.send_command(do="tell", targets=[self.soak.discovery_target(leaf)])

    async def drain_during_restart(self, number, leaf, s, answer_after_s):
        """Kill a root, and have a leaf begin to drain before the root runs again."""
        root = self.soak.current_processes[number]
        if root is None or root.process.poll() is not None:
            return
        async with trio.open_nursery() as nursery:
            self.soak.discovery.send_command(do="slow", root=number, s=answer_after_s)
            nursery.start_soon(self.kill_root, number)
            await trio.lowlevel.checkpoint()
            nursery.start_soon(self.drain_leaf, leaf, s)

    async def stop_during_hang(self, number, cell, before_s, s):
        """Have all replicas of a shard hang for `s` seconds, and stop a root after `before_s`."""
        cells = [(cell + offset) % CELLS for offset in range(REACH)]
        for leaf in range(self.soak.deployment.leaves):
            if leaf % CELLS in cells:
                self.record_leaf_fault(leaf, s)
                self.soak.leaves[leaf].send_command(do="hang", s=s)
        await trio.sleep(before_s)
        await self.stop_root(number, True)

    async def drain_leaf(self, leaf, s):
        """Have a leaf drain for `s` seconds."""
        self.soak.discovery.send_command(
            do="tell", targets=[self.soak.discovery_target(leaf, "Terminating")]
        )
        await trio.sleep(s)
        self.soak.discovery.send_command(do="tell", targets=[self.soak.discovery_target(leaf)])
