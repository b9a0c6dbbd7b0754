"""Errors of the network package."""


class MalformedMessageError(Exception):
    """Bytes that are no valid HTTP/1.1 message, or exceed a bound.

    Attributes:
        status: the status code that a server answers such a request with.
    """

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status
