"""Weighs SQLite and LMDB for the list on disk: time of a durable save, size, and what damage does.

Run from the root:

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
    CachedLeaf(f"node-{n}/leaf", f"10.0.0.{n}:5432", "z", n % 8, "up", 1.0, 1.8e9)
    for n in range(130)
]
READ = """
import sys, lmdb
env = lmdb.open(sys.argv[1], subdir=False, readonly=False, map_size=1 << 24)
with env.begin() as t:
    list(t.cursor())
"""


def lmdb_save(path, body):
    env = lmdb.open(path, subdir=False, map_size=1 << 24)
    with env.begin(write=True) as t:
        t.put(b"list", body)
    env.close()


def damaged(sound, r):
    data = bytearray(sound[: r.randrange(len(sound))] if r.random() < 0.5 else sound)
    for _ in range(r.choice([1, 8, 64])):
        if data:
            data[r.randrange(len(data))] ^= 1 << r.randrange(8)
    return bytes(data)


def main():
    body = encode_leaves(LEAVES)
    with tempfile.TemporaryDirectory() as folder:
        store, other = EndpointCache(f"{folder}/l.db", "x"), f"{folder}/l.lmdb"
        saves = {
            "sqlite": lambda k: store.save(LEAVES, k, float(k)),
            "lmdb": lambda k: lmdb_save(other, body),
        }
        times = {name: [] for name in saves}
        for k in range(100):
            for name, save in saves.items():
                begun = time.perf_counter()
                save(k)
                times[name].append(1000 * (time.perf_counter() - begun))
        for name, path in (("sqlite", store.path), ("lmdb", other)):
            print(
                f"{name}: save of 130 leaves p50 {sorted(times[name])[50]:.2f} ms, file {os.path.getsize(path)} bytes"
            )
        r, sound, killed, refused = random.Random(1), open(other, "rb").read(), 0, 0
        for _ in range(60):
            with open(other, "wb") as file:
                file.write(damaged(sound, r))
            code = subprocess.run(
                [sys.executable, "-c", READ, other], stderr=subprocess.DEVNULL
            ).returncode
            killed, refused = killed + (code < 0), refused + (code > 0)
        print(
            f"lmdb: 60 damaged files: the reading process was killed {killed} times, an error was raised {refused} times"
        )
        sound, raised = open(store.path, "rb").read(), 0
        for _ in range(60):
            with open(store.path, "wb") as file:
                file.write(damaged(sound, r))
            try:
                store.load()
            except Exception:
                raised += 1
        print(f"sqlite: 60 damaged files: never killed; an error that was not caught {raised}")


if __name__ == "__main__":
    main()
