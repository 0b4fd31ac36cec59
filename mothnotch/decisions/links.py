"""What a root believes of its connections: which of them still carry answers, and what may still go out on them.

`Hearing` guards against connections that fall silent while the leaf behind them is sound (a forgotten address
translation, a peer that vanished without a word, an answer that never ends): everything sent there would time out, and
the leaf be blamed. Harm: a leaf that is slow for all gets a new connection for each part that was given up there,
which costs it a handshake.
"""
from mothnotch.decisions.interface import Result

DRIFT = 1.03                      # step of the running median
PATIENCE = 3                      # times the usual answer that nothing may be heard for


class Hearing:
    """The usual time of an answer, and what silence for longer says of a connection."""

    def __init__(self):
        self.usual_us = None

    def answered(self, took_us):
        if self.usual_us is None:
            self.usual_us = max(1.0, took_us)
        self.usual_us *= DRIFT if took_us > self.usual_us else 1 / DRIFT

    def silent(self, sent_us, heard_us, now_us):
        """Whether a connection is in doubt when something sent on it is given up: nothing at all has come since."""
        return heard_us < sent_us and self.usual_us is not None and now_us - sent_us >= PATIENCE * self.usual_us


class Places:
    """Which places for parts on a connection may still be taken by parts given up there.

    A leaf reads so many parts of a connection and lets any beyond wait unread, with all that comes behind them. So a part
    that would wait is no part sent: it would go to a leaf that drains, past its window, or as a second copy, once it is
    read. The word that a part is given up frees its place once the leaf has read it, and nothing says when: at the latest
    by an answer to what was written behind that word. Guards against that wait. Harm: where nothing is answered any more,
    a connection takes no more parts after as many as it has places for, and another is opened."""

    def __init__(self):
        self.written, self.held = 0, {}      # calls written; id given up -> calls written before the word

    def wrote(self):
        """The number of the call that is written now."""
        self.written += 1
        return self.written

    def gave_up(self, wire_id):
        self.held.pop(wire_id, None)
        self.held[wire_id] = self.written

    def answered(self, wire_id, number=0):
        """An answer came: to something given up, or to what is out in the call of that number."""
        self.held.pop(wire_id, None)
        while self.held and self.held[first := next(iter(self.held))] < number:
            del self.held[first]


def held_back(takes_new, over, repeat_s, left_s):
    """How an attempt ends that has waited and may not go out any more; None if it may. Asked at the last point before
    its first byte leaves: of the leaf, told to drain or gone or at another address by now; of whether it is over, as its
    client left or another attempt brought the part; of the time in which it may still be repeated; of the time it still
    has. Guards against work for nobody and effects twice. Harm: none, none of it has run."""
    if not takes_new or over or repeat_s < 0:
        return Result.UNSENT
    return Result.UNREACHABLE if left_s <= 0 else None


def closes(word_waits, over, copies):
    """Whether giving up an attempt that is out needs a close: the word for it cannot leave at once, and another attempt,
    which only an open query makes, would overtake it and be a second copy. Harm: the others on that connection may have
    run then; so not where copies are allowed, nor for a query that is over."""
    return word_waits and not over and not copies


def overdue(idle_for_s, most_s):
    """Whether an idle connection is past its time: the leaf may be closing it at this very instant."""
    return idle_for_s >= most_s


def sweep_s(most_s):
    """How often idle connections are looked at."""
    return min(0.5, most_s / 4)
