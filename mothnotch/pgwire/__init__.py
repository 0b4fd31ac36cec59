"""PostgreSQL's frontend/backend protocol 3.0, for the server and the client, without I/O.

Received bytes are parsed into events; messages to send are returned as bytes. The package uses no
sockets and no clock. Source: PostgreSQL documentation, part VII, "Frontend/Backend Protocol".
"""
