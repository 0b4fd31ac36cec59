"""The sections on service discovery (leaves in the Consul catalogue) and on the other roots."""

from typing import Literal

import msgspec

from mothnotch.config.strict import Strict
from mothnotch.decisions.fleet.swim_messages import SwimSettings
from mothnotch.decisions.leaf_membership.settings import MembershipSettings

# Fraction of the protocol period that is the acknowledgement timeout and the gossip interval. It is
# below one half, so that a failed direct probe and the indirect probe after it both end within the
# period.
TIMEOUT_FRACTION_OF_PERIOD = 0.4


class DrainConfig(Strict):
    """Which properties of a catalogue entry mark a leaf as draining; any one of them suffices.

    These are the tags, the meta pairs, and, where enabled, weight 0 and maintenance mode.
    """

    tags: list[str] = msgspec.field(default_factory=lambda: ["draining"])
    meta: dict[str, str] = msgspec.field(default_factory=lambda: {"state": "draining"})
    weight: bool = True
    maintenance: bool = True


class RegisterConfig(Strict):
    """The registration of this root in the catalogue."""

    service: str = "mothnotch"
    ttl_s: float = 15.0
    meta: dict[str, str] = {}


class ConsulConfig(Strict):
    """The Consul catalogue as the source of the endpoint list: the instances of `service`.

    `cell`, `zone` and `started` are keys in the meta of an instance. `follow` is the number of
    agents watched at once, `held` the file that caches the last endpoint list for at most
    `held_most_s`, and `answer_limit` a size in bytes. The start waits `first_s` for an agent's
    first list, also with a cached one.

    Failed health checks take leaves out of service while at most the fraction `critical_most` of
    the leaves is critical. An answer from which more than the fraction `shrink` of the leaves is
    missing is in doubt; a leaf that it lacks is removed `hold_s` after it was last heard from, or
    once the root's own connections to it have failed for `gone_s`.
    """

    agents: list[str]
    service: str
    follow: int = 2
    mode: Literal["default", "stale", "consistent"] = "stale"
    wait_s: float = 10.0
    token: str | None = None
    datacenter: str | None = None
    namespace: str | None = None
    partition: str | None = None
    filter: str | None = None
    cell: str = "cell"
    zone: str = "zone"
    started: str = "started"
    drain: DrainConfig = DrainConfig()
    health: bool = True
    critical_most: float = 0.5
    shrink: float = 0.3
    hold_s: float = 1800.0
    gone_s: float = 10.0
    skew_s: float = 2.0
    first_s: float = 5.0
    answer_limit: int = 8 << 20
    held: str | None = None
    held_most_s: float = 7 * 86400.0
    register: RegisterConfig | None = None

    def membership(self, cells: int, reach: int) -> MembershipSettings:
        """Return the settings of the leaf membership for this topology of cells."""
        return MembershipSettings(
            cells=cells,
            reach=reach,
            drain_tags=frozenset(self.drain.tags),
            drain_meta=tuple(self.drain.meta.items()),
            drain_weight=self.drain.weight,
            drain_maintenance=self.drain.maintenance,
            health=self.health,
            max_critical_ratio=self.critical_most,
            max_shrink_ratio=self.shrink,
            hold_missing_us=int(self.hold_s * 1e6),
            local_failure_us=int(self.gone_s * 1e6),
            clock_skew_s=self.skew_s,
            cell_key=self.cell,
            zone_key=self.zone,
            started_key=self.started,
        )


class PeersConfig(Strict):
    """The membership protocol between roots, over datagrams at `listen`; it joins through `seeds`.

    `fleet` and `keys` are the same on all roots. A key has 16 to 64 bytes; the first key signs, and
    during a key rotation a second one is accepted as well. `address` is registered in the catalogue
    when the other roots cannot reach this one at `listen`.
    """

    name: str
    listen: str
    fleet: str
    keys: list[str]
    seeds: list[str] = []
    address: str | None = None
    period_ms: float = 500.0

    def settings(self) -> SwimSettings:
        """Return the settings of the peer membership."""
        period_us = int(self.period_ms * 1000)
        return SwimSettings(
            period_us=period_us,
            ack_timeout_us=int(TIMEOUT_FRACTION_OF_PERIOD * period_us),
            gossip_interval_us=int(TIMEOUT_FRACTION_OF_PERIOD * period_us),
        )
