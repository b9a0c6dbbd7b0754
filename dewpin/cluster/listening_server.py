"""What the tier's threaded servers share: they bind without name lookups, and pause after a failed accept."""

import threading
from socket import SO_REUSEADDR, SOL_SOCKET
from socketserver import BaseServer
from typing import Any

from .process.supervised_thread import start_supervised_thread

ACCEPT_ERROR_BACKOFF_S = 0.01


class ListeningServerMixin:
    """Overrides parts of `socketserver.TCPServer`; must come before it among the base classes."""

    socket: Any
    server_address: Any

    def server_bind(self) -> None:
        """Bind without resolving the host name. Raises OSError."""
        self.socket.setsockopt(SOL_SOCKET, SO_REUSEADDR, 1)
        self.socket.bind(self.server_address)
        self.server_address = self.socket.getsockname()

    def get_request(self) -> tuple[Any, Any]:
        """Accept a connection; pause after an error, since one for lack of file descriptors would recur immediately."""
        try:
            return self.socket.accept()  # type: ignore[no-any-return]
        except OSError:
            threading.Event().wait(ACCEPT_ERROR_BACKOFF_S)
            raise


def serve_in_background(name: str, server: BaseServer, poll_s: float) -> None:
    """Accept connections on a thread. Raises OSError, with the address released, if no thread is left.

    poll_s: interval at which the server checks whether it has been shut down.
    """
    try:
        start_supervised_thread(name, lambda: server.serve_forever(poll_s))
    except OSError:
        server.server_close()
        raise
