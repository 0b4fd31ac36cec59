"""Client side of the leaves: connection pools, calls, and one Result for each attempt."""
