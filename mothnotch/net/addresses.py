"""Parser of addresses: `host:port`, `[v6]:port` or `unix:/path`."""

_MAX_PORT = 65535


class AddressError(ValueError):
    """An address that cannot be parsed."""


def parse_address(text: str) -> tuple:
    """Return ("unix", path) or ("tcp", host, port); raise AddressError if the text is neither."""
    if text.startswith("unix:"):
        return "unix", text[5:]
    host, colon, port = text.rpartition(":")
    if not colon or not port.isdigit() or int(port) > _MAX_PORT:
        raise AddressError(f"address {text!r}: expected HOST:PORT or unix:/path")
    return "tcp", host.strip("[]"), int(port)
