"""Data on disk that is kept across restarts of a root."""
