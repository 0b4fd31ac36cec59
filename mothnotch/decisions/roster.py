"""From a roster as stated (file or, later, a catalogue) to the list news that the module gets.

Pure: the raw entries, both clocks and the roster before come in; entries or errors come out.
"""
from dataclasses import dataclass

from mothnotch.decisions.interface import Entry, ListNews, News

STATES = ("up", "draining", "removed")


@dataclass(slots=True, frozen=True)
class Leaf:
    """One leaf as the roster states it."""
    name: str
    address: str
    zone: str
    cell: int
    state: str = "up"
    weight: float = 1.0
    started: float | None = None       # seconds of wall-clock time; None: long ago


def checked(leaves, cells):
    """Errors of a roster, each naming the leaf and the mend; an empty list if it may act."""
    errors, seen = [], set()
    for leaf in leaves:
        if leaf.name in seen:
            errors.append(f"leaf {leaf.name!r} is listed twice; give each process one name")
        seen.add(leaf.name)
        if leaf.state not in STATES:
            errors.append(f"leaf {leaf.name!r}: state {leaf.state!r} is not one of {', '.join(STATES)}")
        if not 0 <= leaf.cell < cells:
            errors.append(f"leaf {leaf.name!r}: cell {leaf.cell} is not within 0..{cells - 1}")
        if not leaf.weight > 0:
            errors.append(f"leaf {leaf.name!r}: weight {leaf.weight} is not above 0; to empty a leaf, drain it")
    return errors


def shrunk(before, after):
    """Whether a whole list must not act by itself: it names nobody, where some were up before. A file caught
    half written, or a source that lost its state, must not take the whole fleet away."""
    return any(leaf.state == "up" for leaf in before) and not any(leaf.state != "removed" for leaf in after)


def news(leaves, version, now_us, wall_s, kind=News.FULL):
    """The list as the module gets it. Start times on the wall clock are moved to the caller's own clock; one that
    lies in the future counts as now: the leaf is as cold as can be."""
    entries = []
    for leaf in leaves:
        age_us = None if leaf.started is None else max(0, int((wall_s - leaf.started) * 1e6))
        started = 0 if age_us is None or age_us >= now_us else now_us - age_us
        entries.append(Entry(leaf.name, leaf.zone, leaf.cell, leaf.state, leaf.weight, started))
    return ListNews(kind, version, tuple(entries))
