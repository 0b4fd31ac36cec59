"""The command line; each module of commands registers them with the application on import."""

from mothnotch.cli import day_commands, demo_commands, measurement_commands, root_commands
from mothnotch.cli.application import app
from mothnotch.cli.leaf_processes import leaf_processes

__all__ = [
    "app",
    "day_commands",
    "demo_commands",
    "leaf_processes",
    "main",
    "measurement_commands",
    "root_commands",
]


def main() -> None:
    """Run the command given by the arguments of the process."""
    app()
