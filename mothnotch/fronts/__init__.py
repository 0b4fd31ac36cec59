"""Frontends, which serve clients over a protocol.

A frontend turns statements into requests to the core and encodes the final answers.
"""
