"""Bad clients send hundreds of requests at once; the platform keeps the root to its memory."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib2"))
from standins import Client, request, run_case, settings  # noqa: E402

# The largest limits that DEPLOY.md names for scored days.
MEMORY_MB = 192
SOCKETS = 1024
BAD_CLIENTS = 300
BAD_S = 12.0
TIMEOUT_MS = 2500
INTERVAL_S = 0.25
SAMPLE_S = 0.05


def anonymous_kb(pid):
    """Return the process's own memory, without what it maps from files; None if it has ended."""
    try:
        lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    except OSError:
        return None
    sizes = [int(line.split()[1]) for line in lines if line.startswith("RssAnon:")]
    return sizes[0] if sizes else None


async def keep_to_limit(case, stop):
    """Kill the root once it has more memory than its limit; return its most memory in KiB."""
    most_kb = 0
    while not stop.is_set() and case.process.poll() is None:
        size_kb = anonymous_kb(case.process.pid)
        if size_kb is not None and size_kb > most_kb:
            most_kb = size_kb
            case.record.add("root-memory", anonymous_kb=size_kb)
        if most_kb > MEMORY_MB * 1024:
            case.kill_root(f"memory over {MEMORY_MB} MiB")
        await asyncio.sleep(SAMPLE_S)
    return most_kb


async def ask(case, number):
    """Ask once, on a connection of its own."""
    request_id = f"usual{number}"
    try:
        client = await Client(case.record, case.address, request_id).connect()
        shards = [number % 22, number % 22 + 1, number % 22 + 2]
        data = request(request_id, "order-lookup", shards, timeout_ms=TIMEOUT_MS)
        await client.ask(data, request_id, TIMEOUT_MS / 1000 + 1)
        client.close()
    except OSError as error:
        case.record.add("client-not-connected", request=request_id, error=repr(error))


async def body(case):
    """Play the case; return whether the rule held."""
    case.start_root(settings(), memory_mb=MEMORY_MB, sockets=SOCKETS, limit_sockets=True)
    await case.wait_until_ready()
    stop = asyncio.Event()
    memory = asyncio.ensure_future(keep_to_limit(case, stop))
    await ask(case, 0)
    if case.has_trouble:
        await case.start_bad_clients("many-requests", BAD_CLIENTS, BAD_S)
    tasks = []
    for number in range(1, int(BAD_S / INTERVAL_S)):
        if case.process.poll() is not None:
            break
        tasks.append(asyncio.ensure_future(ask(case, number)))
        await asyncio.sleep(INTERVAL_S)
    for task in tasks:
        await task
    stop.set()
    most_kb = await memory
    crashed = case.process.poll() is not None
    case.record.add("most-memory", anonymous_kb=most_kb, limit_kb=MEMORY_MB * 1024, crashed=crashed)
    return not crashed


run_case(__file__, body)
