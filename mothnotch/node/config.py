"""The configuration file of a real root, checked as a whole; what is not known here is skipped."""

import math
from dataclasses import dataclass

import msgspec

from mothnotch.decisions import settings as simulator
from mothnotch.decisions.interface import Settings
from mothnotch.net import AddressError, parse_address
from mothnotch.node import listing

# The largest file read: a path that names something endless must not fill the memory.
FILE_BYTES = 32 << 20
# Descriptors below which no share of them is left for clients and leaves.
SOCKETS_LEAST = 32
# When a leaf closes what is idle, where the settings don't say.
IDLE_CLOSE_US = 60_000_000


class ConfigError(ValueError):
    """What is wrong, in one line."""


class Limits(msgspec.Struct):
    """What the machine gives this root; `sockets`: descriptors."""

    cores: float = 1.0
    memory_mb: float = 2048
    sockets: int = 4096


class File(msgspec.Struct):
    """The file as it is written; `settings` are the simulator's."""

    name: str
    listen: str
    discovery: str
    settings: dict
    seed: str = "0"
    limits: Limits = msgspec.field(default_factory=Limits)
    known: listing.Listing | None = None


@dataclass(slots=True)
class Config:
    """What the root takes from the file. `streams`: parts on one connection at once. `idle_us`:
    after which a leaf may close a connection. `most_open`: queries and parts.
    """

    name: str
    listen: str
    discovery: str
    seed: int
    limits: Limits
    known: listing.Listing | None
    settings: Settings
    shards: int
    streams: int
    idle_us: int
    most_open: float


def load(path: str) -> Config:
    """Return the checked configuration; ConfigError names the file and the place."""
    try:
        with open(path, "rb") as file:
            raw = file.read(FILE_BYTES + 1)
    except OSError as error:
        raise ConfigError(f"{path}: cannot be read: {error.strerror}") from None
    if len(raw) > FILE_BYTES:
        raise ConfigError(f"{path}: more than {FILE_BYTES} bytes")
    return read(raw, path)


def read(raw: bytes, path: str = "configuration") -> Config:
    """Return the checked configuration of a file's text; ConfigError begins with `path`."""
    try:
        file = msgspec.json.decode(raw, type=File)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise ConfigError(f"{path}: {error}") from None
    _check_file(file, path)
    try:
        settings = simulator.parse_settings(file.settings)
        limits = file.settings.get("limits", {})
        family = file.settings["familyInfo"]
        shards = int(family.get("slabs", settings.cell_count))
        streams = int(limits.get("multiplex") or 1)
        idle_us = int(limits.get("idleCloseUs") or IDLE_CLOSE_US)
        most_open = limits.get("openCap")
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise ConfigError(f"{path}: settings: {type(error).__name__}: {error}") from None
    if shards < 1 or streams < 1 or settings.cell_count < 1 or not settings.classes:
        raise ConfigError(
            f"{path}: settings: slabs, positions, multiplex and lanes must not be empty"
        )
    return Config(
        file.name,
        file.listen,
        file.discovery,
        _seed(file.seed),
        file.limits,
        file.known,
        settings,
        shards,
        streams,
        idle_us,
        math.inf if most_open is None else most_open,
    )


def _check_file(file, path):
    for name in ("listen", "discovery"):
        try:
            parse_address(getattr(file, name))
        except AddressError as error:
            raise ConfigError(f"{path}: {name}: {error}") from None
    limits = file.limits
    if not (limits.cores > 0 and limits.memory_mb > 0 and limits.sockets >= SOCKETS_LEAST):
        raise ConfigError(
            f"{path}: limits: cores, memory_mb and sockets (32 at least) must be above 0"
        )


def _seed(text):
    try:
        return int(text, 16)
    except ValueError:
        return hash(text)
