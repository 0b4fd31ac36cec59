"""What the catalogue told each root, derived from the stand-in's record and not from the root.

A root counts as told that a leaf departs once an answer that is new to the root marks the leaf as
departing or lacks it. An answer is new if no earlier answer to that root had a later incarnation of
the catalogue or, within the same incarnation, a higher index. A leaf that an answer lacks does not
count as removed if the answer is empty, was filtered, is the first of a new incarnation, or lacks
so many leaves at once that the root must request a consistent answer first. That one is in the
record too.
"""

from collections import defaultdict, deque
from dataclasses import dataclass, field

REMOVAL_WINDOW_S = 10.0


@dataclass(slots=True)
class RootKnowledge:
    """What a root knows from the answers it has received."""

    incarnation: int = 0
    index: int = 0
    states: dict = field(default_factory=dict)  # leaf -> state
    removed_at: deque = field(default_factory=deque)  # times of recent removals of leaves


def updates_from_catalogue(answers, shrink=0.3):
    """Return (at, leaf, state, root) of every change that a root was told, in order."""
    roots, updates = defaultdict(RootKnowledge), []
    for answer in sorted(answers, key=lambda answer: answer.at):
        if not answer.who.startswith("mothnotch/"):
            continue
        root = int(answer.who.split("/")[1])
        known = roots[root]
        if (answer.life, answer.index) < (known.incarnation, known.index):
            continue
        if answer.life > known.incarnation:
            # What the first answer of a new incarnation lacks was lost with the old state.
            known.states.clear()
        known.incarnation, known.index = answer.life, answer.index
        states = {name.split("/")[1]: state for name, state in answer.states.items()}
        while known.removed_at and known.removed_at[0] < answer.at - REMOVAL_WINDOW_S:
            known.removed_at.popleft()
        missing = [leaf for leaf in known.states if leaf not in states]
        missing_up = sum(known.states[leaf] == "up" for leaf in missing)
        known_up = sum(state == "up" for state in known.states.values()) + len(known.removed_at)
        is_mass_removal = missing_up > 1 and missing_up + len(known.removed_at) > shrink * known_up
        if states and not answer.filtered and (answer.consistent or not is_mass_removal):
            for leaf in missing:
                del known.states[leaf]
                updates.append((answer.at, leaf, "removed", root))
            known.removed_at.extend([answer.at] * missing_up)
        for leaf, state in states.items():
            if known.states.get(leaf) != state:
                known.states[leaf] = state
                updates.append((answer.at, leaf, state, root))
    return updates
