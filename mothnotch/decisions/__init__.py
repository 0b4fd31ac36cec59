"""Decision logic of the server: pure modules that use only the standard library.

They do no I/O and read no clock; callers pass in the time and act on the result.
"""
