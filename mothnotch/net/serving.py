"""Accept loop that runs one task per connection."""

from collections.abc import Callable

import trio

from mothnotch.net.errors import ACCEPT_RETRY_PAUSE_S, FAILED_CONNECTION_ERRNOS


async def serve(
    listeners: list,
    handler: Callable,
    nursery: trio.Nursery,
    max_connections: int | None = None,
    reject: Callable | None = None,
    on_accept_error: Callable | None = None,
    register: Callable = lambda stream: stream,
) -> None:
    """Accept until cancelled, and run `handler(register(stream))` in the nursery for each
    connection; `register` is called in the order of accepting.

    While `max_connections` connections are open, run `reject(stream)` instead of the handler. A
    failed accept (for example, without free descriptors) is passed to `on_accept_error(error)` and
    followed by a short pause, so that the loop does not spin.
    """
    open_connections = 0

    async def run_handler(connection):
        nonlocal open_connections
        try:
            await handler(connection)
        finally:
            open_connections -= 1

    async def accept(listener):
        nonlocal open_connections
        while True:
            try:
                stream = await listener.accept()
            except trio.ClosedResourceError:
                return
            except OSError as error:
                if on_accept_error is not None:
                    on_accept_error(error)
                is_connection_error = error.errno in FAILED_CONNECTION_ERRNOS
                await trio.sleep(0 if is_connection_error else ACCEPT_RETRY_PAUSE_S)
                continue
            if max_connections is not None and open_connections >= max_connections:
                nursery.start_soon(reject, stream)
            else:
                open_connections += 1
                nursery.start_soon(run_handler, register(stream))

    async with trio.open_nursery() as accept_nursery:
        for listener in listeners:
            accept_nursery.start_soon(accept, listener)
