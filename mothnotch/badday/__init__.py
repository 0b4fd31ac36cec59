"""Scenarios of load and injected faults, played against the real root and checked by the audit."""
