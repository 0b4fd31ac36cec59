"""Structured logs on standard error, as JSON lines or in console format, with structlog.

A line that cannot be written at once is dropped and counted; the next line that is written states
the number of dropped lines.
"""

import logging

import structlog

from mothnotch.net.line_output import LineOutput, standard_error


class LineLogger:
    """The final logger in structlog's chain: writes rendered lines to a LineOutput."""

    def __init__(self, output: LineOutput):
        """Write lines to `output`."""
        self._output = output

    def msg(self, text: str):
        """Write one line."""
        self._output.write(f"{text}\n".encode(errors="backslashreplace"))

    log = debug = info = warn = warning = msg
    fatal = failure = err = error = critical = exception = msg


def logger(format="json", level="info", output: LineOutput | None = None):
    """Return a new logger; `output` defaults to standard error. No global state changes."""
    output = output or standard_error()

    def add_dropped(_logger, _method, event):
        if output.dropped:
            event["dropped_before"] = output.dropped
        return event

    processors = [
        add_dropped,
        structlog.processors.add_log_level,
        structlog.processors.TimeStamper(fmt="iso", utc=True),
    ]
    processors.append(
        structlog.processors.JSONRenderer()
        if format == "json"
        else structlog.dev.ConsoleRenderer(colors=False)
    )
    return structlog.wrap_logger(
        LineLogger(output),
        processors=processors,
        wrapper_class=structlog.make_filtering_bound_logger(getattr(logging, level.upper())),
    )


def null_logger():
    """Return a logger that drops everything, for runs whose logs are not evaluated."""

    def drop(logger, method, event):
        raise structlog.DropEvent

    return structlog.wrap_logger(
        structlog.ReturnLogger(),
        processors=[drop],
        wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL),
    )
