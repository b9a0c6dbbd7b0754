"""A TCP server on a free port of the loopback address, with a thread for each connection."""

import socket
import threading


class LoopbackServer:
    """Accepts connections and serves each in a separate thread; subclasses define `_serve`.

    address: where it listens, as `host:port`.
    connections: how many connections it has accepted.
    """

    def __init__(self) -> None:
        """Subclasses set their own attributes first: connections may be served before this returns."""
        self._listener = self.create_listener()
        host, port = self._listener.getsockname()
        self.address = f"{host}:{port}"
        self.connections = 0
        threading.Thread(target=self._accept, daemon=True).start()

    def create_listener(self) -> socket.socket:
        """Return the listening socket."""
        return socket.create_server(("127.0.0.1", 0))

    def close(self) -> None:
        # Closing the socket alone does not wake the thread that is blocked in accept().
        self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()

    def _accept(self) -> None:
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            self.connections += 1
            threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection: socket.socket) -> None:
        raise NotImplementedError
