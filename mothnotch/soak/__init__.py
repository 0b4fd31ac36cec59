"""Randomized fault soak: real root processes on loopback under overlapping faults, checked
against invariants.
"""
