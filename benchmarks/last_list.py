"""Compare SQLite and LMDB as the store of the cached endpoint list.

It measures the time of a durable save, the size of the file, and the effect of damage to the file.
Run it from the root of the repository:

    .venv/bin/python -m benchmarks.last_list
"""

import os
import random
import subprocess
import sys
import tempfile
import time

import lmdb

from mothnotch.decisions.leaf_membership.catalogue_answers import CachedLeaf
from mothnotch.store.endpoint_cache import EndpointCache, encode_leaves

LEAVES = [
    CachedLeaf(f"node-{index}/leaf", f"10.0.0.{index}:5432", "z", index % 8, "up", 1.0, 1.8e9)
    for index in range(130)
]
LMDB_READER = """
import sys, lmdb
env = lmdb.open(sys.argv[1], subdir=False, readonly=False, map_size=1 << 24)
with env.begin() as t:
    list(t.cursor())
"""


def save_to_lmdb(path, body):
    """Save the encoded list in an LMDB file."""
    env = lmdb.open(path, subdir=False, map_size=1 << 24)
    with env.begin(write=True) as transaction:
        transaction.put(b"list", body)
    env.close()


def corrupt(intact, rng):
    """Return a copy of the bytes with flipped bits, in half of the cases also truncated."""
    data = bytearray(intact[: rng.randrange(len(intact))] if rng.random() < 0.5 else intact)
    for _ in range(rng.choice([1, 8, 64])):
        if data:
            data[rng.randrange(len(data))] ^= 1 << rng.randrange(8)
    return bytes(data)


def main():
    """Run the comparison and print its figures."""
    body = encode_leaves(LEAVES)
    with tempfile.TemporaryDirectory() as directory:
        cache, lmdb_path = EndpointCache(f"{directory}/l.db", "x"), f"{directory}/l.lmdb"
        saves = {
            "sqlite": lambda number: cache.save(LEAVES, number, float(number)),
            "lmdb": lambda number: save_to_lmdb(lmdb_path, body),
        }
        times = {name: [] for name in saves}
        for number in range(100):
            for name, save in saves.items():
                started = time.perf_counter()
                save(number)
                times[name].append(1000 * (time.perf_counter() - started))
        for name, path in (("sqlite", cache.path), ("lmdb", lmdb_path)):
            print(
                f"{name}: save of 130 leaves p50 {sorted(times[name])[50]:.2f} ms, "
                f"file {os.path.getsize(path)} bytes"
            )
        rng, intact, killed, failed = random.Random(1), open(lmdb_path, "rb").read(), 0, 0
        for _ in range(60):
            with open(lmdb_path, "wb") as file:
                file.write(corrupt(intact, rng))
            status = subprocess.run(
                [sys.executable, "-c", LMDB_READER, lmdb_path], stderr=subprocess.DEVNULL
            ).returncode
            killed, failed = killed + (status < 0), failed + (status > 0)
        print(
            f"lmdb: 60 damaged files: the reading process was killed {killed} times, "
            f"an error was raised {failed} times"
        )
        intact, raised = open(cache.path, "rb").read(), 0
        for _ in range(60):
            with open(cache.path, "wb") as file:
                file.write(corrupt(intact, rng))
            try:
                cache.load()
            except Exception:
                raised += 1
        print(f"sqlite: 60 damaged files: never killed; uncaught errors: {raised}")


if __name__ == "__main__":
    main()
