"""The configuration of a root: a JSON5 file that is validated completely before the root starts.

docs/operators.md lists every setting. Each error names the path of the setting and how to correct
it. Settings whose names end in `_ms` are in milliseconds, those that end in `_s` in seconds.
"""

from mothnotch.config.checks import check
from mothnotch.config.errors import ConfigError
from mothnotch.config.loading import decode, load
from mothnotch.config.root_config import Config
from mothnotch.config.roster import load_roster
from mothnotch.config.strict import Strict

__all__ = ["Config", "ConfigError", "Strict", "check", "decode", "load", "load_roster"]
