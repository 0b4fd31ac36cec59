"""A drain that is written to a root while its process is stopped, as a process."""

import pytest
import trio

from mothnotch.standins.platform import request
from tests.support.platform_rig import on_real_sockets, wire_ids
from tests.support.root_process import root_process

CLIENTS = 8


async def serve_leaf(nursery, leaf, received):
    """Answer all parts, and append the leaf's name to `received` for each."""
    while True:
        connection = await leaf.accept_connection()
        nursery.start_soon(serve_connection, connection, leaf.name, received)


async def serve_connection(connection, name, received):
    while (found := await connection.read_frame()) is not None:
        for wire_id in wire_ids(found[1]) if found[0] == "m" else ():
            received.append(name)
            await connection.answer_part(wire_id, after_s=0.02)


def send_request(client, request_id):
    client.send_bytes(request(request_id, "read", (0,), timeout_ms=1500))


# Guards against parts written before the list is read that came while the root was stopped.
@pytest.mark.parametrize("streams", [1, 32])
@on_real_sockets
async def test_drain_that_came_while_the_root_was_stopped_is_known_before_it_sends(
    tmp_path, streams
):
    async with root_process(tmp_path, limits={"multiplex": streams}) as root:
        received = []
        for leaf in root.rig.leaves:
            root.rig.nursery.start_soon(serve_leaf, root.rig.nursery, leaf, received)
        draining = root.home_leaf(0)
        clients = [root.client() for _ in range(CLIENTS)]
        for number, client in enumerate(clients):
            send_request(client, f"warm{number}")
        for client in clients:
            assert (await client.read_answer())[0] == 200
        assert draining.name in received

        for number, client in enumerate(clients[: CLIENTS // 2]):
            send_request(client, f"open{number}")
        await trio.sleep(0.005)
        async with root.paused():
            target = root.rig.target(draining, "Terminating")
            await root.rig.first_watch.send_listing(41, target)
            await trio.sleep(0.4)
            sent_before = len(received)
            for number, client in enumerate(clients[CLIENTS // 2 :]):
                send_request(client, f"paused{number}")
        for client in clients:
            assert (await client.read_answer())[0] == 200
        assert draining.name not in received[sent_before:]
