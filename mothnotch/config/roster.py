"""The roster file: a static list of leaves, used instead of a Consul catalogue."""

from mothnotch import net
from mothnotch.config.errors import ConfigError
from mothnotch.config.loading import decode
from mothnotch.config.strict import Strict
from mothnotch.decisions.endpoint_list import Leaf, find_errors


class RosterEntry(Strict):
    """A leaf in the roster; `started` is its start time as a Unix timestamp in seconds."""

    name: str
    address: str
    zone: str = ""
    cell: int = 0
    state: str = "up"
    weight: float = 1.0
    started: float | None = None

    def to_leaf(self) -> Leaf:
        """Return the corresponding entry of the endpoint list."""
        return Leaf(
            self.name,
            self.address,
            self.zone,
            self.cell,
            self.state,
            self.weight,
            self.started,
        )


def load_roster(text: str, cells: int, path="roster") -> list[Leaf]:
    """Return the leaves listed in the text of a roster.

    Raise ConfigError with all errors, each line prefixed by `path`.
    """
    leaves = [entry.to_leaf() for entry in decode(text, list[RosterEntry], path)]
    errors = [f"{path}: {line}" for line in find_errors(leaves, cells)]
    for leaf in leaves:
        try:
            net.parse_address(leaf.address)
        except net.AddressError as error:
            errors.append(f"{path}: leaf {leaf.name!r}: {error}")
    if errors:
        raise ConfigError(errors)
    return leaves
