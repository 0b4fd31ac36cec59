"""Log lines as JSON on standard error, with the methods that structlog's loggers have; structlog itself would cost a
small root 8 MB. What repeats is bounded: past `most` lines of one event in `span_s`, they are only counted."""
import sys
import time

import msgspec


class Log:
    def __init__(self, stream=None, most=20, span_s=10.0, clock=time.time):
        self.stream, self.most, self.span_s, self.clock, self.seen = stream or sys.stderr, most, span_s, clock, {}

    def write(self, level, event, fields):
        now = self.clock()
        since, count = self.seen.get(event, (now, 0))
        if now - since >= self.span_s:
            if count > self.most:
                fields["not_shown_before"] = count - self.most
            since, count = now, 0
        if len(self.seen) > 256:
            self.seen.clear()
        self.seen[event] = since, count + 1
        if count < self.most:
            line = {"t": round(now, 3), "level": level, "event": event, **fields}
            print(msgspec.json.encode(line, enc_hook=repr).decode(), file=self.stream, flush=True)

    def info(self, event, **fields):
        self.write("info", event, fields)

    def warning(self, event, **fields):
        self.write("warning", event, fields)

    def error(self, event, exc_info=False, **fields):
        self.write("error", event, fields)
