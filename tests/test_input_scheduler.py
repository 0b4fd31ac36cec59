"""The order in which clients' input is processed, and the time that it takes in one pass."""

from dataclasses import dataclass

import pytest
import trio
import trio.testing

from mothnotch.decisions.client_input import INPUT_PASS_S, TURN_QUANTA, InputQueue
from mothnotch.net import LoopMonitor
from mothnotch.node.input_scheduler import InputScheduler
from tests.support.pass_counter import PassCounter


@dataclass(eq=False)
class FakeClient:
    """A client that needs a number of quanta."""

    quanta: int
    turn_quanta: int = 0
    is_queued: bool = False
    is_closed: bool = False
    input_phase: str = "chunks"
    is_within_request: bool = True

    def on_queued(self):
        self.is_queued = True

    def on_dequeued(self):
        self.is_queued = False


class SchedulerWorld:
    """A scheduler whose quanta each take a time on a virtual clock."""

    def __init__(self, clock, quantum_s):
        self.clock, self.quantum_s = clock, quantum_s
        self.order = []
        self.monitor = PassCounter()
        self.scheduler = InputScheduler(LoopMonitor(), self.run_quantum)

    def run_quantum(self, client):
        self.order.append((self.monitor.passes, client))
        self.clock.jump(self.quantum_s)
        client.quanta -= 1
        return client.quanta > 0


def run_scheduler(test, quantum_s=0.001):
    clock = trio.testing.MockClock()

    async def main():
        world = SchedulerWorld(clock, quantum_s)
        trio.lowlevel.add_instrument(world.monitor)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(world.scheduler.run)
            await test(world)
            while world.scheduler._queue:
                await trio.lowlevel.checkpoint()
            nursery.cancel_scope.cancel()
        return world

    return trio.run(main, clock=clock)


@pytest.mark.parametrize("quantum_s", [0.0004, 0.001, 0.003, 0.02])
def test_quanta_of_one_pass_take_no_longer_than_its_time_and_one_quantum(quantum_s):
    """Guards against due answers that wait for the input of many clients (review/3)."""

    async def test(world):
        for _ in range(85):
            world.scheduler.process(FakeClient(10))

    world = run_scheduler(test, quantum_s)
    assert len(world.order) == 850
    for number in range(world.monitor.passes + 1):
        quanta = sum(found == number for found, _ in world.order)
        assert quanta * quantum_s <= INPUT_PASS_S + quantum_s + 1e-9


def test_short_input_is_processed_at_once_while_no_client_waits():
    """Guards against a pass of delay, and a task's wake-up, for each ordinary request."""

    async def test(world):
        clients = [FakeClient(1) for _ in range(5)]
        for client in clients:
            world.scheduler.process(client)
        assert [client for _, client in world.order] == clients

    run_scheduler(test)


def test_a_new_client_gets_its_quantum_soon_however_many_wait_for_more():
    """Guards against a short request that waits behind 24 long ones."""
    short = FakeClient(1)

    async def test(world):
        for _ in range(24):
            world.scheduler.process(FakeClient(100))
        for _ in range(30):
            await trio.lowlevel.checkpoint()
        world.scheduler.process(short)
        world.asked_pass = world.monitor.passes

    world = run_scheduler(test)
    (served_pass,) = [number for number, client in world.order if client is short]
    assert served_pass - world.asked_pass <= 1


def test_turns_end_so_that_no_client_keeps_the_others_waiting():
    """Guards against a client without end of input that takes the share of the others."""
    endless, others = FakeClient(10_000), [FakeClient(3) for _ in range(3)]

    async def test(world):
        for client in [endless, *others]:
            world.scheduler.process(client)

    world = run_scheduler(test)
    order = [client for _, client in world.order]
    last_other = max(at for at, client in enumerate(order) if client is not endless)
    assert last_other <= INPUT_PASS_S / world.quantum_s + TURN_QUANTA + 4 * 3 + 1


def test_a_client_that_waited_for_the_rest_of_its_request_resumes_its_turn():
    """Guards against many large requests that are all late, as each loses its turn while the
    network delivers the rest of it.
    """
    queue, first, second = InputQueue(), FakeClient(0), FakeClient(0)
    for client in (first, second):
        queue.add(client, had_quantum=True)
    assert queue.pop() is first
    queue.add(first, had_quantum=False)
    assert queue.pop() is first
    queue.add(first, had_quantum=False)
    first.turn_quanta = TURN_QUANTA
    assert queue.pop() is first
    queue.add(first, had_quantum=True)
    assert queue.pop() is second


def test_a_pipelined_request_does_not_wait_for_the_turns_of_those_within_requests():
    """Guards against a further request of a client that waits as if it were the rest of a large
    one, behind the turns of all clients with large requests (review/8).
    """
    pipelining = FakeClient(3, is_within_request=False)

    async def test(world):
        for _ in range(120):
            world.scheduler.process(FakeClient(TURN_QUANTA))
        for _ in range(30):
            await trio.lowlevel.checkpoint()
        world.scheduler.process(pipelining)
        world.asked_pass = world.monitor.passes

    world = run_scheduler(test)
    served_passes = [number for number, client in world.order if client is pipelining]
    assert len(served_passes) == 3
    assert served_passes[-1] - world.asked_pass <= 2


def test_many_that_begin_requests_are_served_in_turn():
    """Guards against a client of many short requests that keeps the others waiting."""
    endless = FakeClient(500, is_within_request=False)
    others = [FakeClient(2, is_within_request=False) for _ in range(5)]

    async def test(world):
        for client in [endless, *others]:
            world.scheduler.process(client)

    world = run_scheduler(test)
    order = [client for _, client in world.order]
    last_other = max(at for at, client in enumerate(order) if client is not endless)
    assert last_other <= INPUT_PASS_S / world.quantum_s + 2 * (len(others) + 1)
