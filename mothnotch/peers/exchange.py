"""Exchanges over a stream: full states between roots, and views for operators.

In a full state sync, the client sends a hello with a stamp and no facts. The server answers that
stamp with its full state, and the client answers the server's stamp with its own. So each side has
an upper bound on the age of what it receives. A view is one request and one response.

Bounds: `codec.MAX_STREAM_BYTES` per message, EXCHANGE_TIMEOUT_S for an exchange on either side; the
service bounds the number of concurrent exchanges.
"""

import struct
from collections.abc import Callable

import trio

from mothnotch.decisions.fleet.gossip_protocol import GossipProtocol
from mothnotch.net import CONNECTION_LOST_ERRORS, close_now
from mothnotch.peers.codec import MAX_STREAM_BYTES, VIEW_MAGIC, Codec, InvalidMessageError
from mothnotch.peers.wire import View

# A silent client occupies one of the `service.MAX_STREAMS` streams for this long.
EXCHANGE_TIMEOUT_S = 2.0
READ_BYTES = 1 << 16
LENGTH_PREFIX = struct.Struct("<I")
# Failures that the other side or the network may cause.
EXCHANGE_ERRORS = (*CONNECTION_LOST_ERRORS, EOFError, InvalidMessageError, trio.TooSlowError)


async def write_message(stream, data: bytes) -> None:
    """Send one message with its length prefix."""
    await stream.send_all(LENGTH_PREFIX.pack(len(data)) + data)


async def read_message(stream) -> bytes:
    """Read one message and return it.

    Raise EOFError if the stream ends before the message is complete, InvalidMessageError if it is
    too long.
    """
    data = bytearray()
    expected_bytes = LENGTH_PREFIX.size
    while len(data) < expected_bytes:
        chunk = await stream.receive_some(min(READ_BYTES, expected_bytes - len(data)))
        if not chunk:
            raise EOFError("the other root closed the stream before the message was complete")
        data += chunk
        if expected_bytes == LENGTH_PREFIX.size == len(data):
            expected_bytes += LENGTH_PREFIX.unpack(bytes(data))[0]
            if expected_bytes > LENGTH_PREFIX.size + MAX_STREAM_BYTES:
                raise InvalidMessageError("long")
    return bytes(data[LENGTH_PREFIX.size :])


async def sync_full_state(
    network,
    address: str,
    codec: Codec,
    protocol: GossipProtocol,
    now_us: Callable[[], int],
    source: str | None = None,
) -> None:
    """Exchange full states with the root at an address, as the client.

    `source` is the host to connect from, which should be the one that datagrams are sent from.
    Raise one of EXCHANGE_ERRORS on failure.
    """
    with trio.fail_after(EXCHANGE_TIMEOUT_S):
        stream = await network.open(address, source)
        try:
            hello = protocol.full_state(now_us())
            await write_message(stream, codec.encode_full_state(hello))
            theirs = codec.decode_full_state(await read_message(stream))
            if protocol.merge_full_state(now_us(), theirs):
                ours = protocol.full_state(now_us(), theirs.stamp)
                await write_message(stream, codec.encode_full_state(ours))
        finally:
            close_now(stream)


async def serve_stream(
    stream,
    codec: Codec,
    protocol: GossipProtocol,
    now_us: Callable[[], int],
    make_view: Callable[[int], View],
) -> None:
    """Serve one stream: a full state sync, or a request for a view, made by `make_view(number)`.

    Raise one of EXCHANGE_ERRORS on failure.
    """
    try:
        with trio.fail_after(EXCHANGE_TIMEOUT_S):
            data = await read_message(stream)
            if data.startswith(VIEW_MAGIC):
                request = codec.decode_view(data)
                await write_message(stream, codec.encode_view(make_view(request.number)))
            else:
                await _serve_full_state(stream, codec, protocol, now_us, data)
    finally:
        close_now(stream)


async def _serve_full_state(stream, codec, protocol, now_us, data: bytes) -> None:
    hello = codec.decode_full_state(data)
    if not protocol.merge_full_state(now_us(), hello):
        return
    ours = protocol.full_state(now_us(), hello.stamp)
    await write_message(stream, codec.encode_full_state(ours))
    theirs = codec.decode_full_state(await read_message(stream))
    # A replayed message answers another stamp. Accepting it would understate the age of its facts.
    if theirs.answers != ours.stamp or theirs.sender.name != hello.sender.name:
        raise InvalidMessageError("stamp")
    protocol.merge_full_state(now_us(), theirs)


async def request_view(network, address: str, codec: Codec, number: int) -> View:
    """Request the View of the root at an address; raise one of EXCHANGE_ERRORS on failure."""
    with trio.fail_after(EXCHANGE_TIMEOUT_S):
        stream = await network.open(address)
        try:
            await write_message(stream, codec.encode_view(View(number)))
            view = codec.decode_view(await read_message(stream))
            if view.number != number:
                raise InvalidMessageError("stamp")
            return view
        finally:
            close_now(stream)
