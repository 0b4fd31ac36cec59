"""Compare the merge with a loser tree, plain heapq.merge and a full sort, in one run.

Run it from the root of the repository:

    .venv/bin/python -m benchmarks.merge
"""

import heapq
import itertools
import random
import time

from mothnotch.merge.runs import blocks
from mothnotch.merge.sorting import LoserTree, merge


def sort_key(row):
    """Return the first column."""
    return row[0]


def variants(parts):
    """Return each variant by name, as a function that returns the number of rows."""
    return {
        "merge": lambda: sum(
            len(block) for block in merge([blocks(part) for part in parts], sort_key)
        ),
        "losers": lambda: sum(1 for _ in LoserTree(parts, sort_key)),
        "heapq": lambda: sum(1 for _ in heapq.merge(*parts, key=sort_key)),
        "sort": lambda: len(sorted(itertools.chain(*parts), key=sort_key)),
    }


def main():
    """Run the comparison and print its figures."""
    rng, row_count = random.Random(1), 400_000
    print("parts | rows | merge s | losers | heapq.merge | full sort   (ratio to the merge)")
    for part_count in (1, 8, 64, 256):
        parts = [
            sorted(
                ((rng.randrange(1 << 30), b"x") for _ in range(row_count // part_count)),
                key=sort_key,
            )
            for _ in range(part_count)
        ]
        best = {}
        for _ in range(3):
            for name, run in variants(parts).items():
                started = time.perf_counter()
                assert run() == row_count // part_count * part_count
                best[name] = min(best.get(name, 1e9), time.perf_counter() - started)
        ratios = " | ".join(
            f"{best[name] / best['merge']:.2f}" for name in ("losers", "heapq", "sort")
        )
        print(f"{part_count:5} | {row_count} | {best['merge']:.3f} | {ratios}")


if __name__ == "__main__":
    main()
