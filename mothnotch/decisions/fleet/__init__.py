"""Membership and gossip of a fleet of roots. No I/O, no clock, the standard library only."""
