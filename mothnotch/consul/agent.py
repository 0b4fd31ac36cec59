"""HTTP/1.1 client for a Consul agent, on top of h11 and the network interface.

A client holds at most one connection. A body longer than `max_body_bytes` ends the request and
closes the connection; the caller limits the time. TLS is not supported yet; `wrap_stream` is the
extension point for it.
"""

from collections.abc import Awaitable, Callable, Sequence

import h11
import trio

from mothnotch.net import close_now

# Bytes of one read from the socket.
READ_BYTES = 1 << 16
# A larger body fails the request, so that a broken agent cannot exhaust the root's memory.
MAX_BODY_BYTES = 8 << 20


class AgentError(Exception):
    """A request to an agent failed, or its response is not valid HTTP."""


class AgentClient:
    """Client of one Consul agent: one request at a time, on a connection that is kept open."""

    def __init__(
        self,
        network,
        address: str,
        headers: Sequence[tuple[str, str]] = (),
        max_body_bytes: int = MAX_BODY_BYTES,
        wrap_stream: Callable[[trio.abc.Stream], Awaitable[trio.abc.Stream]] | None = None,
    ):
        """Use the agent at `address`, with `headers` on each request.

        `max_body_bytes` limits the body of a response. `wrap_stream` turns a newly connected stream
        into the one to use, such as a TLS stream.
        """
        self.network = network
        self.address = address
        self.max_body_bytes = max_body_bytes
        self.wrap_stream = wrap_stream
        self.headers = [
            ("Host", address if not address.startswith("unix:") else "localhost"),
            *headers,
        ]
        self.stream = None
        self.http = None

    @classmethod
    def from_config(cls, conf, address: str, network, user_agent: str) -> "AgentClient":
        """Return a client of one of a ConsulConfig's agents, with its token, if any."""
        headers = [("User-Agent", user_agent), ("Accept", "application/json")]
        if conf.token:
            headers.append(("X-Consul-Token", conf.token))
        return cls(network, address, headers, conf.answer_limit)

    def close(self) -> None:
        """Close the connection, if there is one; the next request opens a new one."""
        if self.stream is not None:
            close_now(self.stream)
        self.stream = None
        self.http = None

    async def request(
        self, method: str, target: str, body: bytes = b""
    ) -> tuple[int, dict[str, str], bytes]:
        """Return (status, headers by lower-case name, body); raise AgentError if that fails.

        Cancellation closes the connection, since its pending response would otherwise be taken for
        that of the next request.
        """
        is_reusable = self.stream is not None and not self.network.is_stale(self.stream)
        try:
            if not is_reusable:
                self.close()
                await self._connect()
            return await self._exchange(method, target, body)
        except (OSError, EOFError, trio.BrokenResourceError, trio.ClosedResourceError) as error:
            self.close()
            raise AgentError(f"{self.address}: {error or type(error).__name__}") from None
        except (h11.RemoteProtocolError, h11.LocalProtocolError) as error:
            self.close()
            raise AgentError(f"{self.address}: invalid HTTP response: {error}") from None
        except BaseException:
            self.close()
            raise

    async def _connect(self):
        stream = await self.network.open(self.address)
        if self.wrap_stream is not None:
            stream = await self.wrap_stream(stream)
        self.stream = stream
        self.http = h11.Connection(h11.CLIENT)

    async def _exchange(self, method, target, body):
        await self._send(method, target, body)
        response = await self._receive()
        if self.http.our_state is h11.MUST_CLOSE or self.http.their_state is not h11.DONE:
            self.close()
        else:
            self.http.start_next_cycle()
        return response

    async def _send(self, method, target, body):
        http = self.http
        headers = self.headers
        if method != "GET":
            headers = [
                *headers,
                ("Content-Type", "application/json"),
                ("Content-Length", str(len(body))),
            ]
        data = http.send(h11.Request(method=method, target=target, headers=headers))
        if body:
            data += http.send(h11.Data(data=body))
        await self.stream.send_all(data + http.send(h11.EndOfMessage()))

    async def _receive(self):
        """Return (status, headers, body); raise EOFError if the connection closes early."""
        status = 0
        headers = {}
        body = bytearray()
        while True:
            event = self.http.next_event()
            if event is h11.NEED_DATA:
                data = await self.stream.receive_some(READ_BYTES)
                if not data and not status:
                    raise EOFError("connection closed before a response")
                self.http.receive_data(data)
            elif isinstance(event, h11.Response):
                status = event.status_code
                headers = {
                    name.decode("latin-1").lower(): value.decode("latin-1")
                    for name, value in event.headers
                }
            elif isinstance(event, h11.Data):
                body += event.data
                if len(body) > self.max_body_bytes:
                    self.close()
                    raise AgentError(
                        f"{self.address}: response body exceeds {self.max_body_bytes} bytes"
                    )
            elif isinstance(event, h11.EndOfMessage):
                return status, headers, bytes(body)
            elif isinstance(event, h11.ConnectionClosed) or event is h11.PAUSED:
                raise EOFError("connection closed within the response")
