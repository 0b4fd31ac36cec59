"""Tenants' quotas of queries, of which each root has its equal part."""

from mothnotch.decisions.interface import Settings
from mothnotch.decisions.token_bucket import TokenBucket

BURST_S = 2  # a tenant's quota may come in bursts of so many seconds


class TenantQuotas:
    """A token bucket for each tenant that has a quota."""

    def __init__(self, settings: Settings):
        """Make the buckets; one holds at least one query, however many roots there are."""
        self._buckets = {
            tenant: TokenBucket(
                1 + BURST_S * rate / settings.root_count, rate / settings.root_count
            )
            for tenant, rate in settings.tenant_quotas_qps.items()
        }

    def is_within(self, tenant: str | None, now_us: int) -> bool:
        """Return whether one more query would be within the tenant's quota, if it has any."""
        return tenant not in self._buckets or self._buckets[tenant].holds(now_us)

    def take(self, tenant: str | None, now_us: int) -> bool:
        """Take one query out of the tenant's quota; return whether it was within it."""
        return tenant not in self._buckets or self._buckets[tenant].take(now_us)
