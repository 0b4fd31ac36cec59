"""The exception for an invalid configuration."""


class ConfigError(Exception):
    """All errors found in a configuration or roster file."""

    def __init__(self, errors: list[str]):
        """Store the errors, one line each: the path of the setting, and the problem."""
        super().__init__("\n".join(errors))
        self.errors = errors
