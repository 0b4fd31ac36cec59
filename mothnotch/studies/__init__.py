"""Measurements whose results are in the docs.

Most are run with `bin/mothnotch study NAME`, the others with `python -m mothnotch.studies.NAME`.
"""
