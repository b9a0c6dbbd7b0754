"""Errors of the network package."""


class MalformedMessageError(Exception):
    """Raised for bytes that are not a valid HTTP/1.1 message or exceed a limit.

    Attributes:
        status: status code of the server's response to such a request.
    """

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status
