"""Measurements that stand in the docs, each by a command: `bin/mothnotch study NAME`."""
