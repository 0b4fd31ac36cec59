"""What outlives a root's process."""
