"""Statement errors with PostgreSQL's SQLSTATE codes."""


class SqlError(Exception):
    """An error sent to the client: a SQLSTATE, a message and an optional hint."""

    def __init__(self, sqlstate, text, hint=""):
        super().__init__(text)
        self.sqlstate, self.text, self.hint = sqlstate, text, hint


def unsupported(
    construct, why="it is not known to stay right when the statement is split over bin ranges"
):
    """Return the error 0A000 (feature_not_supported) that names the construct."""
    return SqlError("0A000", f"{construct} is not supported: {why}")
