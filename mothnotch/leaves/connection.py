"""One connection to a leaf: opening it, and the task that reads from it.

What runs over it is an exchange, which does no I/O: the connection feeds it what the leaf says and
sends the bytes that it returns.
"""

import trio

from mothnotch.net import CONNECTION_LOST_ERRORS
from mothnotch.net.write_buffer import BufferedWriter
from mothnotch.pgwire import auth, client
from mothnotch.pgwire.backend import ErrorFields
from mothnotch.pgwire.framing import ProtocolError

# Bytes read at once: more of a long answer would delay all other queries.
_READ_BYTES = 1 << 14
_OPENING_READ_BYTES = 1 << 16
# Authentication requests of the PostgreSQL wire.
_SASL = 10
_SASL_CONTINUE = 11
_SASL_FINAL = 12
_INVALID_AUTHORIZATION = "28000"


class NoAnswerError(Exception):
    """A connection was made and the leaf turned it away, with an error: `fields`."""

    def __init__(self, fields: ErrorFields):
        """`fields`: the leaf's error."""
        super().__init__(fields.text)
        self.fields = fields


class Connection(BufferedWriter):
    """An authenticated connection, once `open` has returned.

    `call`: the call in flight on it, or None; `pid` and `secret` are for cancelling what runs on
    it; `idle_since_s`: when it was released last.
    """

    def __init__(self, pool, stream, leaf, address: str):
        """Take over a stream to that leaf at that address, for that pool."""
        super().__init__(pool.network, pool.nursery, stream)
        self.pool = pool
        self.leaf = leaf
        self.address = address
        self.call = None
        self.pid = None
        self.secret = None
        self.idle_since_s = 0.0
        # Nothing of its call has been sent yet, not a byte.
        self._first_byte_unsent = False
        self._wire = client.ClientConnection(pool.settings.message_limit)

    # ---- opening ----

    async def open(self, parameters: dict, password: str | None) -> None:
        """Start up and authenticate, until the leaf is ready.

        Raise NoAnswerError if the leaf turns the connection away, EOFError if it closes it. The
        caller bounds the wait.
        """
        await self.stream.send_all(client.startup(parameters))
        scram = None
        while True:
            event = await self._receive()
            if type(event) is client.Auth and event.code:
                scram = await self._authenticate(event, scram, parameters["user"], password)
            elif type(event) is client.KeyData:
                self.pid = event.pid
                self.secret = event.secret
            elif type(event) is client.Failed:
                raise NoAnswerError(event.fields)
            elif type(event) is client.Ready:
                return

    async def _authenticate(self, event, scram, user, password):
        """Answer an authentication request; return the SCRAM exchange, None before it begins."""
        if event.code == _SASL and password is not None:
            scram = auth.client(user, password)
            first = client.sasl_initial(auth.MECHANISM, scram.get_client_first())
            await self.stream.send_all(first)
        elif event.code == _SASL_CONTINUE and scram:
            scram.set_server_first(event.rest.decode())
            await self.stream.send_all(client.sasl_response(scram.get_client_final()))
        elif event.code == _SASL_FINAL and scram:
            scram.set_server_final(event.rest.decode())
        else:
            raise NoAnswerError(
                ErrorFields(
                    "FATAL",
                    _INVALID_AUTHORIZATION,
                    f"the leaf asks for authentication {event.code}, which is not configured",
                )
            )
        return scram

    async def _receive(self):
        """Return the next event; raise EOFError if the leaf closed the connection."""
        while True:
            event = self._wire.next_event()
            if event is not None:
                return event
            data = await self.stream.receive_some(_OPENING_READ_BYTES)
            if not data:
                raise EOFError("the leaf closed the connection")
            self._wire.receive(data)

    # ---- sending ----

    def start_call(self, call) -> None:
        """Send the first bytes of a call; it is in flight from here on."""
        call.connection = self
        self.call = call
        sent_us = int(trio.current_time() * 1e6)
        for attempt in call.live_attempts:
            attempt.on_sent(sent_us)
        self._first_byte_unsent = True
        self.send(call.exchange.begin())

    def on_bytes_written(self, count: int, at_s: float) -> None:
        """Note whether the first byte of its call has been sent."""
        self._first_byte_unsent = self._first_byte_unsent and not count

    def revoke_unsent(self) -> bool:
        """Withdraw its call if nothing of it was sent and its leaf takes nothing new any more."""
        return (
            self._first_byte_unsent
            and not self.leaf.takes_new
            and self.call is not None
            and self.pool.withdraw(self)
        )

    def on_connection_lost(self) -> None:
        """End what runs on it as BROKEN."""
        self.pool.connection_lost(self)

    # ---- reading ----

    async def read_until_lost(self) -> None:
        """Take in what the leaf says until the connection is lost or abandoned."""
        try:
            while True:
                data = await self.stream.receive_some(_READ_BYTES)
                if self.dead:
                    return
                if not data:
                    break
                self.leaf.own.last_answered_us = int(trio.current_time() * 1e6)
                self._wire.receive(data)
                self._process_events()
                if self.dead:
                    return
        except CONNECTION_LOST_ERRORS:
            pass
        except (ProtocolError, ValueError, LookupError) as error:
            self.pool.log.warning("leaf broke the protocol", leaf=self.leaf.name, error=str(error))
        except Exception as error:
            # A defect of the root's must cost this connection's calls, not every client of this
            # root.
            self.pool.log.error(
                "unexpected error", leaf=self.leaf.name, error=repr(error), exc_info=True
            )
        self.pool.connection_lost(self)

    def _process_events(self):
        """Feed what has come to the exchange, and send what it returns."""
        out = b""
        while (event := self._wire.next_event()) is not None:
            call = self.call
            if call is None:  # unasked: an error before it closes, or a half-read answer's rest
                self.pool.connection_lost(self)
                return
            out += call.exchange.receive(event)
            if call.exchange.over:
                self.pool.release(self)
        if out:
            self.send(out)
