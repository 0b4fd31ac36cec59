"""One connection to a leaf: startup, authentication and the task that reads from it.

An exchange implements the protocol of a call without I/O: the connection passes it the leaf's
messages and sends the bytes that it returns.
"""

import trio

from mothnotch.net import CONNECTION_LOST_ERRORS
from mothnotch.net.write_buffer import BufferedWriter
from mothnotch.pgwire import auth, client
from mothnotch.pgwire.backend import ErrorFields
from mothnotch.pgwire.framing import ProtocolError

# Maximum bytes per read: processing more of a long answer at once would delay all other queries.
_READ_BYTES = 1 << 14
_STARTUP_READ_BYTES = 1 << 16
# Codes of authentication requests in the PostgreSQL protocol.
_SASL = 10
_SASL_CONTINUE = 11
_SASL_FINAL = 12
_INVALID_AUTHORIZATION = "28000"


class ConnectionRejectedError(Exception):
    """The leaf rejected a connection during startup with an error, `fields`."""

    def __init__(self, fields: ErrorFields):
        """Create the exception from the leaf's error fields."""
        super().__init__(fields.text)
        self.fields = fields


class Connection(BufferedWriter):
    """A connection to a leaf, which is authenticated once `open` has returned.

    `call`: the call in flight, or None; `pid` and `secret`: the key data that a cancel request
    needs; `idle_since_s`: when the connection was last released.
    """

    def __init__(self, pool, stream, leaf, address: str):
        """Take ownership of a stream that is connected to `leaf` at `address`."""
        super().__init__(pool.network, pool.nursery, stream)
        self.pool = pool
        self.leaf = leaf
        self.address = address
        self.call = None
        self.pid = None
        self.secret = None
        self.idle_since_s = 0.0
        # True while no byte of the current call has been sent.
        self._first_byte_unsent = False
        self._wire = client.ClientConnection(pool.settings.message_limit)

    # ---- startup ----

    async def open(self, parameters: dict, password: str | None) -> None:
        """Send the startup message and authenticate; return once the leaf is ready.

        Raise ConnectionRejectedError if the leaf answers with an error, EOFError if it closes the
        connection. The caller sets the timeout.
        """
        await self.stream.send_all(client.startup(parameters))
        scram = None
        while True:
            event = await self._receive()
            if type(event) is client.Authentication and event.code:
                scram = await self._authenticate(event, scram, parameters["user"], password)
            elif type(event) is client.BackendKeyData:
                self.pid = event.pid
                self.secret = event.secret
            elif type(event) is client.ErrorResponse:
                raise ConnectionRejectedError(event.fields)
            elif type(event) is client.ReadyForQuery:
                return

    async def _authenticate(self, event, scram, user, password):
        """Answer an authentication request; return the SCRAM client, None if there is none yet."""
        if event.code == _SASL and password is not None:
            scram = auth.make_scram_client(user, password)
            first = client.sasl_initial(auth.MECHANISM, scram.get_client_first())
            await self.stream.send_all(first)
        elif event.code == _SASL_CONTINUE and scram:
            scram.set_server_first(event.rest.decode())
            await self.stream.send_all(client.sasl_response(scram.get_client_final()))
        elif event.code == _SASL_FINAL and scram:
            scram.set_server_final(event.rest.decode())
        else:
            raise ConnectionRejectedError(
                ErrorFields(
                    "FATAL",
                    _INVALID_AUTHORIZATION,
                    f"the leaf requires authentication {event.code}, which is not configured",
                )
            )
        return scram

    async def _receive(self):
        """Wait for the next event; raise EOFError if the leaf closed the connection."""
        while True:
            event = self._wire.next_event()
            if event is not None:
                return event
            data = await self.stream.receive_some(_STARTUP_READ_BYTES)
            if not data:
                raise EOFError("the leaf closed the connection")
            self._wire.receive(data)

    # ---- sending ----

    def start_call(self, call) -> None:
        """Assign a call to this connection and send its first bytes."""
        call.connection = self
        self.call = call
        sent_us = int(trio.current_time() * 1e6)
        for attempt in call.live_attempts:
            attempt.on_sent(sent_us)
        self._first_byte_unsent = True
        self.send(call.exchange.begin())

    def on_bytes_written(self, count: int, at_s: float) -> None:
        """Record whether the first byte of the call has been sent."""
        self._first_byte_unsent = self._first_byte_unsent and not count

    def revoke_unsent(self) -> bool:
        """Withdraw the call if none of it was sent and the leaf no longer takes new attempts."""
        return (
            self._first_byte_unsent
            and not self.leaf.takes_new
            and self.call is not None
            and self.pool.withdraw_call(self)
        )

    def on_connection_lost(self) -> None:
        """Close the connection; its call ends as BROKEN."""
        self.pool.close_connection(self)

    # ---- reading ----

    async def read_until_lost(self) -> None:
        """Read and process the leaf's messages until the connection is lost or closed."""
        try:
            while True:
                data = await self.stream.receive_some(_READ_BYTES)
                if self.is_closed:
                    return
                if not data:
                    break
                self.leaf.local_evidence.last_answered_us = int(trio.current_time() * 1e6)
                self._wire.receive(data)
                self._process_events()
                if self.is_closed:
                    return
        except CONNECTION_LOST_ERRORS:
            pass
        except (ProtocolError, ValueError, LookupError) as error:
            self.pool.log.warning("leaf broke the protocol", leaf=self.leaf.name, error=str(error))
        except Exception as error:
            # A bug in this code must fail only the calls of this connection, not all clients of
            # the root.
            self.pool.log.error(
                "unexpected error", leaf=self.leaf.name, error=repr(error), exc_info=True
            )
        self.pool.close_connection(self)

    def _process_events(self):
        """Pass the received messages to the exchange and send the bytes that it returns."""
        out = b""
        while (event := self._wire.next_event()) is not None:
            call = self.call
            if call is None:
                # Unsolicited: an error before the leaf closes the connection, or the rest of an
                # answer that was only read in part.
                self.pool.close_connection(self)
                return
            out += call.exchange.receive(event)
            if call.exchange.is_complete:
                self.pool.release(self)
        if out:
            self.send(out)
