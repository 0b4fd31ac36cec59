"""Communication between roots: the wire format and the sockets.

The protocol itself is in decisions/fleet/.
"""
