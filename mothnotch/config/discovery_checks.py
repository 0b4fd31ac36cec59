"""Validate the sections `consul` and `peers` beyond their types."""

from collections.abc import Callable

from mothnotch import net
from mothnotch.config.discovery_sections import ConsulConfig, PeersConfig, RegisterConfig

# Reports an error: the path of the setting, and the message.
ErrorReporter = Callable[[str, str], None]

# A smaller limit would reject even the answers of small catalogues.
MIN_ANSWER_LIMIT_BYTES = 1 << 16


def check_consul(consul: ConsulConfig, report: ErrorReporter) -> None:
    """Report every error of the section `consul`."""
    _check_agents(consul.agents, report)
    if not consul.service:
        report(
            "consul.service", "must be the name of the service that the leaves are registered under"
        )
    if consul.follow < 1:
        report("consul.follow", "must be at least 1")
    if not 0.1 <= consul.wait_s <= 600:
        report(
            "consul.wait_s", "must be between 0.1 and 600: Consul holds a blocking query no longer"
        )
    for name in ("critical_most", "shrink"):
        if not 0 <= getattr(consul, name) <= 1:
            report(f"consul.{name}", "must be between 0 and 1")
    for name in ("hold_s", "gone_s", "skew_s", "first_s", "held_most_s"):
        if not 0 <= getattr(consul, name) < float("inf"):
            report(f"consul.{name}", "must be a finite number, at least 0")
    if consul.answer_limit < MIN_ANSWER_LIMIT_BYTES:
        report("consul.answer_limit", "must be at least 65536 bytes")
    if consul.register is not None:
        _check_register(consul.register, consul.service, report)


def _check_agents(agents: list[str], report: ErrorReporter) -> None:
    if not agents:
        report("consul.agents", "must contain at least one agent")
    for index, address in enumerate(agents):
        where = f"consul.agents[{index}]"
        if "://" in address:
            report(
                where,
                f"address {address!r}: expected HOST:PORT without a scheme; "
                "TLS is not supported yet",
            )
            continue
        try:
            net.parse_address(address)
        except net.AddressError as error:
            report(where, str(error))


def _check_register(register: RegisterConfig, leaf_service: str, report: ErrorReporter) -> None:
    if not 1 <= register.ttl_s <= 3600:
        report("consul.register.ttl_s", "must be between 1 and 3600")
    if register.service == leaf_service:
        report(
            "consul.register.service",
            "must differ from the service of the leaves, or roots would be taken for leaves",
        )


def check_peers(peers: PeersConfig, report: ErrorReporter) -> None:
    """Report every error of the section `peers`."""
    _check_datagram_address("listen", peers.listen, report)
    if peers.address is not None:
        _check_datagram_address("address", peers.address, report)
    for index, seed in enumerate(peers.seeds):
        _check_datagram_address(f"seeds[{index}]", seed, report)
    if not 0 < len(peers.name) <= 64:
        report("peers.name", "must have 1 to 64 characters and be unique to each root")
    if not peers.fleet:
        report("peers.fleet", "must be the name of the fleet")
    sizes_bytes = [len(key.encode()) for key in peers.keys]
    if not 1 <= len(sizes_bytes) <= 2 or not all(16 <= size <= 64 for size in sizes_bytes):
        report(
            "peers.keys", "must contain one key, or two during a key rotation, of 16 to 64 bytes"
        )
    if not 50 <= peers.period_ms <= 10_000:
        report("peers.period_ms", "must be between 50 and 10000")


def _check_datagram_address(where: str, address: str, report: ErrorReporter) -> None:
    try:
        kind, *_ = net.parse_address(address)
    except net.AddressError as error:
        report(f"peers.{where}", str(error))
        return
    if kind != "tcp":
        report(f"peers.{where}", f"address {address!r}: expected HOST:PORT for datagrams")
