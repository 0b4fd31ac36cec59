"""Query quotas of tenants; each root enforces an equal share."""

from mothnotch.decisions.interface import Settings
from mothnotch.decisions.token_bucket import TokenBucket

BURST_S = 2  # a tenant may use the quota of this many seconds at once


class TenantQuotas:
    """A token bucket for each tenant that has a quota."""

    def __init__(self, settings: Settings):
        """Create the buckets; each holds at least one query, however many roots there are."""
        self._buckets = {
            tenant: TokenBucket(
                1 + BURST_S * rate / settings.root_count, rate / settings.root_count
            )
            for tenant, rate in settings.tenant_quotas_qps.items()
        }

    def is_within(self, tenant: str | None, now_us: int) -> bool:
        """Return whether one more query would be within the tenant's quota, if it has one."""
        return tenant not in self._buckets or self._buckets[tenant].has_tokens(now_us)

    def take(self, tenant: str | None, now_us: int) -> bool:
        """Charge one query to the tenant's quota; return whether it was within the quota."""
        return tenant not in self._buckets or self._buckets[tenant].take(now_us)
