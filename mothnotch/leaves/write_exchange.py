"""Protocol of a write call: one transaction with an idempotency key, without I/O.

A round trip ends with the leaf's ReadyForQuery. The first one sends BEGIN, inserts the key and runs
the statements. If the row counts are as expected, the second one stores the answer with the key and
sends COMMIT. If the key exists already, an earlier attempt was committed: its stored answer is read
and returned.
"""

import msgspec

from mothnotch.decisions import interface, outcomes, transactions
from mothnotch.leaves.payload import Rows, affected_rows
from mothnotch.pgwire import client
from mothnotch.pgwire.backend import ErrorFields

_KEY_TABLE = "mothnotch_keys"
_INSERT_KEY_SQL = f"INSERT INTO {_KEY_TABLE} (key, answer) VALUES ($1, '')"
_STORE_ANSWER_SQL = f"UPDATE {_KEY_TABLE} SET answer = $2 WHERE key = $1"
_READ_ANSWER_SQL = f"SELECT answer FROM {_KEY_TABLE} WHERE key = $1"
# Maximum size of an answer that is stored with its key: the leaf's key table must stay small.
_ANSWER_LIMIT_BYTES = 1 << 16
# Type of the parameters of the statements above.
_TEXT_OID = 25
_UNIQUE_VIOLATION = "23505"
_PROGRAM_LIMIT_EXCEEDED = "54000"


class WriteExchange:
    """The exchange of one write.

    `committing`: whether COMMIT was sent; before that the write cannot have taken effect.
    `is_complete`: whether the attempt has been answered.
    """

    def __init__(self, attempts: list):
        """Create the exchange of a write; `attempts` contains exactly one attempt."""
        (self._attempt,) = attempts
        self.attempts = attempts
        self.is_complete = False
        self.committing = False
        self._payload = self._attempt.payload
        self._answer_bytes = 0
        # Handler for the end of the current round trip; returns the bytes of the next one.
        self._on_round_trip_end = self._on_statements_end
        self._failure = None
        self._answer = None
        self._reset_round_trip()

    def begin(self) -> bytes:
        """Return the bytes that start the exchange."""
        out = self._statement("BEGIN") + self._statement(_INSERT_KEY_SQL, self._payload.key)
        for statement in self._payload.statements:
            out += client.statement(
                self._payload.tag + statement.sql, statement.oids, statement.values
            )
        return out + client.SYNC

    def fail(self, result: interface.Result) -> None:
        """End the attempt because the connection was lost or the attempt timed out.

        If COMMIT was not sent, the write has certainly not taken effect.
        """
        if not self.committing:
            result = outcomes.result_before_commit(result)
        self._attempt.complete(result)

    def is_only_pending(self, attempt) -> bool:
        """Return True: the exchange has one attempt."""
        return True

    def receive(self, event) -> bytes:
        """Process one event; return the bytes to send: those of the next round trip, or none."""
        kind = type(event)
        if kind is client.DataRow:
            self._answer_bytes += event.size
            # Above the limit the write is rolled back at the end of the round trip.
            if self._answer_bytes <= 2 * _ANSWER_LIMIT_BYTES:
                self._rows.rows.append(event.values)
        elif kind is client.CommandComplete:
            self._completed_tags.append(event.tag)
            self._answers.append(self._rows)
            self._rows = Rows(tags=[])
        elif kind is client.ErrorResponse:
            self._error = self._error or event.fields
        elif kind is client.ReadyForQuery:
            out = self._on_round_trip_end()
            self._reset_round_trip()
            return out
        return b""

    def _reset_round_trip(self):
        """Reset the state for the answers to the next round trip."""
        self._error = None
        self._completed_tags = []
        self._answers = []
        self._rows = Rows()

    def _statement(self, sql, *texts):
        oids = (_TEXT_OID,) * len(texts)
        return client.statement(
            self._payload.tag + sql, oids, tuple(text.encode() for text in texts)
        )

    # ---- ends of round trips ----

    def _on_statements_end(self):
        """Handle the end of BEGIN, the key and the statements, or the failure of one of them."""
        if self._error is not None:
            # Only BEGIN was completed, so the insert of the key failed.
            if len(self._completed_tags) == 1 and self._error.sqlstate == _UNIQUE_VIOLATION:
                return self._read_stored_answer()
            return self._roll_back(self._error)
        tags = self._completed_tags[2:]
        error = self._count_error([affected_rows(tag) for tag in tags])
        if error is not None:
            return self._roll_back(error)
        self._answer = Rows(self._answers[-1].rows, tags)
        stored = _encode_answer(self._answer)
        if len(stored) > _ANSWER_LIMIT_BYTES or self._answer_bytes > _ANSWER_LIMIT_BYTES:
            return self._roll_back(_answer_too_large())
        # The window passed while the statements ran: committing now could apply a write twice.
        if self._attempt.past_retry_window:
            return self._roll_back(None)
        self._on_round_trip_end = self._on_commit_end
        self.committing = True
        self._attempt.part.commit_sent = True
        return (
            self._statement(_STORE_ANSWER_SQL, self._payload.key, stored)
            + self._statement("COMMIT")
            + client.SYNC
        )

    def _count_error(self, counts):
        """Return the error for row counts that differ from the expected ones, else None."""
        expected_counts = self._payload.expected_counts
        if transactions.counts_agree(expected_counts, counts):
            return None
        changed = outcomes.COUNT_CHANGED
        expected, counted = next(
            (expected, counted)
            for expected, counted in zip(expected_counts, counts, strict=True)
            if expected not in (None, counted)
        )
        text = changed.text.format(told=expected, now=counted)
        return ErrorFields("ERROR", changed.sqlstate, text, hint=changed.hint)

    def _read_stored_answer(self):
        """Roll back and read the stored answer of the earlier attempt, which was committed."""
        self._on_round_trip_end = self._on_stored_answer_end
        return (
            self._statement("ROLLBACK")
            + self._statement(_READ_ANSWER_SQL, self._payload.key)
            + client.SYNC
        )

    def _roll_back(self, error):
        self._failure = error
        self._on_round_trip_end = self._on_rollback_end
        return client.query("ROLLBACK")

    def _on_rollback_end(self):
        """Handle a confirmed rollback: the write has certainly not taken effect."""
        self.is_complete = True
        if self._failure is None:
            self._attempt.complete(interface.Result.UNSENT)
            return b""
        sqlstate = self._failure.sqlstate
        found = outcomes.classify_error(sqlstate)
        count_changed = sqlstate == outcomes.COUNT_CHANGED.sqlstate
        if found.fault is outcomes.Fault.QUERY or count_changed:
            self._attempt.query_error(self._failure)
        else:
            self._attempt.complete(outcomes.result_before_commit(found.result))
        return b""

    def _on_commit_end(self):
        self.is_complete = True
        if self._error is None and self._completed_tags and self._completed_tags[-1] == "COMMIT":
            self._attempt.complete(interface.Result.OK, self._answer)
        else:
            self._attempt.complete(interface.Result.ERROR)
        return b""

    def _on_stored_answer_end(self):
        self.is_complete = True
        if self._error is None and self._answers and self._answers[-1].rows:
            stored = self._answers[-1].rows[0][0]
            self._attempt.complete(interface.Result.OK, _decode_answer(stored))
        else:
            self._attempt.complete(interface.Result.ERROR)
        return b""


def _answer_too_large():
    return ErrorFields(
        "ERROR",
        _PROGRAM_LIMIT_EXCEEDED,
        f"the answer of a write would pass {_ANSWER_LIMIT_BYTES} bytes; nothing was changed",
        hint="Return fewer rows.",
    )


def _encode_answer(rows):
    """Return an answer encoded for storage with its key: command tags and rows as JSON."""
    return msgspec.json.encode(
        [
            rows.tags,
            [[None if value is None else value.decode() for value in row] for row in rows.rows],
        ]
    ).decode()


def _decode_answer(stored):
    """Decode an answer that was encoded by `_encode_answer`."""
    tags, rows = msgspec.json.decode(stored)
    return Rows(
        [[None if value is None else value.encode() for value in row] for row in rows], tags
    )
