"""The configuration file of a platform root; validated as a whole, unknown keys are ignored."""

import math
from dataclasses import dataclass

import msgspec

from mothnotch.decisions import settings as simulator_settings
from mothnotch.decisions.interface import Settings
from mothnotch.net import AddressError, parse_address
from mothnotch.node import listing

# Maximum size of the file: a path to an endless device must not exhaust the memory.
MAX_FILE_BYTES = 32 << 20
# Minimum number of descriptors: with fewer, none would be left for clients and leaves.
MIN_SOCKETS = 32
# Default idle time after which a leaf closes a connection, where the settings do not state one.
DEFAULT_LEAF_IDLE_CLOSE_US = 60_000_000


class ConfigError(ValueError):
    """An invalid configuration; the message is one line."""


class Limits(msgspec.Struct):
    """Resources that the machine grants to this root; `sockets`: file descriptors."""

    cores: float = 1.0
    memory_mb: float = 2048
    sockets: int = 4096


class File(msgspec.Struct):
    """The file's JSON object; `settings` has the simulator's format, `known` is a first listing."""

    name: str
    listen: str
    discovery: str
    settings: dict
    seed: str = "0"
    limits: Limits = msgspec.field(default_factory=Limits)
    known: listing.Listing | None = None


@dataclass(slots=True)
class Config:
    """The validated values. `initial_listing`: leaves to use until discovery answers. `streams`:
    concurrent parts on one leaf connection. `leaf_idle_close_us`: idle time after which a leaf may
    close a connection. `max_open`: maximum number of open queries and parts together.
    """

    name: str
    listen: str
    discovery: str
    seed: int
    limits: Limits
    initial_listing: listing.Listing | None
    settings: Settings
    shard_count: int
    streams: int
    leaf_idle_close_us: int
    max_open: float


def load(path: str) -> Config:
    """Return the validated configuration; ConfigError names the file and the invalid key."""
    try:
        with open(path, "rb") as file:
            raw = file.read(MAX_FILE_BYTES + 1)
    except OSError as error:
        raise ConfigError(f"{path}: cannot be read: {error.strerror}") from None
    if len(raw) > MAX_FILE_BYTES:
        raise ConfigError(f"{path}: larger than {MAX_FILE_BYTES} bytes")
    return parse(raw, path)


def parse(raw: bytes, path: str = "configuration") -> Config:
    """Return the validated configuration of a file's bytes; ConfigError begins with `path`."""
    try:
        file = msgspec.json.decode(raw, type=File)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise ConfigError(f"{path}: {error}") from None
    _check_file(file, path)
    try:
        settings = simulator_settings.parse_settings(file.settings)
        limits = file.settings.get("limits", {})
        family = file.settings["familyInfo"]
        shard_count = int(family.get("slabs", settings.cell_count))
        streams = int(limits.get("multiplex") or 1)
        leaf_idle_close_us = int(limits.get("idleCloseUs") or DEFAULT_LEAF_IDLE_CLOSE_US)
        max_open = limits.get("openCap")
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise ConfigError(f"{path}: settings: {type(error).__name__}: {error}") from None
    if shard_count < 1 or streams < 1 or settings.cell_count < 1 or not settings.classes:
        raise ConfigError(
            f"{path}: settings: slabs, positions, multiplex and lanes must not be zero or empty"
        )
    return Config(
        file.name,
        file.listen,
        file.discovery,
        _seed(file.seed),
        file.limits,
        file.known,
        settings,
        shard_count,
        streams,
        leaf_idle_close_us,
        math.inf if max_open is None else max_open,
    )


def _check_file(file, path):
    for name in ("listen", "discovery"):
        try:
            parse_address(getattr(file, name))
        except AddressError as error:
            raise ConfigError(f"{path}: {name}: {error}") from None
    limits = file.limits
    if not (limits.cores > 0 and limits.memory_mb > 0 and limits.sockets >= MIN_SOCKETS):
        raise ConfigError(
            f"{path}: limits: cores and memory_mb must be above 0, sockets at least 32"
        )


def _seed(text):
    try:
        return int(text, 16)
    except ValueError:
        return hash(text)
