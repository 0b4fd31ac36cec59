"""The exchange of a call that writes: one transaction under its key, without I/O.

Its rounds, each up to the leaf's next ReadyForQuery: BEGIN, the key and the statements; then, if
the counts are those expected, the answer beside the key and COMMIT. A key that is there already
means that an earlier attempt was committed: its stored answer is read and given.
"""

import msgspec

from mothnotch.decisions import interface, outcomes, transactions
from mothnotch.leaves.payload import Rows, affected
from mothnotch.pgwire import client
from mothnotch.pgwire.backend import ErrorFields

_KEY_TABLE = "mothnotch_keys"
_INSERT_KEY_SQL = f"INSERT INTO {_KEY_TABLE} (key, answer) VALUES ($1, '')"
_STORE_ANSWER_SQL = f"UPDATE {_KEY_TABLE} SET answer = $2 WHERE key = $1"
_READ_ANSWER_SQL = f"SELECT answer FROM {_KEY_TABLE} WHERE key = $1"
# The largest answer that is stored beside its key: a leaf's table of keys must stay small.
_ANSWER_LIMIT_BYTES = 1 << 16
# The type of the values of the statements above.
_TEXT_OID = 25
_UNIQUE_VIOLATION = "23505"
_PROGRAM_LIMIT_EXCEEDED = "54000"


class WriteExchange:
    """One write.

    Until COMMIT is sent nothing can have taken effect, and `committing` says so. `over`: whether
    the attempt has been answered.
    """

    def __init__(self, attempts: list):
        """Exchange the write of one attempt, the only one in the list."""
        (self._attempt,) = attempts
        self.attempts = attempts
        self.over = False
        self.committing = False
        self._payload = self._attempt.payload
        self._answer_bytes = 0
        # What to do at the end of a round, by the transaction's status: the next round's bytes.
        self._end_round = self._end_statements
        self._failure = None
        self._answer = None
        self._clear_round()

    def begin(self) -> bytes:
        """Return the bytes to send first."""
        out = self._statement("BEGIN") + self._statement(_INSERT_KEY_SQL, self._payload.key)
        for statement in self._payload.statements:
            out += client.statement(
                self._payload.tag + statement.sql, statement.oids, statement.values
            )
        return out + client.SYNC

    def fail(self, result: interface.Result) -> None:
        """End the attempt: the connection is lost, or its time is over.

        Before COMMIT was sent that is proof that nothing has run.
        """
        if not self.committing:
            result = outcomes.result_before_commit(result)
        self._attempt.complete(result)

    def waits_only_for(self, attempt) -> bool:
        """Return True: it has one attempt."""
        return True

    def receive(self, event) -> bytes:
        """Take in one event; return bytes to send: the next round's, or none."""
        kind = type(event)
        if kind is client.Row:
            self._answer_bytes += event.size
            # Past it the write is rolled back at the end of the round.
            if self._answer_bytes <= 2 * _ANSWER_LIMIT_BYTES:
                self._rows.rows.append(event.values)
        elif kind is client.Complete:
            self._completed_tags.append(event.tag)
            self._answers.append(self._rows)
            self._rows = Rows(tags=[])
        elif kind is client.Failed:
            self._error = self._error or event.fields
        elif kind is client.Ready:
            out = self._end_round()
            self._clear_round()
            return out
        return b""

    def _clear_round(self):
        """Begin a new round: what the leaf says up to its next ReadyForQuery."""
        self._error = None
        self._completed_tags = []
        self._answers = []
        self._rows = Rows()

    def _statement(self, sql, *texts):
        oids = (_TEXT_OID,) * len(texts)
        return client.statement(
            self._payload.tag + sql, oids, tuple(text.encode() for text in texts)
        )

    # ---- the ends of rounds ----

    def _end_statements(self):
        """BEGIN, the key and the statements were run, or one of them failed."""
        if self._error is not None:
            # BEGIN alone was completed: it is the key that failed.
            if len(self._completed_tags) == 1 and self._error.sqlstate == _UNIQUE_VIOLATION:
                return self._ask_stored_answer()
            return self._roll_back(self._error)
        tags = self._completed_tags[2:]
        error = self._count_error([affected(tag) for tag in tags])
        if error is not None:
            return self._roll_back(error)
        self._answer = Rows(self._answers[-1].rows, tags)
        stored = _encode_answer(self._answer)
        if len(stored) > _ANSWER_LIMIT_BYTES or self._answer_bytes > _ANSWER_LIMIT_BYTES:
            return self._roll_back(_answer_too_large())
        # While its statements ran: past this they might take effect twice.
        if self._attempt.past_retry_window:
            return self._roll_back(None)
        self._end_round = self._end_commit
        self.committing = True
        self._attempt.part.commit_sent = True
        return (
            self._statement(_STORE_ANSWER_SQL, self._payload.key, stored)
            + self._statement("COMMIT")
            + client.SYNC
        )

    def _count_error(self, counts):
        """Return the error for counts that are not those expected, else None."""
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

    def _ask_stored_answer(self):
        """Roll back and read the answer of the earlier attempt, which was committed."""
        self._end_round = self._end_stored_answer
        return (
            self._statement("ROLLBACK")
            + self._statement(_READ_ANSWER_SQL, self._payload.key)
            + client.SYNC
        )

    def _roll_back(self, error):
        self._failure = error
        self._end_round = self._end_rollback
        return client.query("ROLLBACK")

    def _end_rollback(self):
        """It was rolled back, and the leaf said so: proven not to have run."""
        self.over = True
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

    def _end_commit(self):
        self.over = True
        if self._error is None and self._completed_tags and self._completed_tags[-1] == "COMMIT":
            self._attempt.complete(interface.Result.OK, self._answer)
        else:
            self._attempt.complete(interface.Result.ERROR)
        return b""

    def _end_stored_answer(self):
        self.over = True
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
    """Return an answer as it is stored beside its key: command tags and rows, JSON."""
    return msgspec.json.encode(
        [
            rows.tags,
            [[None if value is None else value.decode() for value in row] for row in rows.rows],
        ]
    ).decode()


def _decode_answer(stored):
    """Return the answer that `_encode_answer` stored."""
    tags, rows = msgspec.json.decode(stored)
    return Rows(
        [[None if value is None else value.encode() for value in row] for row in rows], tags
    )
