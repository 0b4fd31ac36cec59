"""One call: attempts that are sent to one leaf together, on one connection."""


class Call:
    """A call in flight: an exchange, and the connection it runs on.

    `connection`: None until a connection is assigned; `connect_scope`: the cancel scope of the
    connect that is made for the call, if any.
    """

    def __init__(self, pool, leaf, exchange):
        """Create a call that sends the attempts of `exchange` to `leaf`."""
        self.pool = pool
        self.leaf = leaf
        self.exchange = exchange
        self.connection = None
        self.connect_scope = None
        for attempt in exchange.attempts:
            attempt.call = self

    @property
    def live_attempts(self) -> list:
        """The attempts of the call that have not ended."""
        return [attempt for attempt in self.exchange.attempts if not attempt.ended]

    @property
    def sent(self) -> bool:
        """Whether any bytes of the call may have been sent."""
        return self.connection is not None

    def cancel(self, attempt) -> None:
        """Handle a cancelled or expired attempt; cancel the call once all its attempts ended."""
        if not self.live_attempts:
            self.pool.cancel_call(self)
