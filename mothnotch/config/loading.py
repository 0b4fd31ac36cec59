"""Load the configuration file: decode it, validate it, and resolve the paths in it."""

from pathlib import Path
from typing import Any

import msgspec
import pyjson5

from mothnotch.config.checks import check
from mothnotch.config.errors import ConfigError
from mothnotch.config.root_config import Config


def decode(text: str, kind: Any, path) -> Any:
    """Return a JSON5 text converted to the type `kind`; `path` prefixes its errors.

    Raise ConfigError, which names the path of the invalid value.
    """
    try:
        raw = pyjson5.decode(text)
    except pyjson5.Json5Exception as error:
        reason = error.args[0] if error.args else error
        raise ConfigError([f"{path}: not JSON5: {reason}"]) from None
    try:
        return msgspec.convert(raw, kind, strict=True)
    except msgspec.ValidationError as error:
        # The message reads "Expected `int`, got `str` - at `$.root.me`".
        problem, _, place = str(error).partition(" - at `")
        where = place.rstrip("`").removeprefix("$").lstrip(".") or "top level"
        raise ConfigError([f"{path}: {where}: {problem[:1].lower() + problem[1:]}"]) from None


def load(path: str | Path) -> Config:
    """Return the validated configuration in a file.

    The paths of the roster and of the cached endpoint list are relative to the directory of the
    file. Raise ConfigError with all errors.
    """
    path = Path(path)
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise ConfigError([f"{path}: cannot be read: {error}"]) from None
    config = decode(text, Config, path)
    errors = check(config, path)
    if errors:
        raise ConfigError(errors)
    return _resolve_paths(config, path.parent)


def _resolve_paths(config: Config, directory: Path) -> Config:
    """Return the configuration with its file paths resolved against the directory."""
    if config.consul is None:
        return msgspec.structs.replace(config, roster=str(directory / config.roster))
    if config.consul.held is None:
        return config
    consul = msgspec.structs.replace(config.consul, held=str(directory / config.consul.held))
    return msgspec.structs.replace(config, consul=consul)
