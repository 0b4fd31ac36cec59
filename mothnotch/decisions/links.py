"""What a root believes of its connections: which of them still carry answers.

Guards against connections that fall silent while the leaf behind them is sound (a forgotten address translation, a
peer that vanished without a word): everything sent there would time out, and the leaf be blamed. Harm: a leaf that
is slow for all gets a new connection for each part that was given up there, which costs it a handshake.
"""
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
