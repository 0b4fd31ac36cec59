"""Runs a root's side of the gossip protocol over a datagram socket and a stream listener.

Both use the same address. The protocol itself is in decisions/fleet/.

Bounds: codec.MAX_DATAGRAM_BYTES per datagram; `rate_limit` bounds the datagrams decoded per second,
so that a flood costs only their receipt. One task receives datagrams and one runs the timers. At
most MAX_STREAMS incoming streams are served at once, and further ones are closed; at most one
outgoing full state sync is in progress.
"""

import trio

from mothnotch.decisions.fleet.gossip_messages import KnownFact, SendEnvelope
from mothnotch.decisions.fleet.gossip_protocol import GossipProtocol, GossipSettings
from mothnotch.decisions.fleet.gossip_store import GossipStore, GossipStoreSettings
from mothnotch.decisions.fleet.membership_changes import MemberStatus
from mothnotch.decisions.fleet.rate_limit import MessageRateLimit
from mothnotch.decisions.fleet.swim_messages import SwimSettings
from mothnotch.decisions.fleet.swim_node import SwimNode
from mothnotch.net import close_now, serve
from mothnotch.peers import exchange
from mothnotch.peers.codec import MAX_DATAGRAM_BYTES, Codec, InvalidMessageError
from mothnotch.peers.wire import Fact, PeerView, View, to_wire

# Incoming streams served at once; each may buffer a message of codec.MAX_STREAM_BYTES.
MAX_STREAMS = 8
# Facts in a view; with values of the maximum size they still fit into one message.
MAX_VIEW_FACTS = 256
# Attempts to find a port that is free for both datagrams and streams, if the port is 0.
MAX_PORT_ATTEMPTS = 20
# The minimum sleep of the timer task, so that a deadline that is always due cannot use all CPU.
MIN_SLEEP_S = 0.001
# The counts at which dropped messages are logged, so that a flood does not fill the log.
LOGGED_DROP_COUNTS = (1, 100, 10_000)


def now_us() -> int:
    """Return the time of this root's monotonic clock, microseconds."""
    return int(trio.current_time() * 1e6)


class PeerService:
    """Connects one root process's gossip protocol with the network."""

    def __init__(
        self,
        network,
        log,
        name: str,
        incarnation: tuple[int, int],
        listen: str,
        seeds: list[str],
        fleet: str,
        keys: list[bytes],
        random,
        settings: SwimSettings | None = None,
    ):
        """Prepare to listen at HOST:PORT.

        `incarnation` is this process's (number, nonce). `seeds` are addresses that are pinged until
        a member answers there. For `fleet` and `keys` see Codec. `random` is a random.Random.
        """
        self.network = network
        self.log = log
        self.name = name
        self.incarnation = incarnation
        self.listen = listen
        self.seeds = seeds
        self.codec = Codec(fleet, keys)
        self.random = random
        self.settings = settings or SwimSettings()
        self.rate_limit = MessageRateLimit()
        self.dropped = {}  # reason -> count
        self.datagrams_sent = 0
        self.bytes_sent = 0
        self.datagrams_received = 0
        self.socket = None
        self.protocol = None
        # Called with the protocol before its first message; lets tests inject defects.
        self.on_protocol_created = lambda protocol: None
        self._due_changed = trio.Event()
        self._is_syncing = False
        self._started_us = now_us()

    async def run(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Run until cancelled; report as started once bound. Raise OSError if binding fails."""
        self.socket, listeners = await self._bind()
        try:
            self.protocol = self._make_protocol()
            self.on_protocol_created(self.protocol)
            async with trio.open_nursery() as self.nursery:
                self.nursery.start_soon(self._read_datagrams)
                self.nursery.start_soon(self._run_timers)
                self.nursery.start_soon(
                    serve,
                    listeners,
                    self._serve_stream,
                    self.nursery,
                    MAX_STREAMS,
                    self._reject_stream,
                )
                task_status.started(self)
        finally:
            self.socket.close()
            with trio.CancelScope(shield=True):  # listeners must be closed even on cancellation
                for listener in listeners:
                    await listener.aclose()

    def _make_protocol(self) -> GossipProtocol:
        swim = SwimNode(
            self.name,
            self.incarnation,
            self.socket.address,
            self.seeds,
            self.settings,
            self.random,
            now_us(),
        )
        store = GossipStore(self.name, self.incarnation, GossipStoreSettings())
        return GossipProtocol(swim, store, GossipSettings(), self.random, now_us())

    async def _bind(self):
        """Return (datagram socket, stream listeners) bound to one address."""
        for _ in range(MAX_PORT_ATTEMPTS):
            datagram_socket = await self.network.bind_datagrams(self.listen)
            try:
                return datagram_socket, await self.network.listen(datagram_socket.address)
            except OSError:
                datagram_socket.close()
                if not self.listen.endswith(":0"):
                    raise
        raise OSError(f"{self.listen}: no port is free for datagrams and streams")

    # ---- streams ----

    async def _serve_stream(self, stream) -> None:
        try:
            await exchange.serve_stream(stream, self.codec, self.protocol, now_us, self._view)
        except exchange.EXCHANGE_ERRORS as error:
            self._count_drop(getattr(error, "reason", "broken"))
        self._log_changes()

    async def _reject_stream(self, stream) -> None:
        self._count_drop("callers")
        close_now(stream)

    async def _sync_full_state(self, address: str) -> None:
        """Exchange full states with the root at an address."""
        try:
            await exchange.sync_full_state(
                self.network,
                address,
                self.codec,
                self.protocol,
                now_us,
                self.socket.address.rpartition(":")[0],
            )
        except exchange.EXCHANGE_ERRORS as error:
            self.protocol.on_sync_failed(now_us())
            self._count_drop(getattr(error, "reason", "broken"))
        finally:
            self._is_syncing = False
        self._log_changes()

    def _view(self, number: int) -> View:
        """Return this root's view of the fleet, for operators."""
        now = now_us()
        own = self.protocol.swim.membership.own_claim
        facts = self.protocol.full_state(now, now).facts[:MAX_VIEW_FACTS]
        return View(
            number,
            own.name,
            own.incarnation,
            own.address,
            self.protocol.swim.health.is_isolated,
            now - self._started_us,
            [self._peer_view(status, now) for status in self.member_statuses()],
            self._counts(),
            [to_wire(Fact, fact) for fact in facts],
        )

    def _peer_view(self, status: MemberStatus, now: int) -> PeerView:
        ages_us = self.protocol.store.ages_us(status.name, now)
        return PeerView(
            status.name,
            status.incarnation,
            status.state,
            status.address,
            -1 if status.heard_us is None else status.heard_us,
            status.since_us,
            status.direct,
            len(ages_us),
            max(ages_us, default=0),
        )

    def _counts(self) -> dict[str, int]:
        counts = {
            "sent": self.datagrams_sent,
            "bytes": self.bytes_sent,
            "read": self.datagrams_received,
        }
        counts |= self.protocol.swim.counts
        counts |= self.protocol.counts
        counts |= {f"dropped {reason}": count for reason, count in self.dropped.items()}
        return counts

    # ---- datagrams ----

    async def _read_datagrams(self) -> None:
        while True:
            data, address = await self.socket.receive(MAX_DATAGRAM_BYTES + 1)
            self.datagrams_received += 1
            if not self.rate_limit.allow(now_us()):
                self._count_drop("flood")
                continue
            try:
                envelope = self.codec.decode(data)
            except InvalidMessageError as error:
                self._count_drop(error.reason)
                continue
            self._send(self.protocol.on_envelope(now_us(), address, envelope))
            self._due_changed.set()  # the next deadline may be earlier now

    async def _run_timers(self) -> None:
        while True:
            self._due_changed = trio.Event()
            due_s = (self.protocol.due_us() + 1) / 1e6
            with trio.move_on_at(max(trio.current_time() + MIN_SLEEP_S, due_s)):
                await self._due_changed.wait()
            if now_us() >= self.protocol.due_us():
                self._send(self.protocol.tick(now_us()))
            if self._is_syncing:
                continue
            partner = self.protocol.choose_sync_partner(now_us())
            if partner is not None:
                self._is_syncing = True
                _, address = partner
                self.nursery.start_soon(self._sync_full_state, address)

    def _send(self, sends: list[SendEnvelope]) -> None:
        for send in sends:
            data = self.codec.encode(send.envelope)
            self.datagrams_sent += 1
            self.bytes_sent += len(data)
            self.socket.send(send.address, data)
        self._log_changes()

    def _log_changes(self) -> None:
        for change in self.protocol.swim.take_changes():
            self.log.info(
                "membership changed",
                what=change.kind.value,
                name=change.name,
                life=change.incarnation,
            )

    def _count_drop(self, reason: str) -> None:
        """Count a dropped datagram or stream."""
        self.dropped[reason] = self.dropped.get(reason, 0) + 1
        if self.dropped[reason] in LOGGED_DROP_COUNTS:
            self.log.warning("message dropped", why=reason, count=self.dropped[reason])

    # ---- interface to the root ----

    def publish(self, key: str, value: bytes, ttl_us: int) -> None:
        """Publish a fact of this root; raise ValueError like GossipStore.publish."""
        self.protocol.store.publish(key, value, ttl_us, now_us())
        self._due_changed.set()

    def set_discovered(self, addresses: list[str]) -> None:
        """Replace the seed addresses discovered in the catalogue."""
        self.protocol.swim.seeds.set_discovered(addresses, now_us())
        self._due_changed.set()

    def known_facts(self, key: str) -> dict[str, KnownFact]:
        """Return the facts of a key that have not expired, by origin."""
        return self.protocol.store.known_facts(key, now_us())

    def member_statuses(self) -> list[MemberStatus]:
        """Return the state of each peer."""
        return self.protocol.swim.membership.member_statuses(now_us())
