"""Validation of IPv4 addresses with a port, the form used in settings and messages."""

import socket

MAX_PORT = 65_535


def is_address(text: str) -> bool:
    """Return whether `text` is an IPv4 address with a port, such as `10.0.0.1:8080`."""
    host, colon, port = text.rpartition(":")
    return bool(colon) and is_ipv4(host) and port.isascii() and port.isdigit() and 0 < int(port) <= MAX_PORT


def is_ipv4(text: str) -> bool:
    """Return whether `text` is an IPv4 address in dotted-decimal form."""
    try:
        socket.inet_pton(socket.AF_INET, text)
    except (OSError, ValueError):
        return False
    return True
