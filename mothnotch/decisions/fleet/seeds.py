"""Seed addresses, configured or discovered, that a root pings until a member answers there."""

# With more seeds, each is pinged less often, so that the total rate stays as with this many.
SEEDS_AT_FULL_RATE = 8


class Seeds:
    """The next ping time of each address, with at most `max_discovered` from the catalogue."""

    def __init__(self, addresses, own_address: str, interval_us: int, max_discovered: int, now_us):
        """Start with the configured addresses, all due now; times are in microseconds."""
        self.own_address = own_address
        self.interval_us = interval_us
        self.max_discovered = max_discovered
        self.next_ping_us = {address: now_us for address in addresses if address != own_address}
        self.discovered = frozenset()  # the subset that the catalogue names

    def set_discovered(self, addresses, now_us: int) -> None:
        """Replace the discovered addresses with those that the catalogue names now.

        An empty list is ignored, because it more likely means a fault of the catalogue.
        """
        discovered = frozenset(sorted(set(addresses) - {self.own_address})[: self.max_discovered])
        if not discovered:
            return
        for address in self.discovered - discovered:
            del self.next_ping_us[address]
        self.discovered = frozenset(
            address
            for address in discovered
            if address in self.discovered or address not in self.next_ping_us
        )
        for address in self.discovered:
            self.next_ping_us.setdefault(address, now_us)

    def take_due(self, now_us: int) -> list[str]:
        """Return the addresses that are due, and schedule the next ping of each."""
        due = [address for address, at_us in self.next_ping_us.items() if at_us <= now_us]
        slowdown = max(1.0, len(self.next_ping_us) / SEEDS_AT_FULL_RATE)
        for address in due:
            self.next_ping_us[address] = now_us + int(self.interval_us * slowdown)
        return due
