"""mothnotch: a root that spreads each query over shards and merges the answers."""
