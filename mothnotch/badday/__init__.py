"""Bad days: a script of load and troubles, played through the real root, and judged by the auditor."""
