"""Deprecated alias of mothnotch.simulator_adapter, kept for one release."""

import sys

from mothnotch.simulator_adapter import main

if __name__ == "__main__":
    print(
        "mothnotch.drill is deprecated and kept for one release; use mothnotch.simulator_adapter",
        file=sys.stderr,
    )
    sys.exit(main())
