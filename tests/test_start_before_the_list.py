"""A starting root whose agent holds a newer endpoint list than its configuration, as a process."""

import trio

from mothnotch.standins.platform import request
from tests.support.platform_rig import on_real_sockets, serve_connection
from tests.support.root_process import root_process, wait_until_ready, wait_until_served

# Longer than the grace of a drain in the tests' settings, and their slack.
PAST_DRAIN_GRACE_S = 0.4


async def serve_leaf(nursery, leaf):
    while True:
        nursery.start_soon(serve_connection, await leaf.accept_connection())


# Guards against a root that serves from its configured list, in which a leaf that drains is ready.
@on_real_sockets
async def test_starting_root_sends_nothing_to_a_draining_leaf_before_it_has_the_agents_list(
    tmp_path,
):
    async with root_process(tmp_path, answer_watch=False) as root:
        draining, other = root.replicas(0)
        root.rig.nursery.start_soon(serve_leaf, root.rig.nursery, other)
        watch = await root.rig.accept_watch()
        await wait_until_served(root)
        await trio.sleep(PAST_DRAIN_GRACE_S)
        client = root.client()
        client.send_bytes(request("early", "read", (0,), timeout_ms=1500))
        await draining.expect_no_connection(timeout_s=0.5)
        assert (await client.read_answer())[0] == 503  # a refusal without effect, not a wait

        targets = [
            root.rig.target(leaf, "Terminating" if leaf is draining else "Ready")
            for leaf in root.rig.leaves
        ]
        await watch.send_listing(41, *targets, whole=True)
        await wait_until_ready(root)
        client.send_bytes(request("later", "read", (0,), timeout_ms=1500))
        assert (await client.read_answer())[0] == 200
        await draining.expect_no_connection(timeout_s=0.1)
