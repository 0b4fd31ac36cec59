"""Structured logs: JSON lines or console, on standard error, by structlog.

A line that cannot be written now is dropped and counted; the next one that is written says how
many were dropped.
"""

import logging

import structlog

from mothnotch.net.line_output import LineOutput, standard_error


class LineLogger:
    """What structlog hands rendered lines to."""

    def __init__(self, output: LineOutput):
        """Write each line to this output."""
        self._output = output

    def msg(self, text: str):
        """Write a line."""
        self._output.write(f"{text}\n".encode(errors="backslashreplace"))

    log = debug = info = warn = warning = msg
    fatal = failure = err = error = critical = exception = msg


def logger(format="json", level="info", output: LineOutput | None = None):
    """A logger of its own, to standard error without an output; nothing global is changed."""
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
    """A logger that drops everything: for runs that are judged by other means."""

    def drop(logger, method, event):
        raise structlog.DropEvent

    return structlog.wrap_logger(
        structlog.ReturnLogger(),
        processors=[drop],
        wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL),
    )
