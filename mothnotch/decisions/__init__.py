"""Every decision of the product: pure modules, the standard library only, no I/O and no clock."""
