"""SCRAM-SHA-256 authentication for server and client (RFC 5802, RFC 7677), with `scramp`."""

import re

from scramp import ScramClient, ScramException, ScramMechanism

from mothnotch.pgwire import backend as b
from mothnotch.pgwire.framing import ProtocolError

MECHANISM = "SCRAM-SHA-256"
EMPTY_USER_NAME = re.compile(r"^([^,]*,[^,]*,)n=,")


class AuthenticationError(Exception):
    """The password is wrong, the user is unknown or the exchange is invalid.

    The client receives SQLSTATE 28P01 in each case.
    """


def make_verifier(password, salt=None, iterations=4096):
    """Return what the server stores of a password: (salt, stored key, server key, iterations)."""
    return ScramMechanism(MECHANISM).make_auth_info(password, iteration_count=iterations, salt=salt)


class ScramServer:
    """The server side of one SCRAM exchange.

    `lookup(user)` returns what `make_verifier` returned, or None if the user is unknown.
    """

    def __init__(self, user, lookup):
        verifier = lookup(user)
        self._is_known_user = verifier is not None
        # The exchange with an unknown user takes the same steps, so that neither its timing nor its
        # messages reveal which users exist.
        self._server = ScramMechanism(MECHANISM).make_server(
            lambda _: verifier or make_verifier("\0unknown", b"0" * 16)
        )
        self._is_first_message = True

    def step(self, message):
        """Process a client message; return (bytes to send, whether authentication succeeded).

        Raise AuthenticationError if it failed.
        """
        try:
            if self._is_first_message:
                self._is_first_message = False
                mechanism, text = message.sasl_initial()
                if mechanism != MECHANISM:
                    raise AuthenticationError(f"mechanism {mechanism!r} was not offered")
                self._server.set_client_first(EMPTY_USER_NAME.sub(r"\1n=startup,", text))
                # libpq sends an empty user name, because the startup packet already contains it,
                # but scramp rejects empty names. It therefore parses a message with a placeholder
                # name; the client's proof is then checked against the message that the client sent.
                self._server.client_first_bare = text.split(",", 2)[2]
                return b.authentication_sasl_continue(self._server.get_server_first()), False
            self._server.set_client_final(message.text())
            server_final = self._server.get_server_final()
            if not self._is_known_user:
                raise AuthenticationError("password authentication failed")
            return b.authentication_sasl_final(server_final) + b.AUTH_OK, True
        except (ScramException, ValueError, KeyError, IndexError, TypeError) as error:
            if isinstance(error, ProtocolError):
                raise
            raise AuthenticationError("password authentication failed") from error


def make_scram_client(user, password):
    """Return the client side of an exchange, for a connection to a leaf."""
    return ScramClient([MECHANISM], user, password)
