"""A leaf with few streams on a connection that cannot stop a running part.

A cancelled part occupies its stream until it is finished. With all streams occupied the leaf reads
nothing, not even the cancellation of another part.
"""

import trio

from mothnotch.standins.platform import request
from mothnotch.standins.platform_settings import options
from tests.support.platform_rig import on_real_sockets, wire_ids
from tests.support.root_process import root_process

STREAMS = 4  # parts that the leaf works on at once, for each connection


class SaturatedLeaf:
    """A leaf that starts up to STREAMS parts of a connection and never finishes one.

    It reads no further frame while all streams are occupied. Every event is added to `record`.
    """

    def __init__(self, leaf, nursery, record):
        self.leaf, self.nursery, self.record = leaf, nursery, record

    async def run(self):
        while True:
            self.nursery.start_soon(self.serve, await self.leaf.accept_connection())

    async def serve(self, link):
        running, finished = set(), trio.Event()
        while (frame := await link.read_frame()) is not None:
            letter, rest = frame
            if letter == "n":
                self.record.append(
                    (trio.current_time(), self.leaf.name, "cancelled", rest.decode())
                )
                continue
            for wire_id in wire_ids(rest):
                running.add(wire_id)
                self.record.append((trio.current_time(), self.leaf.name, "started", wire_id))
            while len(running) >= STREAMS:
                await finished.wait()  # never set: no part finishes in this test
        self.record.append((trio.current_time(), self.leaf.name, "closed", ""))


def settings_with_few_streams():
    lanes = [{**lane, "aimUs": 1_000_000, "deadlineUs": 6_000_000} for lane in options()["lanes"]]
    return {"limits": {"multiplex": STREAMS, "maxAttempts": 3}, "lanes": lanes}


@on_real_sockets
async def test_a_cancelled_part_occupies_its_stream_and_leaves_no_cancellation_unread(tmp_path):
    """Guards against starting a part elsewhere before its first leaf could read the cancellation.

    Three parts are in flight on a connection with four streams. One is cancelled, another part is
    sent, and then a second one is cancelled and moves to the other holder. The first leaf must have
    read that cancellation, or its connection must be closed.
    """
    async with root_process(tmp_path, **settings_with_few_streams()) as root:
        home, other = root.replicas(0)
        record = []
        warm = root.client()
        warm.send_bytes(request("warm", "read", (0,), timeout_ms=4000))
        link = await home.accept_connection()
        assert await link.read_call() == ["warm.0"]
        # Sets the median latency, so that a shorter silence does not make the connection suspect.
        await link.answer_part("warm.0", after_s=0.3)
        assert (await warm.read_answer())[0] == 200

        busy = SaturatedLeaf(home, root.rig.nursery, record)
        elsewhere = SaturatedLeaf(other, root.rig.nursery, record)
        root.rig.nursery.start_soon(busy.run)
        root.rig.nursery.start_soon(elsewhere.run)

        async def serve_first_connection():
            await busy.serve(link)

        root.rig.nursery.start_soon(serve_first_connection)
        clients = [root.client() for _ in range(4)]
        for n in range(3):
            clients[n].send_bytes(request(f"r{n}", "read", (0,), timeout_ms=5000))
            await trio.sleep(0.05)
        clients[0].disconnect()  # r0 is cancelled; its leaf goes on with it
        await trio.sleep(0.05)
        clients[3].send_bytes(request("r3", "read", (0,), timeout_ms=5000))
        # The leaf is silent, so that its stuck parts move to the other holder.
        with trio.move_on_after(3.5):
            while not any(leaf == other.name and what == "started" for _, leaf, what, _ in record):
                await trio.sleep(0.02)
        await trio.sleep(0.2)
        started_elsewhere = [
            wire_id for _, leaf, what, wire_id in record if leaf == other.name and what == "started"
        ]
        assert started_elsewhere, record
        for wire_id in started_elsewhere:
            cancellation_read = any(
                leaf == home.name and what == "cancelled" and cancelled_id == wire_id
                for _, leaf, what, cancelled_id in record
            )
            assert cancellation_read or any(
                what == "closed" for _, leaf, what, _ in record if leaf == home.name
            ), (wire_id, record)
