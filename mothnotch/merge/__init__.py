"""Merge rows within a fixed memory budget: sorted merge, external sort, grouping, runs on disk.

This package does not depend on SQL.
"""
