"""A planned restart while a request with a deadline over 3 s is held by leaves that hang."""

import asyncio
import signal
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))

import platform_standins as p  # noqa: E402

TIMEOUT_MS = 4000
SLACK_S = 0.5  # "Up to half a second after its time it only earns nothing; later, or never, lost"
# SIGKILL comes no sooner than the longest deadline (3 s where longer) plus 0.7 s after SIGTERM;
# here the platform waits longer, until the request's time and slack are over.
KILL_AFTER_S = 6.0


async def case(record, folder, has_trouble):
    """Return whether the request got its final answer."""
    agent = p.Agent(record)
    await agent.start()
    leaves = [p.Leaf(record, f"s{cell}", cell) for cell in range(4)]
    for leaf in leaves:
        await leaf.start()
        agent.set_target(leaf)
    settings = p.settings([("sample", "pure", 1500, 4000, 0.3, 5000)])
    root = p.Root(record, folder, agent, settings)
    try:
        await root.start()
        await root.wait_until_ready()
        for shard in range(8):  # the root serves
            client = await p.Client.connect(record, root.address)
            client.send(p.request_id(), "sample", [shard], TIMEOUT_MS)
            if (await client.read_answer())[0] != 200:
                raise p.CouldNotRunError("the root does not serve")
            client.close()
        if has_trouble:
            for leaf in leaves[:2]:  # half of the leaves: both holders of shard 0
                leaf.is_hanging = True
                record.write(leaf.name, "hangs")
        client = await p.Client.connect(record, root.address, "client")
        sent_s = record.now_s()
        client.send(p.request_id(), "sample", [0], TIMEOUT_MS)
        await asyncio.sleep(0.1)
        root.signal(signal.SIGTERM)
        killed = asyncio.get_running_loop().call_later(KILL_AFTER_S, root.process.kill)
        held = True
        try:
            async with asyncio.timeout(TIMEOUT_MS / 1000 + SLACK_S - 0.1):
                await client.read_answer()
        except (OSError, asyncio.IncompleteReadError) as error:
            held = False
            record.write(
                "client",
                "the root ended the connection without an answer",
                after_s=round(record.now_s() - sent_s, 3),
                error=repr(error),
            )
        except TimeoutError:
            held = False
            record.write("client", "no answer in time")
        await root.process.wait()
        killed.cancel()
        record.write("platform", "root ended", status=root.process.returncode)
        return held
    finally:
        await root.stop()


p.main(case, HERE)
