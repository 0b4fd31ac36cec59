"""What the roots of a fleet decide together. No I/O, no clock, the standard library only."""
