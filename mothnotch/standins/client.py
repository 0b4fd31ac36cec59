"""A stand-in client: speaks the PostgreSQL wire, asks one thing at a time, and counts what it is
answered.

It may leave midway, cancel, or ask again at once; it never trusts that one answer is all that
comes.
"""

from dataclasses import dataclass, field

import trio

from mothnotch.net import close_now
from mothnotch.pgwire import backend as b
from mothnotch.pgwire import client


@dataclass(slots=True)
class Reply:
    """What came back for one message: rows, tag, error and notices, up to ReadyForQuery."""

    rows: list = field(default_factory=list)
    tags: list = field(default_factory=list)
    error: b.ErrorFields | None = None
    notices: list = field(default_factory=list)
    status: str = "I"


class ConnectionLostError(Exception):
    """The connection went before the answer was whole."""


class ClientWire(client.ClientConnection):
    """As the root reads a leaf, but with the notices kept."""

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
        found = Reply()
        while True:
            event = await self.next_event()
            kind = type(event)
            if kind is client.DataRow:
                found.rows.append(event.values)
            elif kind is client.CommandComplete:
                found.tags.append(event.tag)
            elif kind is client.ErrorResponse:
                found.error = event.fields
            elif kind is b.ErrorFields:
                found.notices.append(event)
            elif kind is client.BackendKeyData:
                self.key = event
            elif kind is client.ReadyForQuery:
                found.status = event.status
                return found

    async def query(self, sql, *values):
        """One statement: simple without values, extended with them (text, types left to the
        server).
        """
        if values:
            shown = tuple(None if v is None else str(v).encode() for v in values)
            await self.send(client.statement(sql, (), shown) + client.SYNC)
        else:
            await self.send(client.query(sql))
        return await self.read_reply()

    async def cancel(self):
        """Asks the server, over a connection of its own, to cancel what runs on this one."""
        stream = await self.network.open(self.address)
        await stream.send_all(client.cancel_request(self.key.pid, self.key.secret))
        with trio.move_on_after(1):
            await stream.receive_some(1)
        close_now(stream)

    async def surplus_bytes(self, seconds):
        """Bytes that come within a time though nothing was asked: there must be none."""
        with trio.move_on_after(seconds):
            data = await self.stream.receive_some(1 << 16)
            return len(data)
        return 0

    def close(self):
        if self.stream is not None:
            close_now(self.stream)
