"""PostgreSQL's frontend/backend protocol 3.0, both sides, without I/O.

Source: PostgreSQL documentation, part VII, "Frontend/Backend Protocol" (message flow and formats).
Bytes go in, events come out; what is to be sent is returned as bytes. No socket and no clock here.
"""
