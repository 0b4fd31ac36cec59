"""Stand-ins for external systems: leaves with real tables, Consul agents, discovery and clients.

Tests, demos and fault scenarios use them.
"""
