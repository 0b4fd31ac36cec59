"""Spoilt answers: a frame whose length doesn't fit what is in it."""

import asyncio
import hashlib
import json
import struct
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))

import platform_standins as p  # noqa: E402

REQUESTS = 60
SPOILT_EVERY = 10  # one answer in so many
MISSING_BYTES = 8  # the length of a spoilt answer's frame is that much too small


def value_of(predicate, shard):
    """Return the value that every leaf makes for a part: 16, 24 or 32 hex digits, so that nobody
    can tell from its length whether it is whole.
    """
    digest = hashlib.blake2b(f"{predicate}/{shard}".encode()).hexdigest()
    return digest[: 16 + 8 * (int(digest[-1], 16) % 3)]


async def case(record, folder, has_trouble):
    """Return whether each value that a client was served is the one that was made for it."""
    agent = p.Agent(record)
    await agent.start()
    answers = 0

    async def answer(leaf, writer, wire_id, shard, text):
        nonlocal answers
        await asyncio.sleep(leaf.work_s)
        answers += 1
        value = value_of(text, shard)
        if not has_trouble or answers % SPOILT_EVERY:
            leaf.write_answer(writer, wire_id, "good", value)
            return
        rest = f"{wire_id} good 1840277719 inflight=1\n{value}".encode()
        frame = struct.pack("<I", 1 + len(rest) - MISSING_BYTES) + b"q" + rest
        record.write(leaf.name, "answered, length spoilt", id=wire_id, value=value)
        writer.write(frame)  # in one piece

    for cell in range(4):
        leaf = p.Leaf(record, f"s{cell}", cell)
        leaf.answer = answer
        await leaf.start()
        agent.set_target(leaf)
    settings = p.settings([("sample", "pure", 1000, 2500, 0.3, 5000)])
    root = p.Root(record, folder, agent, settings)
    held = True
    try:
        await root.start()
        await root.wait_until_ready()
        client = await p.Client.connect(record, root.address)
        for number in range(REQUESTS):
            shard, predicate = number % 8, f"c41e{number:04x}"
            client.send(p.request_id(), "sample", [shard], 2500, predicate=predicate)
            async with asyncio.timeout(5):
                status, body = await client.read_answer()
            for part in json.loads(body)["answers"] if status == 200 else ():
                if part["blob"] != value_of(predicate, shard):
                    held = False
                    record.write(
                        "judge",
                        "LOST: served what no leaf made for it",
                        served=part["blob"],
                        made=value_of(predicate, shard),
                    )
        return held
    finally:
        await root.stop()


p.main(case, HERE)
