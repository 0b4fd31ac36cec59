"""The event logs of a soak: each process appends one JSON line per event, timed by the monotonic
clock that all processes of the machine share.
"""

import json
import os
import time


def now():
    """Return the seconds of the monotonic clock, which is the same in every process."""
    return time.monotonic()


class EventLog:
    """Appends the events of one process to its file."""

    def __init__(self, folder, name):
        self.name = name
        self.descriptor = os.open(
            os.path.join(folder, f"{name}.jsonl"), os.O_WRONLY | os.O_CREAT | os.O_APPEND
        )

    def write(self, kind, **fields):
        line = json.dumps({"t": now(), "who": self.name, "kind": kind, **fields}) + "\n"
        os.write(self.descriptor, line.encode())


def load_events(folder):
    """Return all events of a soak, ordered by time."""
    events = []
    for name in sorted(os.listdir(folder)):
        if name.endswith(".jsonl"):
            with open(os.path.join(folder, name), encoding="utf-8", errors="replace") as file:
                events += [json.loads(line) for line in file if line.endswith("\n")]
    return sorted(events, key=lambda event: event["t"])
