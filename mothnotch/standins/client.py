"""A stand-in client that speaks the PostgreSQL wire protocol and runs one statement at a time.

Callers can disconnect midway, cancel a statement or send the next one at once, and can check that
the server sends nothing after the end of a reply.
"""

from dataclasses import dataclass, field

import trio

from mothnotch.net import close_now
from mothnotch.pgwire import backend as b
from mothnotch.pgwire import client


@dataclass(slots=True)
class Reply:
    """The server's reply to one message: everything up to ReadyForQuery."""

    rows: list = field(default_factory=list)
    tags: list = field(default_factory=list)
    error: b.ErrorFields | None = None
    notices: list = field(default_factory=list)
    status: str = "I"


class ConnectionLostError(Exception):
    """The connection was lost before the reply was complete."""


class ClientWire(client.ClientConnection):
    """The root's decoder of leaf messages, which here also returns notices."""

    IGNORED_TYPES = client.ClientConnection.IGNORED_TYPES - {0x4E}

    def read(self, kind, body):
        return b.read_fields(body, "NoticeResponse") if kind == 0x4E else super().read(kind, body)


class Client:
    def __init__(self, network, address, user="desk"):
        self.network, self.address, self.user = network, address, user
        self.stream, self.wire, self.key, self.surplus = None, ClientWire(1 << 26), None, 0

    async def connect(self):
        self.stream = await self.network.open(self.address)
        await self.send(client.startup({"user": self.user, "database": "stock"}))
        reply = await self.read_reply()
        if reply.error is not None:
            raise ConnectionLostError(reply.error.text)

    async def send(self, data):
        try:
            await self.stream.send_all(data)
        except (OSError, trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise ConnectionLostError(str(error)) from None

    async def next_event(self):
        while True:
            event = self.wire.next_event()
            if event is not None:
                return event
            try:
                data = await self.stream.receive_some(1 << 16)
            except (OSError, trio.BrokenResourceError, trio.ClosedResourceError) as error:
                raise ConnectionLostError(str(error)) from None
            if not data:
                raise ConnectionLostError("closed")
            self.wire.receive(data)

    async def read_reply(self):
        reply = Reply()
        while True:
            event = await self.next_event()
            kind = type(event)
            if kind is client.DataRow:
                reply.rows.append(event.values)
            elif kind is client.CommandComplete:
                reply.tags.append(event.tag)
            elif kind is client.ErrorResponse:
                reply.error = event.fields
            elif kind is b.ErrorFields:
                reply.notices.append(event)
            elif kind is client.BackendKeyData:
                self.key = event
            elif kind is client.ReadyForQuery:
                reply.status = event.status
                return reply

    async def query(self, sql, *values):
        """Run one statement and return its reply.

        Without values it uses the simple protocol, otherwise the extended one, with values in text
        format and their types left to the server.
        """
        if values:
            encoded = tuple(None if v is None else str(v).encode() for v in values)
            await self.send(client.statement(sql, (), encoded) + client.SYNC)
        else:
            await self.send(client.query(sql))
        return await self.read_reply()

    async def cancel(self):
        """Cancel the statement that runs on this connection, over a separate connection."""
        stream = await self.network.open(self.address)
        await stream.send_all(client.cancel_request(self.key.pid, self.key.secret))
        with trio.move_on_after(1):
            await stream.receive_some(1)
        close_now(stream)

    async def surplus_bytes(self, seconds):
        """Return the count of bytes that arrive unrequested within the time; 0 is expected."""
        with trio.move_on_after(seconds):
            data = await self.stream.receive_some(1 << 16)
            return len(data)
        return 0

    def close(self):
        if self.stream is not None:
            close_now(self.stream)
