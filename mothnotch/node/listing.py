"""Decode discovery's list of leaves, which a watch delivers as JSON. No I/O."""

import re

import msgspec

from mothnotch.decisions import endpoint_list

# Endpoint state by discovery's name for it.
STATES = {"Ready": "up", "Terminating": "draining", "Gone": "removed"}
# Strings, complete or cut off at the end of a line.
STRING = re.compile(rb'"(?:[^"\\]|\\.)*"?')


class Target(msgspec.Struct):
    """A leaf as discovery lists it; `boot_ms`: its start time on the wall clock, 0 if unknown."""

    uid: str
    endpoint: str
    pod_group: int
    az: str = ""
    state: str = "Ready"
    capacity_hint: float = 1.0
    boot_ms: float = 0


class Listing(msgspec.Struct):
    """A list at a version: complete, or only the leaves that changed since the previous version."""

    version: int = msgspec.field(name="rev")
    targets: list[Target]
    complete: bool = msgspec.field(name="all", default=False)


decode = msgspec.json.Decoder(Listing).decode


def leaves(listing: Listing) -> list[endpoint_list.Leaf]:
    """Return the leaves of a list. A leaf in an unknown state counts as draining."""
    return [
        endpoint_list.Leaf(
            target.uid,
            target.endpoint,
            target.az,
            target.pod_group,
            STATES.get(target.state, "draining"),
            target.capacity_hint,
            target.boot_ms / 1000 if target.boot_ms > 0 else None,
        )
        for target in listing.targets
    ]


class ListingReader:
    """Split a watch's bytes into lists. A list may be indented over several lines: it ends with the
    line that closes its outermost bracket.
    """

    def __init__(self, limit_bytes: int):
        """`limit_bytes`: maximum size of an incomplete list; beyond it `feed` raises EOFError."""
        self.limit_bytes = limit_bytes
        self.buffered = bytearray()
        self.line_start = 0
        # Start of what has not been searched for the end of the line yet.
        self.searched_bytes = 0
        self.depth = 0

    def feed(self, data: bytes) -> list[Listing | None]:
        """Return what `data` completes: a Listing for each list, None for each empty line, which is
        the agent's heartbeat. Raise msgspec.DecodeError for anything else.
        """
        self.buffered += data
        messages = []
        while (end := self.buffered.find(b"\n", self.searched_bytes)) >= 0:
            line = bytes(self.buffered[self.line_start : end])
            self.line_start = end + 1
            self.searched_bytes = end + 1
            self.depth += _opened_brackets(line)
            if self.depth > 0 and line.strip():
                continue  # the list continues on the next line
            # The list is closed, or an empty line cut it off; decoding the latter raises an error.
            with memoryview(self.buffered) as view:
                text = bytes(view[:end])
            self.depth = 0
            del self.buffered[: self.line_start]
            self.line_start = 0
            self.searched_bytes = 0
            messages.append(decode(text) if text.strip() else None)
        self.searched_bytes = len(self.buffered)
        if len(self.buffered) > self.limit_bytes:
            raise EOFError(f"the list exceeds {self.limit_bytes} bytes")
        return messages


def _opened_brackets(line: bytes) -> int:
    """Return how many more brackets a line opens than it closes; those in strings do not count."""
    if b"\\" in line:
        line = STRING.sub(b"", line)
    elif b'"' in line:
        line = b"".join(line.split(b'"')[::2])
    opened = line.count(b"{") + line.count(b"[")
    return opened - line.count(b"}") - line.count(b"]")
