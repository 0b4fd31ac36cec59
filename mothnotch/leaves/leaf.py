"""State that the connection pool keeps for one leaf."""

from mothnotch.decisions.leaf_membership.catalogue_answers import LocalEvidence


class Leaf:
    """One leaf and its connections.

    `takes_new`: whether new attempts may be sent to the leaf; `idle_connections`: ordered by use,
    the most recently used last; `connection_count`: includes connections that are being made;
    `cancels_in_flight`: the number of cancel requests that are being sent; `local_evidence`: when
    the leaf last answered or failed here, which membership decisions use.
    """

    def __init__(self, name: str, address: str):
        """Create a leaf that takes new attempts and has no connections."""
        self.name = name
        self.address = address
        self.takes_new = True
        self.idle_connections = []
        self.connection_count = 0
        self.cancels_in_flight = 0
        self.local_evidence = LocalEvidence()
