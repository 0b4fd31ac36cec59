"""SCRAM-SHA-256 at the server's and the client's side (RFC 5802, RFC 7677), by the `scramp`
library.
"""

import re

from scramp import ScramClient, ScramException, ScramMechanism

from mothnotch.pgwire import backend as b
from mothnotch.pgwire.framing import ProtocolError

MECHANISM = "SCRAM-SHA-256"
NAMELESS = re.compile(r"^([^,]*,[^,]*,)n=,")


class AuthenticationError(Exception):
    """Wrong password, unknown user, or a broken exchange: the client is told 28P01 and no more."""


def make_verifier(password, salt=None, iterations=4096):
    """What is kept of a password: (salt, stored key, server key, iterations)."""
    return ScramMechanism(MECHANISM).make_auth_info(password, iteration_count=iterations, salt=salt)


class ScramServer:
    """The server side of one SCRAM exchange.

    `lookup(user)` returns what `make_verifier` returned, or None if the user is unknown.
    """

    def __init__(self, user, lookup):
        found = lookup(user)
        self.known = found is not None
        # An unknown user goes through the same steps, so that time and messages do not tell who
        # exists.
        self.server = ScramMechanism(MECHANISM).make_server(
            lambda _: found or make_verifier("\0unknown", b"0" * 16)
        )
        self.first = True

    def step(self, message):
        """Takes one client message; gives (bytes to send, whether the exchange succeeded)."""
        try:
            if self.first:
                self.first = False
                mechanism, text = message.sasl_initial()
                if mechanism != MECHANISM:
                    raise AuthenticationError(f"mechanism {mechanism!r} was not offered")
                self.server.set_client_first(NAMELESS.sub(r"\1n=startup,", text))
                # libpq leaves the name empty, as the startup packet gave it, and the library takes
                # no empty name: it reads another, and the exchange goes on over what was really
                # said.
                self.server.client_first_bare = text.split(",", 2)[2]
                return b.sasl_continue(self.server.get_server_first()), False
            self.server.set_client_final(message.text())
            final = self.server.get_server_final()
            if not self.known:
                raise AuthenticationError("password authentication failed")
            return b.sasl_final(final) + b.AUTH_OK, True
        except (ScramException, ValueError, KeyError, IndexError, TypeError) as error:
            if isinstance(error, ProtocolError):
                raise
            raise AuthenticationError("password authentication failed") from error


def make_scram_client(user, password):
    """The client's side, for connections to leaves."""
    return ScramClient([MECHANISM], user, password)
