"""The running root: one task owns the Balancer and carries out its decisions."""
