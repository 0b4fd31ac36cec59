"""Classification of stream and socket errors, and pauses before retries."""

import errno

import trio

# Exceptions that a stream raises when its connection is lost.
CONNECTION_LOST_ERRORS = (OSError, trio.BrokenResourceError, trio.ClosedResourceError)

# Errors that Linux reports if a call may succeed shortly afterwards; the connection is intact.
TRANSIENT_ERRNOS = frozenset((errno.EAGAIN, errno.EINTR, errno.ENOBUFS, errno.ENOMEM))

# Errors of accept that concern only the connection that was to be accepted, not the next one.
FAILED_CONNECTION_ERRNOS = frozenset(
    (
        errno.ECONNABORTED,
        errno.EPROTO,
        errno.EPERM,
        errno.ENETDOWN,
        errno.ENOPROTOOPT,
        errno.EHOSTDOWN,
        errno.EHOSTUNREACH,
        errno.EOPNOTSUPP,
        errno.ENETUNREACH,
        errno.ETIMEDOUT,
    )
)

# Pause after an accept that failed for lack of descriptors or memory. Without it, the accept loop
# would spin and take CPU time from the connections that could free some.
ACCEPT_RETRY_PAUSE_S = 0.05

# Pause before a retry of a call that failed with a transient error, so that it does not spin.
RETRY_PAUSE_S = 0.005
