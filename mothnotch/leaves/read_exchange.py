"""Protocol of a read call: statements pipelined on one connection, without I/O."""

from mothnotch.decisions import interface, outcomes
from mothnotch.leaves.payload import Rows
from mothnotch.pgwire import client


class ReadExchange:
    """The pipelined attempts of one call.

    Each statement is followed by its own Sync, so an error in one does not affect the others.
    `is_complete`: whether the leaf has answered them all.
    """

    def __init__(self, attempts: list):
        """Create an exchange that sends these attempts in order."""
        self.attempts = attempts
        self.is_complete = False
        self._position = 0  # index of the attempt that is answered next
        self._error = None
        self._rows = Rows()

    def begin(self) -> bytes:
        """Return the bytes that start the exchange."""
        # An attempt whose query ended while the connection was being made must not be sent.
        self.attempts = [attempt for attempt in self.attempts if not attempt.ended]
        return b"".join(
            client.statement(
                attempt.payload.tag + attempt.payload.statement.sql,
                attempt.payload.statement.oids,
                attempt.payload.statement.values,
            )
            + client.SYNC
            for attempt in self.attempts
        )

    def fail(self, result: interface.Result) -> None:
        """End every unanswered attempt: the connection was lost or never used."""
        for attempt in self.attempts[self._position :]:
            attempt.complete(result)

    def is_only_pending(self, attempt) -> bool:
        """Return whether no other attempt is pending, so that its end completes the exchange."""
        return all(other is attempt or other.ended for other in self.attempts)

    def receive(self, event) -> bytes:
        """Process one event; return the bytes to send, always none."""
        attempt = self.attempts[self._position]
        kind = type(event)
        if kind is client.DataRow:
            attempt.add_row(event.values, event.size)
        elif kind is client.CommandComplete:
            self._rows.tags.append(event.tag)
        elif kind is client.ErrorResponse:
            self._error = event.fields
        elif kind is client.ReadyForQuery:
            self._end_attempt(attempt)
        return b""

    def _end_attempt(self, attempt):
        """End the attempt that the leaf has answered and advance to the next."""
        if self._error is None:
            self._rows.rows = attempt.take_rows()
            attempt.complete(interface.Result.OK, self._rows)
        else:
            found = outcomes.classify_error(self._error.sqlstate)
            if found.fault is outcomes.Fault.QUERY:
                attempt.query_error(self._error)
            else:
                attempt.complete(found.result)
        self._position += 1
        self._error = None
        self._rows = Rows()
        self.is_complete = self._position == len(self.attempts)
