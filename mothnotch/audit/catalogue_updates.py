"""What each root was told by the catalogue, read from the stand-in's record; independent of the
root's own reading.

A root counts as told that a leaf departs once an answer that is news to it marks the leaf, or lacks
it. An answer is news if no answer given to that root before was of a later life or, in its life, of
a higher index. What an answer lacks says nothing if the answer names nobody, was filtered, is the
first of a new life, or lacks so many at once that the root must ask for a consistent one first
(which is in the record too).
"""

from collections import defaultdict, deque
from dataclasses import dataclass, field

SPAN_S = 10.0


@dataclass(slots=True)
class Heard:
    life: int = 0
    index: int = 0
    listed: dict = field(default_factory=dict)  # leaf -> state
    gone: deque = field(default_factory=deque)  # when leaves went, lately


def updates_from_catalogue(answers, shrink=0.3):
    """(at, leaf, state, root) of every change that a root was told, in order."""
    roots, out = defaultdict(Heard), []
    for told in sorted(answers, key=lambda told: told.at):
        if not told.who.startswith("mothnotch/"):
            continue
        root = int(told.who.split("/")[1])
        heard = roots[root]
        if (told.life, told.index) < (heard.life, heard.index):
            continue
        if told.life > heard.life:
            heard.listed.clear()  # what a new life lacks was lost with the old one
        heard.life, heard.index = told.life, told.index
        states = {name.split("/")[1]: state for name, state in told.states.items()}
        while heard.gone and heard.gone[0] < told.at - SPAN_S:
            heard.gone.popleft()
        lacking = [leaf for leaf in heard.listed if leaf not in states]
        up = sum(heard.listed[leaf] == "up" for leaf in lacking)
        listed = sum(state == "up" for state in heard.listed.values()) + len(heard.gone)
        sharp = up > 1 and up + len(heard.gone) > shrink * listed
        if states and not told.filtered and (told.consistent or not sharp):
            for leaf in lacking:
                del heard.listed[leaf]
                out.append((told.at, leaf, "removed", root))
            heard.gone.extend([told.at] * up)
        for leaf, state in states.items():
            if heard.listed.get(leaf) != state:
                heard.listed[leaf] = state
                out.append((told.at, leaf, state, root))
    return out
