"""Threads that each serve one connection at a time and are kept for a while afterwards.

Starting a thread costs about as much as serving a request, and many clients open a connection for each request.
"""

import queue
import socket
import threading
from collections.abc import Callable

IDLE_S = 5.0
"""How long a thread without work is kept."""


class Workers:
    """Hands sockets to threads; `serve` is called in a thread for each and must not raise."""

    def __init__(self, serve: Callable[[socket.socket], None], idle_s: float = IDLE_S) -> None:
        self._serve = serve
        self._idle_s = idle_s
        self._lock = threading.Lock()
        self._handed_over: queue.SimpleQueue[socket.socket] = queue.SimpleQueue()
        self._idle = 0

    def submit(self, sock: socket.socket) -> None:
        """Serve a socket in an idle thread or a new one; raises RuntimeError if no thread can be started."""
        with self._lock:
            if self._idle > 0:
                self._idle -= 1
                self._handed_over.put(sock)
                return
        threading.Thread(target=self._run, args=(sock,), name="connection", daemon=True).start()

    def _run(self, first: socket.socket) -> None:
        sock: socket.socket | None = first
        while sock is not None:
            self._serve(sock)
            with self._lock:
                self._idle += 1
            sock = self._next()

    def _next(self) -> socket.socket | None:
        """Return the next socket, or None if this thread has been idle for long enough."""
        try:
            return self._handed_over.get(timeout=self._idle_s)
        except queue.Empty:
            pass
        with self._lock:
            try:
                return self._handed_over.get_nowait()
            except queue.Empty:
                self._idle -= 1
                return None
