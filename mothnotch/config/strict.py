"""The base class of all configuration sections."""

import msgspec


class Strict(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """An immutable section of the configuration; an unknown key is an error."""
