"""Process clients' input in quanta, in turn, for a bounded time in each pass of the event loop.

Input is processed at once while time is left and no other client waits, as it does in ordinary
traffic. The rest is queued, and a task processes it in later passes, between which sockets are
polled, due answers are sent and deadlines are enforced. The order and the time are decided by
`decisions.client_input`.
"""

from collections.abc import Callable
from time import perf_counter

import trio

from mothnotch.decisions.client_input import InputQueue, InputTime
from mothnotch.net import LoopMonitor


class InputScheduler:
    """The clients of a frontend whose input waits to be processed.

    `run_quantum(client)` processes one quantum and returns whether more input can be processed.
    """

    def __init__(self, loop_monitor: LoopMonitor, run_quantum: Callable):
        """`loop_monitor` records the quanta, by the phase in which the client's input is."""
        self._loop_monitor = loop_monitor
        self._run_quantum = run_quantum
        self._queue = InputQueue()
        self._added = trio.Event()
        self._time = InputTime()

    async def run(self):
        """Process the queued input until cancelled."""
        while True:
            if self._queue:
                await trio.lowlevel.checkpoint()
            else:
                self._added = trio.Event()
                await self._added.wait()
            self._time.renew()
            while self._queue and self._time.is_left(trio.current_time()):
                self._process_next()

    def process(self, client):
        """Process a client's input, or queue it if the time for input is used up."""
        if client.is_queued:
            return
        had_quantum = False
        while not self._queue and self._time.is_left(trio.current_time()):
            if not self._measure_quantum(client):
                return
            had_quantum = client.is_within_request
        client.on_queued()
        self._queue.add(client, had_quantum)
        self._added.set()

    def _process_next(self):
        client = self._queue.pop()
        if not client.is_closed and self._measure_quantum(client):
            self._queue.add(client, client.is_within_request)
        else:
            client.on_dequeued()

    def _measure_quantum(self, client):
        kind = f"client {client.input_phase}"
        started_s = trio.current_time()
        recorded_from_s = perf_counter()
        has_more = self._run_quantum(client)
        self._time.add(started_s, trio.current_time())
        self._loop_monitor.record(kind, recorded_from_s)
        return has_more
