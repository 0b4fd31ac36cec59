"""State that the connection pool keeps for one leaf."""

from mothnotch.decisions.leaf_membership.catalogue_answers import LocalEvidence


class Leaf:
    """One leaf and its connections.

    `takes_new`: whether new attempts may be sent to the leaf; `idle`: idle connections, the most
    recently used last; `open`: the number of connections, including those being made;
    `local_evidence`: when the leaf last answered or failed here, which membership decisions use.
    """

    def __init__(self, name: str, address: str):
        """Create a leaf that takes new attempts and has no connections."""
        self.name = name
        self.address = address
        self.takes_new = True
        self.idle = []
        self.open = 0
        self.cancels_in_flight = 0
        self.local_evidence = LocalEvidence()
