"""Collects and compares the membership views of all roots of a fleet, for operators."""

import trio

from mothnotch.decisions.fleet.divergence import disagreements
from mothnotch.decisions.fleet.swim_messages import GONE, STATES
from mothnotch.peers import exchange
from mothnotch.peers.codec import Codec
from mothnotch.peers.wire import PeerView, View

MAX_CONCURRENT_REQUESTS = 16
MAX_ROOTS = 256  # roots queried in total; the same bound as for a membership table


async def collect_views(network, addresses, codec: Codec) -> tuple[dict[str, View], dict[str, str]]:
    """Return ({address: View}, {address: reason for failure}).

    The roots at `addresses` are queried first, then every root that appears in a returned view.
    """
    views = {}
    errors = {}
    queried = set()
    limiter = trio.CapacityLimiter(MAX_CONCURRENT_REQUESTS)

    async def query(address):
        async with limiter:
            try:
                views[address] = await exchange.request_view(network, address, codec, len(queried))
            except exchange.EXCHANGE_ERRORS as error:
                errors[address] = str(error) or f"no answer in {exchange.EXCHANGE_TIMEOUT_S:g} s"

    while True:
        candidates = dict.fromkeys([*addresses, *_addresses_in(views.values())])
        new_addresses = [address for address in candidates if address not in queried]
        new_addresses = new_addresses[: MAX_ROOTS - len(queried)]
        if not new_addresses:
            return views, errors
        queried.update(new_addresses)
        async with trio.open_nursery() as nursery:
            for address in new_addresses:
                nursery.start_soon(query, address)


def _addresses_in(views) -> list[str]:
    """Return the addresses of the roots behind views and of their members that are not gone."""
    addresses = []
    for view in views:
        addresses.append(view.address)
        addresses += [peer.address for peer in view.peers if peer.state != GONE]
    return addresses


async def describe_fleet(conf, network) -> tuple[list[str], bool]:
    """Return (report lines, whether all roots answered and agree) for a PeersConfig."""
    views, errors = await collect_views(
        network,
        dict.fromkeys([conf.listen, *conf.seeds]),
        Codec(conf.fleet, [key.encode() for key in conf.keys]),
    )
    # A root may answer at several addresses; list it once.
    view_by_root = {}
    for address, view in views.items():
        view_by_root.setdefault((view.name, view.incarnation), (address, view))
    lines = []
    for _, (address, view) in sorted(view_by_root.items(), key=lambda item: item[0]):
        lines += _describe_view(address, view)
    lines += [f"{address}: {error}" for address, error in sorted(errors.items())]
    disagreement_lines = disagreements([view for _, view in view_by_root.values()])
    lines += [f"DISAGREE: {line}" for line in disagreement_lines]
    return lines, not disagreement_lines and not errors


def _describe_view(address: str, view: View) -> list[str]:
    counts_by_state = {state: sum(peer.state == state for peer in view.peers) for state in STATES}
    states = ", ".join(f"{count} {state}" for state, count in counts_by_state.items() if count)
    isolated = ", considers itself ISOLATED" if view.isolated else ""
    lines = [
        f"{view.name} at {address}, incarnation {view.incarnation[0]}, up {_seconds(view.up_us)}"
        f"{isolated}; members: {states or 'nobody'}"
    ]
    lines += [_describe_peer(peer) for peer in view.peers]
    lines += [
        f"  {name}: {count}"
        for name, count in sorted(view.counts.items())
        if name.startswith("dropped") or (name == "full" and count)
    ]
    return lines


def _describe_peer(peer: PeerView) -> str:
    indirect = "" if peer.direct else ", reached only indirectly"
    return (
        f"  {peer.name:16} {peer.state:8} incarnation {peer.incarnation[0]} {peer.address:22} "
        f"last heard {_seconds(peer.heard_us)} ago, in this state for "
        f"{_seconds(peer.since_us)}{indirect}; "
        f"{peer.facts} facts, the oldest {_seconds(peer.oldest_us)}"
    )


def _seconds(us: int) -> str:
    return "never" if us < 0 else f"{us / 1e6:.1f} s"
