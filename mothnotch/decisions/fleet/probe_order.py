"""The order in which members are probed: SWIM's round robin with a shuffle per round."""

from mothnotch.decisions.fleet.swim_messages import GONE


class ProbeOrder:
    """Selects each member once per round, so that a dead one is probed within two rounds."""

    def __init__(self, random):
        """Start without members; `random` is a random.Random."""
        self._random = random
        self._names = []  # the last is probed next

    def insert(self, name: str) -> None:
        """Insert a new member at a random position of the current round."""
        self._names.insert(self._random.randrange(len(self._names) + 1), name)

    def refill(self, members: dict) -> None:
        """Start a new round if the current one has no more members."""
        while self._names and self._names[-1] not in members:
            self._names.pop()
        if not self._names:
            self._names = [name for name, member in members.items() if member.claim.state != GONE]
            self._random.shuffle(self._names)

    def take_next(self, members: dict) -> str | None:
        """Return the next member to probe, or None if the current round has no more."""
        while self._names:
            name = self._names.pop()
            member = members.get(name)
            if member is not None and member.claim.state != GONE:
                return name
        return None
