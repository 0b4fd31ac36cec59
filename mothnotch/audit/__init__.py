"""Check the rules on what clients and leaves recorded, never on what the root itself reports."""
