"""The adapter between the simulator's protocol and the balancers, one for each simulated root.

It only translates; all decisions are the balancer's. `python -m mothnotch.simulator_adapter` reads
batches from standard input and writes one reply for each. An invalid line ends it with one message
and exit code 2. Bounds: none of its own; the simulator sets the number of instances and lists.
"""

import json
import sys
from dataclasses import dataclass
from itertools import islice
from typing import TextIO

from mothnotch.decisions.balancer import Balancer
from mothnotch.decisions.interface import Endpoint, WatchEvent, WatchEventKind
from mothnotch.decisions.settings import parse_settings
from mothnotch.simulator_wire import (
    EVENT_READERS,
    SKIPPED_MESSAGES,
    WATCH_EVENT_KINDS,
    Event,
    Fields,
    WireError,
    action_line,
    read_endpoint,
    read_line,
)

# The lines that end a batch of the simulator and a reply of the adapter.
END_OF_BATCH = "OVER_TO_YOU"
END_OF_REPLY = "DONE"
# The errors that reading an invalid line can raise.
READ_ERRORS = (WireError, KeyError, ValueError, IndexError, TypeError)


@dataclass(slots=True, frozen=True)
class Batch:
    """The events of one turn by instance; instances are in order of their first event."""

    now_us: int
    events: dict[int, list[Event]]


class Adapter:
    """The instances of one process, which share only the endpoint tables."""

    def __init__(self):
        """Start without instances."""
        self.instances: dict[int, Balancer] = {}
        self._endpoint_tables: dict[int, tuple[Endpoint, ...]] = {}

    def read(self, lines: list[str]) -> Batch:
        """Parse the lines of a batch, except its end line; start and stop instances as it says.

        Raise one of READ_ERRORS if a line is invalid.
        """
        name, fields = read_line(lines[0])
        if name != "MARK":
            raise WireError(f"expected MARK, got {name[:40]!r}")
        batch = Batch(int(fields["nowUs"]), {})
        remaining_lines = iter(lines[1:])
        remaining_count = len(lines) - 1
        for line in remaining_lines:
            remaining_count -= 1
            name, fields = read_line(line)
            if name == "DIRECTORY":
                count = int(fields["membersList"])
                if count > remaining_count:
                    raise WireError(f"list of {count} entries is incomplete")
                self._endpoint_tables[int(fields["table"])] = tuple(
                    read_endpoint(entry) for entry in islice(remaining_lines, count)
                )
                remaining_count -= count
            elif name not in SKIPPED_MESSAGES:
                self._process_message(name, fields, batch.events)
        return batch

    def reply(self, batch: Batch) -> list[str]:
        """Pass the events to their instances; return the resulting actions as lines."""
        return [
            action_line(root, action)
            for root, events in batch.events.items()
            for action in self.instances[root].handle(batch.now_us, events)
        ]

    def _process_message(self, name: str, fields: Fields, events: dict[int, list[Event]]) -> None:
        """Start or stop an instance, or add an instance's event."""
        if name == "OPEN_INSTANCE":
            root = int(fields["root"])
            options = json.loads(fields["options"])
            self.instances[root] = Balancer(parse_settings(options), int(fields["randomSeed"]))
            events[root] = []
        elif name == "DOWN":
            self.instances.pop(int(fields["root"]), None)
            events.pop(int(fields["root"]), None)
        elif name == "MEMBERSHIP":
            event = self._watch_event(fields)
            events.setdefault(int(fields["root"]), []).append(event)
        elif name in EVENT_READERS:
            event = EVENT_READERS[name](fields)
            events.setdefault(int(fields["root"]), []).append(event)
        else:
            raise WireError(f"unknown message {name[:40]!r}")

    def _watch_event(self, fields):
        kind = WATCH_EVENT_KINDS[fields["how"]]
        entries = ()
        if kind is not WatchEventKind.FAILED:
            entries = self._endpoint_tables[int(fields["table"])]
        return WatchEvent(kind, int(fields.get("gen", 0)), entries)


def main(input_stream: TextIO | None = None, output_stream: TextIO | None = None) -> int:
    """Process batches until the input ends; return the exit code."""
    input_stream = input_stream or sys.stdin
    output_stream = output_stream or sys.stdout
    adapter = Adapter()
    lines = []
    for line in input_stream:
        line = line.rstrip("\n")
        if line != END_OF_BATCH:
            if line:
                lines.append(line)
            continue
        try:
            batch = adapter.read(lines)
        except READ_ERRORS as error:
            print(
                f"mothnotch: invalid input: {type(error).__name__}: {error}",
                file=sys.stderr,
            )
            return 2
        output_stream.write("\n".join([*adapter.reply(batch), END_OF_REPLY, ""]))
        output_stream.flush()
        lines = []
    if lines:
        print("mothnotch: input ended in the middle of a batch", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
